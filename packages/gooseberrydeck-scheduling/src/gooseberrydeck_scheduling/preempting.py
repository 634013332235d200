"""End running tasks for those with a better claim to their room."""

import heapq
from collections.abc import Callable

from gooseberrydeck_coordination.ids import HostName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.decisions import Preempt
from gooseberrydeck_scheduling.gangs import (
    Reservation,
    ReservationPlan,
    plan_preemption,
    times,
)
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.preemption import Victims, find_victims, victims_on
from gooseberrydeck_scheduling.state import URGENT_PRIORITY, SchedulerState
from gooseberrydeck_scheduling.workers import Ending, RunningTask

__all__ = ["Preemptor"]

ROOM_MARGIN_S = 5.0
"""How long rooms are kept for a task after the grace of its victims."""


RECLAIM_AGAIN_S = 0.5
"""How long a job waits before room is sought for it again."""


class Preemptor:
    """Preempt for urgent work, and for teams that are below their share."""

    def __init__(self, state: SchedulerState) -> None:
        """Work on the state that the scheduler's parts share."""
        self.state = state
        self.fair_rank = 0.0
        self.reclaims_left = 0

    def refresh(self) -> None:
        """Work out the rank that teams with waiting work would have if all were even.

        Teams without waiting work have what they want and are left out.
        """
        state = self.state
        self.reclaims_left = state.settings.reclaims_per_tick
        teams = state.waiting.all_teams()
        if not teams:
            return
        weight = sum(state.shares.weights.get(team, 1.0) for team in teams)
        used = sum(state.shares.dominant(team) for team in teams)
        self.fair_rank = used / weight

    def preempt_for_urgent(self, job: TrackedJob, now_s: float) -> None:
        """Ask lower tasks to make room for one urgent task."""
        self.preempt(job, now_s, is_lower)

    def reclaim(self, job: TrackedJob, now_s: float) -> bool:
        """Ask tasks of teams above their share to make room for a team below its own.

        Return whether room was asked for.
        """
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        if reservation is not None and reservation.is_urgent:
            return True
        waited_s = now_s - (job.unfit_since_s or now_s)
        if waited_s < state.settings.reclaim_after_s or now_s < job.reclaim_s:
            return False
        count = len(job.pending) if job.spec.is_gang else 1
        size = times(job.spec.resources, count)
        if not self.reclaims_left or not self.is_within_share(job.spec.team, size):
            return False
        self.reclaims_left -= 1
        job.reclaim_s = now_s + RECLAIM_AGAIN_S
        state.reservations.release(job.id)
        may_end = self.victim_test(job.spec.team, size)
        if job.spec.is_gang:
            return self.preempt_for_gang(job, now_s, may_end)
        return self.preempt(job, now_s, may_end)

    def is_within_share(self, team: TeamName, extra: Resources) -> bool:
        """Tell whether a team that uses ``extra`` more has no more than its share."""
        return self.state.shares.rank_with(team, extra) <= self.fair_rank

    def victim_test(
        self, team: TeamName, extra: Resources
    ) -> Callable[[RunningTask], bool]:
        """Return a test of whether a task may make room for ``extra`` of a team.

        Its own team must rank above what the claimant will rank, and must not end up
        where the claimant is now, so that each exchange brings the two nearer.
        """
        shares = self.state.shares
        rank_before = shares.rank(team)
        rank_after = shares.rank_with(team, extra)

        def may_end(running: RunningTask) -> bool:
            if running.priority >= URGENT_PRIORITY:
                return False
            less = NO_RESOURCES - running.resources
            return (
                shares.rank(running.team) > rank_after
                and shares.rank_with(running.team, less) > rank_before
            )

        return may_end

    def preempt_for_gang(
        self, job: TrackedJob, now_s: float, may_end: Callable[[RunningTask], bool]
    ) -> bool:
        """Make room for every task of a gang, or for none; return whether it was."""
        state = self.state
        count = len(job.pending)
        if state.slices.room(job.spec.team) < count:
            return False
        ready_s = now_s + state.settings.grace_s

        wanted = job.spec.resources
        plan = plan_preemption(
            state.reservations, wanted, count, may_end, ready_s, state.next_sequence()
        )
        if plan is None:
            return False
        for host, rooms in plan.hosts.items():
            victims = victims_on(
                state.cell.workers[host],
                times(wanted, rooms),
                may_end,
                state.settings.max_gang_tasks,
                state.shares.rank,
            )
            if victims is not None:
                self.end_victims(victims, now_s)
        deadline_s = ready_s + ROOM_MARGIN_S
        state.reservations.add(
            Reservation(job.id, wanted, plan, deadline_s, True, is_urgent=True)
        )
        return True

    def preempt(
        self, job: TrackedJob, now_s: float, may_end: Callable[[RunningTask], bool]
    ) -> bool:
        """Make room for one task of a job; return whether there were victims."""
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        reserved = reservation.count if reservation else 0
        if reserved >= min(len(job.pending), state.slices.room(job.spec.team)):
            return False
        victims = find_victims(
            state.cell,
            job.spec.resources,
            may_end,
            state.settings.max_victims,
            state.shares.rank,
            state.next_sequence(),
        )
        if victims is None:
            return False
        self.end_victims(victims, now_s)
        self.reserve(job, victims.worker.host, now_s)
        return True

    def reserve(self, job: TrackedJob, host: HostName, now_s: float) -> None:
        """Keep the room of the victims for the job."""
        state = self.state
        reservation = state.reservations.by_job.get(job.id)
        if reservation is not None:
            state.reservations.extend(reservation, host)
            return
        grace_s = state.settings.grace_s
        plan = ReservationPlan({host: 1}, now_s + grace_s)
        deadline_s = now_s + grace_s + ROOM_MARGIN_S
        state.reservations.add(
            Reservation(job.id, job.spec.resources, plan, deadline_s, is_urgent=True)
        )

    def end_victims(self, victims: Victims, now_s: float) -> None:
        """Ask tasks to checkpoint; they are stopped after the grace."""
        state = self.state
        grace_s = state.settings.grace_s
        for running in victims.tasks:
            running.ending = Ending.PREEMPTION
            running.stop_s = now_s + grace_s
            heapq.heappush(state.stops, (running.stop_s, running.task))
            state.decisions.append(Preempt(running.task, running.host, grace_s))


def is_lower(running: RunningTask) -> bool:
    """Tell whether a task is not urgent."""
    return running.priority < URGENT_PRIORITY
