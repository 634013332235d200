"""Limits on the running tasks of each team in one shard."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName

__all__ = ["TeamSlices"]


class TeamSlices:
    """Running tasks of each team, compared with its slice of the team limit.

    A slice is the part of a team's limit that is assigned to this shard. A team without
    a slice may not start tasks. Unconfirmed tasks, which may still be running on an
    unreachable worker, count as running.
    """

    def __init__(self) -> None:
        """Create a tracker without slices."""
        self.units: dict[TeamName, int] = {}
        self.running: dict[TeamName, int] = {}
        self.unconfirmed: dict[TeamName, int] = {}

    def set_units(self, units: Mapping[TeamName, int]) -> None:
        """Replace the slices of all teams."""
        self.units = dict(units)

    def remaining(self, team: TeamName) -> int:
        """Return how many more tasks a team may start; never negative."""
        used = self.running.get(team, 0) + self.unconfirmed.get(team, 0)
        return max(0, self.units.get(team, 0) - used)

    def started(self, team: TeamName) -> None:
        """Count a started task."""
        self.running[team] = self.running.get(team, 0) + 1

    def ended(self, team: TeamName) -> None:
        """Remove an ended task from the count."""
        self.running[team] -= 1

    def add_unconfirmed(self, team: TeamName, tasks: int) -> None:
        """Count unconfirmed tasks; a negative number removes them again."""
        self.unconfirmed[team] = self.unconfirmed.get(team, 0) + tasks
