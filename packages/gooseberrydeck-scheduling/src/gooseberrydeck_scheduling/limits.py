"""The bound on each team's running tasks in one shard."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName

__all__ = ["TeamSlices"]


class TeamSlices:
    """Count a team's tasks against its slice; a team without one runs nothing.

    Tasks that may still run on an unreachable worker count as running.
    """

    def __init__(self) -> None:
        """Begin without slices."""
        self.units: dict[TeamName, int] = {}
        self.running: dict[TeamName, int] = {}
        self.unconfirmed: dict[TeamName, int] = {}

    def set_units(self, units: Mapping[TeamName, int]) -> None:
        """Replace every slice."""
        self.units = dict(units)

    def remaining(self, team: TeamName) -> int:
        """Return how many more tasks of a team may start; never negative."""
        used = self.running.get(team, 0) + self.unconfirmed.get(team, 0)
        return max(0, self.units.get(team, 0) - used)

    def started(self, team: TeamName) -> None:
        """Count a task that starts."""
        self.running[team] = self.running.get(team, 0) + 1

    def ended(self, team: TeamName) -> None:
        """Count a task that ended."""
        self.running[team] -= 1

    def add_unconfirmed(self, team: TeamName, tasks: int) -> None:
        """Count tasks that may run unseen; a negative number resolves them."""
        self.unconfirmed[team] = self.unconfirmed.get(team, 0) + tasks
