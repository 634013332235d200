"""What part of the fleet each team has used lately, in proportion to its weight.

Jobs beyond their team's share are ordered by it, so that capacity which is left over
goes to the team that has had the least of it.
"""

import bisect
import math
from collections.abc import Iterable

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.shares import ShareTracker

__all__ = ["TeamUse"]

AVERAGE_S = 3.0
"""Time constant of the exponential average, in seconds.

It covers several runs of an urgent job, and is shorter than a team's burst.
"""

LEVEL_BOUNDS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)
"""Bounds of the levels of use, as multiples of a team's part by weight.

A team's steps are ranked again only when its level changes.
"""

HYSTERESIS = 0.9
"""A level is left downwards below this part of its lower bound.

Otherwise, a use near a bound would change the order at every review.
"""


class TeamUse:
    """The averaged use of each team, and its level.

    A team's use is its dominant share: the largest of the parts of processors, memory
    and accelerators that its runs have of all workers that accept runs. Divided by the
    team's part of all weights, it is 1 if the team has what its weight says.
    """

    def __init__(self, ledger: Ledger, placer: Placer, shares: ShareTracker) -> None:
        """Start without use."""
        self.ledger = ledger
        self.placer = placer
        self.shares = shares
        self.averages: dict[TeamName, float] = {}
        self.levels: dict[TeamName, int] = {}
        self.updated_s: float | None = None
        # The weight of all samples so far, which tends to 1.
        self.sampled = 0.0

    def update(self, now_s: float) -> list[TeamName]:
        """Add a sample and return the teams whose level has changed.

        While no worker accepts runs, the last averages stay in force.
        """
        capacity = self.count_capacity()
        if self.updated_s is None or not any(capacity):
            self.updated_s = now_s
            return []
        part = 1 - math.exp(-max(0.0, now_s - self.updated_s) / AVERAGE_S)
        self.updated_s = now_s
        self.sampled += part * (1 - self.sampled)
        for team, used in self.ledger.quotas.used.items():
            average = self.averages.get(team, 0.0)
            sample = dominant_share(used, capacity)
            self.averages[team] = average + part * (sample - average)
        return self.update_levels()

    def count_capacity(self) -> tuple[int, int, int]:
        """Return the processors, memory and accelerators of all ready workers."""
        cpu_millis = memory_mib = accelerators = 0
        for workers in self.placer.ready.values():
            for worker in workers.values():
                capacity = worker.entry.capacity
                cpu_millis += capacity.cpu_millis
                memory_mib += capacity.memory_mib
                accelerators += capacity.accelerators
        return cpu_millis, memory_mib, accelerators

    def update_levels(self) -> list[TeamName]:
        """Set the levels by the averages and return the teams with another one."""
        changed = []
        for team in self.averages:
            weighted = self.weighted(team)
            before = self.levels.get(team, 0)
            level = bisect.bisect_right(LEVEL_BOUNDS, weighted)
            if level < before:
                level = bisect.bisect_right(LEVEL_BOUNDS, weighted / HYSTERESIS)
            if level != before:
                self.levels[team] = level
                changed.append(team)
        return changed

    def part(self, team: TeamName) -> float:
        """Return the part of the fleet that a team has used lately."""
        return self.averages.get(team, 0.0) / self.sampled if self.sampled else 0.0

    def weighted(self, team: TeamName) -> float:
        """Return a team's use in proportion to its weight, zero without a weight."""
        rates = self.shares.rates
        rate = rates.get(team, 0.0)
        if rate <= 0:
            return 0.0
        return self.part(team) * total(rates.values()) / rate


def total(rates: Iterable[float]) -> float:
    """Return the sum of all weights."""
    return sum(rate for rate in rates if rate > 0)


def dominant_share(used: Resources, capacity: tuple[int, int, int]) -> float:
    """Return the largest part that is used of any resource that there is."""
    amounts = (used.cpu_millis, used.memory_mib, used.accelerators)
    parts = zip(amounts, capacity, strict=True)
    return max((amount / whole for amount, whole in parts if whole), default=0.0)
