"""Tests of ownership beside records that can't be read."""

import pytest
from structlog.testing import capture_logs

from coordination.ownership_fakes import KEYS
from gooseberrydeck_coordination import (
    Coordinator,
    ManualClock,
    MemberRecord,
    RoundResult,
    StoreRounds,
    Timing,
)
from gooseberrydeck_coordination.ids import DataCentre, MemberId
from gooseberrydeck_coordination.ownership import OwnershipView
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_daemon.controllers.ownership.task import OwnershipTask
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.views import StaticMembership
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import ODD_RECORDS

RECORD = MemberRecord(MemberId("m0"), "a", "127.0.0.1", 1, DataCentre("lima"))


class Views:
    """Holder of the newest view."""

    def __init__(self, view: OwnershipView) -> None:
        self.current = view

    def publish(self, view: OwnershipView) -> None:
        self.current = view


class Ownership:
    """The ownership task of the only member of a cell with one shard."""

    def __init__(self, timing: Timing) -> None:
        clock = ManualClock()
        self.store = EngineStore(StoreEngine(clock), waits=False)
        self.rounds = StoreRounds(self.store, KEYS, RECORD, 1, clock, timing)
        self.coordinator = Coordinator(RECORD, clock, timing)
        self.initial_views = 0
        self.metrics = InMemoryMetrics()
        self.task = OwnershipTask(
            self.coordinator,
            self.rounds,
            Views(self.coordinator.view()),  # type: ignore[arg-type]
            StaticMembership([], RECORD.member),  # type: ignore[arg-type]
            lambda: 0,
            lambda _shard: True,
            self.count_initial_view,
            clock,
            timing,
            self.metrics,
        )

    def count_initial_view(self) -> None:
        self.initial_views += 1

    def write(self, key: str, value: bytes) -> None:
        self.store.commit(Transaction((), (Put(key, value),)), 1.0)

    def round(self) -> RoundResult:
        result = self.rounds.run(self.coordinator.plan_round())
        self.task.finish_round(result)
        return result


@pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
class TestUnreadableRecords:
    # Guards against a member that is never ready, since a shard has no known owner.
    def test_member_is_ready_beside_an_unreadable_shard(self, odd: bytes) -> None:
        ownership = Ownership(Timing(cold_start_s=0.0))
        ownership.write(f"{KEYS.shards_prefix}0000", odd)
        ownership.round()
        assert ownership.initial_views == 1

    def test_entry_beyond_the_shards_of_the_cell_does_not_count(
        self, odd: bytes
    ) -> None:
        ownership = Ownership(Timing(cold_start_s=60.0))
        ownership.write(f"{KEYS.shards_prefix}0007", odd)
        ownership.round()
        assert ownership.initial_views == 0

    def test_each_record_is_logged_once(self, odd: bytes) -> None:
        ownership = Ownership(Timing(cold_start_s=0.0))
        keys = [f"{KEYS.shards_prefix}0000", f"{KEYS.members_prefix}x", KEYS.roster]
        with capture_logs() as logs:
            for key in keys[:2]:
                ownership.write(key, odd)
            ownership.round()
            ownership.round()
            ownership.write(keys[2], odd)
            ownership.round()
        lines = [each["key"] for each in logs if "unreadable" in each["event"]]
        assert sorted(lines) == sorted(keys)
        counts = ownership.metrics.snapshot()
        assert counts["ownership.records.unreadable"] == 5
