"""Preemption for urgent tasks and for teams below their fair share."""

import heapq
from collections.abc import Callable

from gooseberrydeck_coordination.ids import HostName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.decisions import Preempt
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.reservations import (
    Reservation,
    ReservationPlan,
    multiply,
    plan_preemption,
)
from gooseberrydeck_scheduling.state import URGENT_PRIORITY, SchedulerState
from gooseberrydeck_scheduling.victims import Victims, find_victims, victims_on
from gooseberrydeck_scheduling.workers import RunningTask, StopReason

__all__ = ["Preemptor"]

RESERVATION_MARGIN_S = 5.0
"""How long reserved resources are kept after the grace period of the victims."""

RECLAIM_RETRY_S = 0.5
"""Minimum interval between attempts of a job to reclaim resources."""


class Preemptor:
    """Preempt running tasks for urgent jobs and for teams below their fair share."""

    def __init__(self, state: SchedulerState) -> None:
        """Operate on the shared state of a scheduler."""
        self.state = state
        self.fair_rank = 0.0
        self.reclaims_left = 0

    def update_fair_rank(self) -> None:
        """Compute the rank of the teams with waiting jobs if their shares were equal.

        Teams without waiting jobs are left out, since they use all that they need.
        """
        state = self.state
        self.reclaims_left = state.settings.reclaims_per_tick
        teams = state.waiting.all_teams()
        if not teams:
            return
        weight = sum(state.shares.weights.get(team, 1.0) for team in teams)
        used = sum(state.shares.dominant_share(team) for team in teams)
        self.fair_rank = used / weight

    def preempt_for_urgent(self, job: TrackedJob, now_s: float) -> None:
        """Preempt tasks that are not urgent for one task of an urgent job."""
        self.preempt(job, now_s, is_not_urgent)

    def reclaim(self, job: TrackedJob, now_s: float) -> bool:
        """Preempt tasks of teams above their fair share for a team below its own.

        Return whether resources were requested for the job.
        """
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        if reservation is not None and reservation.is_urgent:
            return True
        waited_s = now_s - (job.unplaced_since_s or now_s)
        if waited_s < state.settings.reclaim_after_s or now_s < job.next_reclaim_s:
            return False
        count = len(job.pending) if job.spec.is_gang else 1
        size = multiply(job.spec.resources, count)
        if not self.reclaims_left or not self.is_within_share(job.spec.team, size):
            return False
        self.reclaims_left -= 1
        job.next_reclaim_s = now_s + RECLAIM_RETRY_S
        state.reservations.release(job.id)
        may_preempt = self.preemption_filter(job.spec.team, size)
        if job.spec.is_gang:
            return self.preempt_for_gang(job, now_s, may_preempt)
        return self.preempt(job, now_s, may_preempt)

    def is_within_share(self, team: TeamName, extra: Resources) -> bool:
        """Return whether a team with ``extra`` more stays within its fair share."""
        return self.state.shares.rank_with(team, extra) <= self.fair_rank

    def preemption_filter(
        self, team: TeamName, extra: Resources
    ) -> Callable[[RunningTask], bool]:
        """Return a predicate for tasks that may be preempted for ``extra`` of a team.

        The task's team must rank above the claimant's rank after the exchange, and must
        still rank above the claimant's present rank once it has lost the task. Each
        exchange thus brings the two teams closer, and they do not preempt each other in
        turn.
        """
        shares = self.state.shares
        rank_before = shares.rank(team)
        rank_after = shares.rank_with(team, extra)

        def may_preempt(running: RunningTask) -> bool:
            if running.priority >= URGENT_PRIORITY:
                return False
            less = NO_RESOURCES - running.resources
            return (
                shares.rank(running.team) > rank_after
                and shares.rank_with(running.team, less) > rank_before
            )

        return may_preempt

    def preempt_for_gang(
        self, job: TrackedJob, now_s: float, may_preempt: Callable[[RunningTask], bool]
    ) -> bool:
        """Preempt for all tasks of a gang or for none; return whether it was done."""
        state = self.state
        count = len(job.pending)
        if state.slices.remaining(job.spec.team) < count:
            return False
        ready_s = now_s + state.settings.grace_s
        wanted = job.spec.resources
        plan = plan_preemption(
            state.reservations,
            wanted,
            count,
            may_preempt,
            ready_s,
            state.next_sequence(),
        )
        if plan is None:
            return False
        for host, slots in plan.hosts.items():
            victims = victims_on(
                state.cell.workers[host],
                multiply(wanted, slots),
                may_preempt,
                state.settings.max_gang_tasks,
                state.shares.rank,
            )
            if victims is not None:
                self.preempt_victims(victims, now_s)
        deadline_s = ready_s + RESERVATION_MARGIN_S
        state.reservations.add(
            Reservation(job.id, wanted, plan, deadline_s, True, is_urgent=True)
        )
        return True

    def preempt(
        self, job: TrackedJob, now_s: float, may_preempt: Callable[[RunningTask], bool]
    ) -> bool:
        """Preempt for one task of a job; return whether there were victims."""
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        reserved = reservation.count if reservation else 0
        if reserved >= min(len(job.pending), state.slices.remaining(job.spec.team)):
            return False
        victims = find_victims(
            state.cell,
            job.spec.resources,
            may_preempt,
            state.settings.max_victims,
            state.shares.rank,
            state.next_sequence(),
        )
        if victims is None:
            return False
        self.preempt_victims(victims, now_s)
        self.reserve(job, victims.worker.host, now_s)
        return True

    def reserve(self, job: TrackedJob, host: HostName, now_s: float) -> None:
        """Reserve the victims' resources for the job."""
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        if reservation is not None:
            state.reservations.extend(reservation, host)
            return
        grace_s = state.settings.grace_s
        plan = ReservationPlan({host: 1}, now_s + grace_s)
        deadline_s = now_s + grace_s + RESERVATION_MARGIN_S
        state.reservations.add(
            Reservation(job.id, job.spec.resources, plan, deadline_s, is_urgent=True)
        )

    def preempt_victims(self, victims: Victims, now_s: float) -> None:
        """Request that tasks checkpoint; they are stopped after the grace period."""
        state = self.state
        grace_s = state.settings.grace_s
        for running in victims.tasks:
            running.stop_reason = StopReason.PREEMPTION
            running.stop_s = now_s + grace_s
            heapq.heappush(state.stop_deadlines, (running.stop_s, running.task))
            state.decisions.append(Preempt(running.task, running.host, grace_s))


def is_not_urgent(running: RunningTask) -> bool:
    """Return whether a task is not urgent."""
    return running.priority < URGENT_PRIORITY
