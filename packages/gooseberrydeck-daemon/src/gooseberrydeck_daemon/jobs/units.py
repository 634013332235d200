"""A shard's slices of the teams' limits, shared with the requests on it."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from gooseberrydeck_coordination.ids import ShardId, TeamName
from gooseberrydeck_daemon.limits import TeamAdmission

__all__ = ["ShardUnits", "SliceUnits"]


class ShardUnits(Protocol):
    """What the jobs of a shard may have running, by team."""

    def allowances(self) -> Mapping[TeamName, int]:
        """Return how many tasks of each team may run, those that do included."""

    def admit(self, team: TeamName) -> bool:
        """Count one task that is about to start; return False if it may not."""

    def reconcile(
        self, running: Mapping[TeamName, int], unconfirmed: Mapping[TeamName, int]
    ) -> None:
        """Bring the count in line with what runs or may run unseen."""

    def record_demand(self, waiting: Mapping[TeamName, int]) -> None:
        """Note the tasks that wait for units."""


class SliceUnits:
    """Count a shard's tasks in the ledger that requests are counted in, too."""

    def __init__(
        self,
        shard: ShardId,
        admission: TeamAdmission,
        teams: Callable[[], Iterable[TeamName]],
    ) -> None:
        """Count for ``shard``; ``teams`` returns those of the configuration."""
        self.shard = shard
        self.admission = admission
        self.teams = teams
        self.counted: Counter[TeamName] = Counter()

    @property
    def is_known(self) -> bool:
        """Tell whether the ledger counts for the shard."""
        return self.shard in self.admission.ledger.shards

    def allowances(self) -> dict[TeamName, int]:
        """Return what is counted already and the idle units, by team.

        It is nothing until the ledger knows the shard.
        """
        if not self.is_known:
            return {}
        ledger = self.admission.ledger
        return {
            team: self.counted[team] + ledger.idle_units(team, self.shard)
            for team in self.teams()
        }

    def admit(self, team: TeamName) -> bool:
        """Count one task; a refusal is noted as demand."""
        if not self.admission.try_admit(team, self.shard):
            return False
        self.counted[team] += 1
        return True

    def reconcile(
        self, running: Mapping[TeamName, int], unconfirmed: Mapping[TeamName, int]
    ) -> None:
        """Count what was found running, and release what has ended."""
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
        """Note tasks that wait for units, so that units are asked for."""
        for team, tasks in waiting.items():
            self.admission.record_demand(team, self.shard, tasks)
