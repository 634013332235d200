"""Resource usage of teams and their limits."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Quotas"]

UNLIMITED = 1 << 50
"""Replaces a missing limit; larger than the capacity of any fleet."""


class Quotas:
    """The resource usage of each team.

    A run counts from before its start request is sent until its end is reported. What
    unknown runs may use counts as well, but stops no known runs.
    """

    def __init__(self) -> None:
        """Create quotas without usage and limits."""
        self.used: dict[TeamName, Resources] = {}
        self.maximum: dict[TeamName, Resources] = {}
        self.has_limits = False
        self.unknown: Mapping[TeamName, Resources] = {}
        self.unknown_of_any_team = NO_RESOURCES

    def set_limits(self, maximum: Mapping[TeamName, Resources]) -> None:
        """Replace the limits of all teams; zero means that a resource is unlimited."""
        self.maximum = dict(maximum)
        self.has_limits = any(each != NO_RESOURCES for each in maximum.values())

    def add(self, team: TeamName, amount: Resources) -> None:
        """Add the usage of a run that is about to start."""
        self.used[team] = self.used.get(team, NO_RESOURCES) + amount

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Subtract the usage of a run that has ended."""
        self.used[team] = self.used.get(team, NO_RESOURCES) - amount

    def set_unknown(
        self, amounts: Mapping[TeamName, Resources], of_any_team: Resources
    ) -> set[TeamName]:
        """Replace what unknown runs may use, by team, and of each team not named.

        Returns the teams for which that is less than before.
        """
        if amounts == self.unknown and of_any_team == self.unknown_of_any_team:
            return set()
        before = {team: self.unknown_usage(team) for team in self.maximum}
        self.unknown, self.unknown_of_any_team = amounts, of_any_team
        return {
            team
            for team, usage in before.items()
            if not usage.fits_in(self.unknown_usage(team))
        }

    def unknown_usage(self, team: TeamName) -> Resources:
        """Return the most that unknown runs of a team may use."""
        return self.unknown.get(team, self.unknown_of_any_team)

    def allows(self, team: TeamName, amount: Resources) -> bool:
        """Return True if a team may use ``amount`` in addition."""
        return self.count_allowed(team, amount, 1) == 1

    def still_allows(self, team: TeamName, amount: Resources) -> bool:
        """Return True if a team may use ``amount``, which is counted already."""
        used = self.used.get(team, NO_RESOURCES) + self.unknown_usage(team)
        return self.count_beside(used - amount, team, amount, 1) == 1

    def count_allowed(self, team: TeamName, amount: Resources, wanted: int) -> int:
        """Return how many runs of ``amount`` a team may start, up to ``wanted``."""
        used = self.used.get(team, NO_RESOURCES) + self.unknown_usage(team)
        return self.count_beside(used, team, amount, wanted)

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

    def is_underused(self, team: TeamName, used: Resources) -> bool:
        """Return True if ``used`` is less than half of each limit of a team."""
        maximum = self.maximum.get(team, NO_RESOURCES)
        return all(
            2 * taken < limit
            for limit, taken in (
                (maximum.cpu_millis, used.cpu_millis),
                (maximum.memory_mib, used.memory_mib),
                (maximum.accelerators, used.accelerators),
            )
            if limit
        )

    def remaining(self, team: TeamName) -> Resources | None:
        """Return what known runs leave of a team's limit, or None if it has no limit.

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
