"""When a step that waits for its team's limit can start, by the ends of the runs."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.expected_ends import expected_end_s
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.start_permission import has_startable_tasks
from gooseberrydeck_fleet.state import Run, Step, Worker

__all__ = ["MAX_UNDERUSED_HOLD_S", "LimitPlan", "LimitPlanner"]

HORIZON_S = 30.0
"""Nothing is held back for a step that is expected to start later than this."""

MAX_UNDERUSED_HOLD_S = 2.0
"""The longest time for which a team that uses less than half of its limit is held back.

An accepted job may be without a run for 3 s then.
"""


class LimitPlan(NamedTuple):
    """When a step can start, and what others may use of the limit beyond that time."""

    start_s: float
    spare: Resources


class LimitPlanner:
    """Find when a step can start by the limit of its team."""

    def __init__(self, ledger: Ledger, placer: Placer) -> None:
        """Plan for the teams of a ledger."""
        self.ledger = ledger
        self.placer = placer

    def waits_for_limit(self, step: Step) -> bool:
        """Return True if a step could start more if its team had less running.

        A step that lacks workers leaves the rest of the limit to others, and so does
        one that the limit never admits.
        """
        if not has_startable_tasks(step):
            return False
        team, amount = step.job.record.team, step.spec.resources
        wanted = count_wanted(step)
        quotas = self.ledger.quotas
        return (
            quotas.count_allowed(team, amount, wanted) < wanted
            and quotas.count_admitted(team, amount, wanted) == wanted
        )

    def find_ends(self, name: TeamName, now_s: float) -> list[tuple[float, Run]]:
        """Return a team's runs that end within the horizon, in order of their ends."""
        runs = self.ledger.team_runs.get(name, ())
        self.placer.checked += len(runs)
        ends = [(expected_end_s(run, self.ledger, now_s), run) for run in runs]
        ends = [each for each in ends if each[0] <= now_s + HORIZON_S]
        ends.sort(key=lambda each: each[0])
        return ends

    def plan(
        self,
        step: Step,
        underused_since_s: float | None,
        ends: Iterable[tuple[float, Run]],
        now_s: float,
    ) -> LimitPlan | None:
        """Return when a step can start by its team's limit, or None if not soon.

        ``ends`` are the expected ends of the team's runs, in order. What unknown runs
        may use stays in use, as nothing is known of their ends.
        """
        quotas = self.ledger.quotas
        name = step.job.record.team
        remaining = quotas.remaining(name)
        if remaining is None:
            return None
        free = remaining - quotas.unknown_usage(name)
        used = quotas.used.get(name, NO_RESOURCES)
        need = step.spec.resources.times(count_wanted(step))
        start_s = now_s
        underused_from_s = now_s if quotas.is_underused(name, used) else None
        ended: list[Run] = []
        for end_s, run in ends:
            if need.count_in(free) >= 1:
                break
            start_s = max(now_s, end_s)
            free, used = free + run.quota_usage, used - run.quota_usage
            ended.append(run)
            if underused_from_s is None and quotas.is_underused(name, used):
                underused_from_s = start_s
        if not ended or need.count_in(free) < 1:
            return None
        if underused_from_s is not None:
            begun_s = min(underused_from_s, underused_since_s or math.inf)
            if start_s - begun_s > MAX_UNDERUSED_HOLD_S:
                return None
        if not self.has_room(step, ended, now_s):
            return None
        return LimitPlan(start_s, free - need)

    def has_room(self, step: Step, ended: Iterable[Run], now_s: float) -> bool:
        """Return True if a step finds room on workers once some runs have ended.

        Urgent tasks may make room for themselves by preemption.
        """
        if step.job.queue.priority == 0 and not step.spec.is_gang:
            return True
        wanted = count_wanted(step)
        workers = self.placer.permitted(step, now_s) or self.placer.usable(step)
        slots = {each: slots for slots, each in self.placer.with_room(workers, step)}
        if sum(slots.values()) >= wanted:
            return True
        freed: dict[WorkerId, Resources] = {}
        for run in ended:
            worker = run.worker
            freed[worker.id] = freed.get(worker.id, NO_RESOURCES) + run.allocation
        for worker in workers:
            if worker.id in freed:
                slots[worker] = count_slots(worker, freed[worker.id], step)
        return sum(slots.values()) >= wanted


def count_wanted(step: Step) -> int:
    """Return how many tasks of a step have to fit at once for it to go on."""
    return step.spec.count if step.spec.is_gang else 1


def count_slots(worker: Worker, freed: Resources, step: Step) -> int:
    """Return how many tasks of a step fit on a worker with more capacity free."""
    count = step.allocation.count_in(worker.free + freed)
    return min(count, step.spec.max_per_worker or count)
