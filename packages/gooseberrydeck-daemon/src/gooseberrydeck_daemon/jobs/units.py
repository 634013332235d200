"""A shard's slices of the team limits, shared between tasks and requests."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from gooseberrydeck_coordination.ids import ShardId, TeamName
from gooseberrydeck_daemon.limits import TeamAdmission

__all__ = ["ShardUnits", "SliceUnits"]


class ShardUnits(Protocol):
    """Units that the tasks of a shard may use, by team."""

    def allowances(self) -> Mapping[TeamName, int]:
        """Return how many tasks of each team may run, including running ones."""

    def admit(self, team: TeamName) -> bool:
        """Count one task about to start; return False if the limit is reached."""

    def reconcile(
        self, running: Mapping[TeamName, int], unconfirmed: Mapping[TeamName, int]
    ) -> None:
        """Set the counts to the running tasks plus the unconfirmed ones."""

    def record_demand(self, waiting: Mapping[TeamName, int]) -> None:
        """Record how many tasks are waiting for units, by team."""


class SliceUnits:
    """Count a shard's tasks in the same ledger as its requests."""

    def __init__(
        self,
        shard: ShardId,
        admission: TeamAdmission,
        teams: Callable[[], Iterable[TeamName]],
    ) -> None:
        """Count for ``shard``; ``teams`` returns the configured teams."""
        self.shard = shard
        self.admission = admission
        self.teams = teams
        self.counted: Counter[TeamName] = Counter()

    @property
    def is_known(self) -> bool:
        """Return True if the ledger has the shard."""
        return self.shard in self.admission.ledger.shards

    def allowances(self) -> dict[TeamName, int]:
        """Return the counted tasks plus the idle units, by team.

        It is empty until the ledger has the shard.
        """
        if not self.is_known:
            return {}
        ledger = self.admission.ledger
        return {
            team: self.counted[team] + ledger.idle_units(team, self.shard)
            for team in self.teams()
        }

    def admit(self, team: TeamName) -> bool:
        """Count one task; a refusal is recorded as demand."""
        if not self.admission.try_admit(team, self.shard):
            return False
        self.counted[team] += 1
        return True

    def reconcile(
        self, running: Mapping[TeamName, int], unconfirmed: Mapping[TeamName, int]
    ) -> None:
        """Count tasks that were found running, and release the units of ended ones."""
        if not self.is_known:
            return
        for team in running.keys() | unconfirmed.keys() | self.counted.keys():
            wanted = running.get(team, 0) + unconfirmed.get(team, 0)
            change = wanted - self.counted[team]
            if change > 0:
                self.admission.ledger.count_running(team, self.shard, change)
            elif change < 0:
                self.admission.release(team, self.shard, -change)
            self.counted[team] = wanted

    def record_demand(self, waiting: Mapping[TeamName, int]) -> None:
        """Record waiting tasks as demand, so that units are requested for them."""
        for team, tasks in waiting.items():
            self.admission.record_demand(team, self.shard, tasks)
