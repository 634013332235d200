"""Preemption of runs that save their progress, in favour of urgent steps.

Without it, urgent jobs that arrive at a fully allocated fleet wait for long tasks.
Teams that use more than their share give way first.
"""

import heapq
from collections.abc import Mapping
from typing import NamedTuple

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.duration_samples import learned_remaining_s
from gooseberrydeck_fleet.placement import Placer, Reservation
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.state import Run, RunState, Step, StopReason, Worker

__all__ = ["Preemptor", "VictimOrder"]

RESERVATION_MARGIN_S = 0.6
"""How long a reservation outlasts the longest stop.

The time covers one more poll and a start.
"""


class Cost(NamedTuple):
    """What it costs to stop some runs; the least is preferred.

    The amounts are the processors that the runs have allocated: first those of jobs
    within their team's share. ``least_excess`` is the negative excess of the runs' team
    that is the least above its share.
    """

    within_millis: int
    least_excess: int
    cpu_millis: int


Offer = tuple[Cost, bool, float, int, list[Run]]
"""The cost of victims, whether their worker is cold, their time left, the index of
their worker, and the victims.

The time left is negative, so that of equal victims those come first that have most left
to run.
"""

NO_VICTIMS = Cost(0, -(1 << 30), 0)
"""A cost below that of any victims."""


class VictimOrder:
    """The order in which teams' runs are stopped."""

    def __init__(self, levels: Mapping[TeamName, int] | None) -> None:
        """Order runs by share and by the teams' levels of use, or not if it is None."""
        self.levels = levels

    def excess(self, run: Run) -> int:
        """Return how much a run's job exceeds its team's share, zero if it doesn't.

        It is one more than the level of the team's use.
        """
        if self.levels is None or run.task.step.job.is_within_share:
            return 0
        return 1 + self.levels.get(run.team, 0)

    def cost(self, runs: list[Run]) -> Cost:
        """Return the cost of stopping some runs."""
        if not runs:
            return NO_VICTIMS
        excess = {run: self.excess(run) for run in runs}
        within = sum(run.quota_usage.cpu_millis for run in runs if not excess[run])
        total = sum(run.quota_usage.cpu_millis for run in runs)
        return Cost(within, -min(excess.values()), total)

    def may_preempt(self, run: Run, step: Step) -> bool:
        """Return True if a run may be preempted for a step.

        One within its team's share gives way to no other team's step beyond its share.
        """
        job = step.job
        if self.levels is not None and run.team != job.record.team:
            is_within = run.task.step.job.is_within_share
            if is_within and not job.is_within_share:
                return False
        return may_preempt(run, step)


