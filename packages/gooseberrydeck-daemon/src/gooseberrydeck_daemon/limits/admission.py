"""Admission of work on owned shards within the slices of team limits."""

import threading
from collections import Counter

from gooseberrydeck_coordination.ids import ShardId, TeamName
from gooseberrydeck_coordination.slices import SliceLedger
from gooseberrydeck_daemon.metrics import Metrics

__all__ = ["TeamAdmission", "TeamShard"]

TeamShard = tuple[TeamName, ShardId]
"""A team and a shard on which it runs work."""


class TeamAdmission:
    """Admit work within the ledger. Thread-safe.

    Refused units are kept as demand until the limits task collects them.
    """

    def __init__(self, ledger: SliceLedger, metrics: Metrics) -> None:
        """Admit within ``ledger``."""
        self.ledger = ledger
        self.metrics = metrics
        self.demand: Counter[TeamShard] = Counter()
        self.lock = threading.Lock()

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count units as running, or record demand and return False."""
        if self.ledger.try_admit(team, shard, units):
            return True
        self.record_demand(team, shard, units)
        self.metrics.count("limits.refused", units)
        return False

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended."""
        self.ledger.release(team, shard, units)

    def record_demand(self, team: TeamName, shard: ShardId, units: int) -> None:
        """Record that a team needs ``units`` on a shard."""
        with self.lock:
            # Work that is refused is retried and refused again, so the units of several
            # refusals must not be added up.
            self.demand[team, shard] = max(units, self.demand[team, shard])

    def pop_demand(self) -> dict[TeamShard, int]:
        """Return the demand since the last call, and clear it."""
        with self.lock:
            demand = dict(self.demand)
            self.demand.clear()
        return demand
