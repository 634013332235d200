"""Interface to team limits, as used for requests."""

from typing import Protocol

from gooseberrydeck_coordination.ids import ShardId, TeamName

__all__ = ["NoLimits", "RequestLimits"]


class RequestLimits(Protocol):
    """Limits the running units of each team, per shard."""

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count units as running; return False if that would exceed the limit."""

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended."""


class NoLimits:
    """Limits that admit everything."""

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Return True."""
        return True

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Do nothing."""
