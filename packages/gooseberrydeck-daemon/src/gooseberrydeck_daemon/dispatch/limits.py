"""What the request path asks of team limits."""

from typing import Protocol

from gooseberrydeck_coordination.ids import ShardId, TeamName

__all__ = ["NoLimits", "RequestLimits"]


class RequestLimits(Protocol):
    """Bound what runs at once of each team, shard by shard."""

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count units as running, or return False if that would be too many."""

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended."""


class NoLimits:
    """Admit everything."""

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Admit."""
        return True

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Do nothing."""