class Preemptor:
    """Stop the smallest set of lower-priority runs that makes room for a step."""

    def __init__(
        self,
        placer: Placer,
        ends: RunEndHandler,
        stop_s: float,
        victims: VictimOrder,
    ) -> None:
        """Create a preemptor for runs that take up to ``stop_s`` seconds to stop."""
        self.victims = victims
        self.placer = placer
        self.ends = ends
        self.hold_s = stop_s + RESERVATION_MARGIN_S

    def make_room(
        self, step: Step, workers: list[Worker], wanted: int, now_s: float
    ) -> int:
        """Stop runs to free capacity for up to ``wanted`` tasks of a step.

        Returns for how many tasks capacity was reserved.
        """
        missing = wanted - self.placer.reserved[step.ref]
        if missing <= 0:
            return 0
        offers = self.find_offers(step, workers, now_s)
        allocation = step.allocation
        made = 0
        while made < missing and offers:
            _, _, _, index, victims = heapq.heappop(offers)
            worker = workers[index]
            for run in victims:
                self.ends.request_stop(run, StopReason.PREEMPTED)
            self.placer.reserve(
                worker, Reservation(step.ref, allocation, now_s + self.hold_s)
            )
            made += 1
            self.add_offer(offers, step, workers, index, now_s)
        return made

    def find_offers(
        self, step: Step, workers: list[Worker], now_s: float
    ) -> list[Offer]:
        """Return a heap with the victims on each worker that can make room."""
        self.placer.checked += len(workers)
        has_stopping = {run.worker.id for run in self.placer.ledger.stopping}
        cpu_millis = step.allocation.cpu_millis
        offers: list[Offer] = []
        for index, worker in enumerate(workers):
            may_free = worker.preemptible_runs or worker.id in has_stopping
            if may_free or worker.free.cpu_millis >= cpu_millis:
                self.add_offer(offers, step, workers, index, now_s)
        return offers

    def add_offer(
        self,
        offers: list[Offer],
        step: Step,
        workers: list[Worker],
        index: int,
        now_s: float,
    ) -> None:
        """Add the victims on a worker to a heap, if it can make room for a task."""
        self.placer.checked += 1
        worker = workers[index]
        victims = self.victims_on(worker, step, now_s)
        if victims is not None:
            cost = self.victims.cost(victims)
            is_cold = worker.is_cold(self.placer.now_s)
            left_s = sum(self.left_s(run, now_s) for run in victims)
            heapq.heappush(offers, (cost, is_cold, -left_s, index, victims))

    def sort_by_time_left(self, runs: list[Run], now_s: float) -> None:
        """Put the runs with most left to run first: of equals, the first are stopped.

        The order stays as it is if durations are not learned, or not used for this.
        """
        if self.placer.ledger.durations.uses.preemption:
            runs.sort(key=lambda run: -self.left_s(run, now_s))

    def left_s(self, run: Run, now_s: float) -> float:
        """Return how long a run still takes by what was learned, or 0 if unknown."""
        ledger = self.placer.ledger
        if not ledger.durations.uses.preemption:
            return 0.0
        return learned_remaining_s(run, ledger, now_s) or 0.0

    def free_quota(self, step: Step, wanted: int, now_s: float) -> None:
        """Stop other runs of a step's team to get ``wanted`` tasks under its limit.

        Runs on evacuated workers are stopped only if the others are too few: their
        capacity can't be used again.
        """
        team = step.job.record.team
        runs = list(self.placer.ledger.team_runs.get(team, ()))
        self.placer.checked += len(runs)
        free = self.placer.ledger.quotas.remaining(team)
        if free is None:
            return
        for run in runs:
            if run.state is RunState.STOPPING:
                free = free + run.quota_usage
        need = NO_RESOURCES
        for _ in range(wanted):
            need = need + step.spec.resources
        candidates = [run for run in runs if self.victims.may_preempt(run, step)]
        self.sort_by_time_left(candidates, now_s)
        quota_usage = [
            Candidate(run, run.quota_usage, self.victims.excess(run))
            for run in candidates
        ]
        remaining = [each for each in quota_usage if not each.run.worker.is_evacuated]
        victims = choose_victims(free, need, remaining)
        if victims is None:
            victims = choose_victims(free, need, quota_usage, partial=True)
        for run in victims or ():
            self.ends.request_stop(run, StopReason.PREEMPTED)

    def victims_on(self, worker: Worker, step: Step, now_s: float) -> list[Run] | None:
        """Return the runs to stop so that one task fits, or None if it can't."""
        if self.placer.ledger.suspects.is_reserved(worker):
            return None
        limit = step.spec.max_per_worker
        if limit and self.placer.count_runs(worker, step) >= limit:
            return None
        # Allocations of stopping runs count as free: they are freed before the start.
        free = worker.free
        for run in worker.runs.values():
            if run.state is RunState.STOPPING:
                free = free + run.allocation
        for reservation in self.placer.reservations.get(worker.id, ()):
            free = free - reservation.amount
        candidates = [
            run
            for run in worker.preemptible_runs
            if self.victims.may_preempt(run, step)
        ]
        if not candidates:
            return [] if step.allocation.fits_in(free) else None
        self.sort_by_time_left(candidates, now_s)
        rooms = [
            Candidate(run, run.allocation, self.victims.excess(run))
            for run in candidates
        ]
        return choose_victims(free, step.allocation, rooms)


class Candidate(NamedTuple):
    """A run that may be stopped, what its end frees, and its excess over its share."""

    run: Run
    amount: Resources
    excess: int

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which candidates are in the order of choice."""
        return -self.excess, -self.amount.cpu_millis


def choose_victims(
    free: Resources,
    need: Resources,
    candidates: list[Candidate],
    partial: bool = False,
) -> list[Run] | None:
    """Return runs whose end frees enough for ``need``, or None if there are too few.

    Those with the largest excess are chosen first, and of these the largest, in the
    given order among equals, so that few runs are stopped; runs that turn out to be
    unnecessary are then dropped again, in the reverse order. With ``partial``, all
    candidates are returned if even they don't free enough.
    """
    chosen: list[Candidate] = []
    for candidate in sorted(candidates, key=lambda each: each.order):
        if need.fits_in(free):
            break
        chosen.append(candidate)
        free = free + candidate.amount
    if not need.fits_in(free):
        return [each.run for each in chosen] if partial else None
    for candidate in sorted(chosen, key=lambda each: each.order, reverse=True):
        if need.fits_in(free - candidate.amount):
            chosen.remove(candidate)
            free = free - candidate.amount
    return [each.run for each in chosen]


def may_preempt(run: Run, step: Step) -> bool:
    """Return True if a run may be preempted for a step."""
    spec = run.task.step.spec
    return (
        run.state is RunState.RUNNING
        and spec.saves_progress
        and not spec.is_gang
        and not spec.is_standing
        and run.task.step.job.queue.priority > step.job.queue.priority
    )
