"""What teams have running, against what they may."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NOTHING, Resources

__all__ = ["Quotas"]

UNLIMITED = 1 << 50
"""Stands for a resource that has no limit; above any fleet."""


class Quotas:
    """Count every run from before its start until its end is listed."""

    def __init__(self) -> None:
        """Begin with nothing running and no limits."""
        self.used: dict[TeamName, Resources] = {}
        self.maximum: dict[TeamName, Resources] = {}

    def set_limits(self, maximum: Mapping[TeamName, Resources]) -> None:
        """Replace the limits; a resource whose limit is zero has none."""
        self.maximum = dict(maximum)

    def add(self, team: TeamName, amount: Resources) -> None:
        """Count a run that is about to start."""
        self.used[team] = self.used.get(team, NOTHING) + amount

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Stop counting a run that has ended."""
        self.used[team] = self.used.get(team, NOTHING) - amount

    def allows(self, team: TeamName, amount: Resources) -> bool:
        """Tell whether a team may have ``amount`` more running."""
        return self.count_allowed(team, amount, 1) == 1

    def count_allowed(self, team: TeamName, amount: Resources, wanted: int) -> int:
        """Return how many runs of ``amount`` a team may add, up to ``wanted``."""
        maximum = self.maximum.get(team)
        if maximum is None:
            return wanted
        used = self.used.get(team, NOTHING)
        allowed = wanted
        for limit, taken, each in (
            (maximum.cpu_millis, used.cpu_millis, amount.cpu_millis),
            (maximum.memory_mib, used.memory_mib, amount.memory_mib),
            (maximum.accelerators, used.accelerators, amount.accelerators),
        ):
            if limit and each:
                allowed = min(allowed, max(0, limit - taken) // each)
        return allowed

    def remaining(self, team: TeamName) -> Resources | None:
        """Return what a team may still start; None if it has no limit at all.

        A resource without a limit counts as plenty.
        """
        maximum = self.maximum.get(team)
        if maximum is None or maximum == NOTHING:
            return None
        used = self.used.get(team, NOTHING)
        return Resources(
            (maximum.cpu_millis or UNLIMITED) - used.cpu_millis,
            (maximum.memory_mib or UNLIMITED) - used.memory_mib,
            (maximum.accelerators or UNLIMITED) - used.accelerators,
        )
