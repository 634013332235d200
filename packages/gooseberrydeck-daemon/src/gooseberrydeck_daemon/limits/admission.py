"""Admit work on owned shards, and note where a slice was too small."""

import threading
from collections import Counter

from gooseberrydeck_coordination.ids import ShardId, TeamName
from gooseberrydeck_coordination.slices import SliceLedger
from gooseberrydeck_daemon.metrics import Metrics

__all__ = ["TeamAdmission", "TeamShard"]

TeamShard = tuple[TeamName, ShardId]
"""A team on a shard."""


class TeamAdmission:
    """Admit within the ledger; several threads may call it.

    What is refused is remembered as wanted until the limits task takes it.
    """

    def __init__(self, ledger: SliceLedger, metrics: Metrics) -> None:
        """Admit within ``ledger``."""
        self.ledger = ledger
        self.metrics = metrics
        self.demand: Counter[TeamShard] = Counter()
        self.lock = threading.Lock()

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count units as running, or note that the slice is too small for them."""
        if self.ledger.try_admit(team, shard, units):
            return True
        self.record_demand(team, shard, units)
        self.metrics.count("limits.refused", units)
        return False

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended."""
        self.ledger.release(team, shard, units)

    def record_demand(self, team: TeamName, shard: ShardId, units: int) -> None:
        """Note that ``units`` of a team wait on a shard."""
        with self.lock:
            # The same work is refused again each time that it is tried, so the units
            # of several refusals are not added up.
            self.demand[team, shard] = max(units, self.demand[team, shard])

    def pop_demand(self) -> dict[TeamShard, int]:
        """Return what has been wanted since the last call, and forget it."""
        with self.lock:
            demand = dict(self.demand)
            self.demand.clear()
        return demand
