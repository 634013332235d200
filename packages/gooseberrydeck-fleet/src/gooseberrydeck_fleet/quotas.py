"""Resource usage of teams and their limits."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Quotas"]

UNLIMITED = 1 << 50
"""Replaces a missing limit; larger than the capacity of any fleet."""


class Quotas:
    """The resource usage of each team.

    A run counts from before its start request is sent until its end is reported.
    """

    def __init__(self) -> None:
        """Create quotas without usage and limits."""
        self.used: dict[TeamName, Resources] = {}
        self.maximum: dict[TeamName, Resources] = {}

    def set_limits(self, maximum: Mapping[TeamName, Resources]) -> None:
        """Replace the limits of all teams; zero means that a resource is unlimited."""
        self.maximum = dict(maximum)

    def add(self, team: TeamName, amount: Resources) -> None:
        """Add the usage of a run that is about to start."""
        self.used[team] = self.used.get(team, NO_RESOURCES) + amount

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Subtract the usage of a run that has ended."""
        self.used[team] = self.used.get(team, NO_RESOURCES) - amount

    def allows(self, team: TeamName, amount: Resources) -> bool:
        """Return True if a team may use ``amount`` in addition."""
        return self.count_allowed(team, amount, 1) == 1

    def count_allowed(self, team: TeamName, amount: Resources, wanted: int) -> int:
        """Return how many runs of ``amount`` a team may start, up to ``wanted``."""
        return self.count_beside(
            self.used.get(team, NO_RESOURCES), team, amount, wanted
        )

    def count_admitted(self, team: TeamName, amount: Resources, wanted: int) -> int:
        """Return how many runs of ``amount`` a team's whole limit admits."""
        return self.count_beside(NO_RESOURCES, team, amount, wanted)

    def count_beside(
        self, used: Resources, team: TeamName, amount: Resources, wanted: int
    ) -> int:
        """Return how many runs of ``amount`` a team's limit admits beside ``used``."""
        maximum = self.maximum.get(team)
        if maximum is None:
            return wanted
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
        """Return the unused part of a team's limit, or None if it has no limit.

        A resource without a limit counts as ``UNLIMITED``.
        """
        maximum = self.maximum.get(team)
        if maximum is None or maximum == NO_RESOURCES:
            return None
        used = self.used.get(team, NO_RESOURCES)
        return Resources(
            (maximum.cpu_millis or UNLIMITED) - used.cpu_millis,
            (maximum.memory_mib or UNLIMITED) - used.memory_mib,
            (maximum.accelerators or UNLIMITED) - used.accelerators,
        )
