"""Tests of records of the coordination parts that can't be read.

Guards against processes that embed these parts and end by the parser's error, and
against a record that is taken for absent because it can't be read.
"""

import msgspec
import pytest

from coordination.ownership_fakes import KEYS
from gooseberrydeck_coordination import (
    Coordinator,
    ManualClock,
    MemberRecord,
    RoundResult,
    StoreRounds,
    Timing,
)
from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    DataCentre,
    MemberId,
    Revision,
    ShardId,
    TeamName,
)
from gooseberrydeck_coordination.roster_planner import declare_dead
from gooseberrydeck_coordination.slices import SliceController, SliceLedger, TeamLimit
from gooseberrydeck_coordination.store import Delete, Operation, Put, Transaction
from gooseberrydeck_coordination.versioned import (
    Follower,
    VersionedHolder,
    VersionedRecord,
    VersionNumber,
    encode_record,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import ODD_RECORDS

SHARD = ShardId(0)
TIMEOUT_S = 1.0

odd_values = pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)


class Cell:
    """Members that coordinate through one store."""

    def __init__(self, *names: str) -> None:
        self.clock = ManualClock()
        self.timing = Timing(cold_start_s=0.0)
        self.store = EngineStore(StoreEngine(self.clock), waits=False)
        self.rounds: dict[str, StoreRounds] = {}
        self.coordinators: dict[str, Coordinator] = {}
        for name in names:
            self.add(name)

    def add(self, name: str, run: str = "a") -> None:
        record = MemberRecord(MemberId(name), run, "127.0.0.1", 1, DataCentre("lima"))
        self.rounds[name] = StoreRounds(
            self.store, KEYS, record, 1, self.clock, self.timing
        )
        self.coordinators[name] = Coordinator(record, self.clock, self.timing)

    def round(self, name: str) -> RoundResult:
        coordinator = self.coordinators[name]
        result = self.rounds[name].run(coordinator.plan_round())
        coordinator.apply_round(result)
        return result

    def run(self, seconds: float, *names: str) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for name in names:
                self.round(name)

    def write(self, *operations: Operation) -> None:
        self.store.commit(Transaction((), operations), TIMEOUT_S)

    def may_act(self, name: str) -> bool:
        return self.coordinators[name].view().may_act(SHARD)


@odd_values
class TestMembers:
    def test_entry_of_another_writer_is_left_out(self, odd: bytes) -> None:
        cell = Cell("m0")
        cell.write(Put(f"{KEYS.members_prefix}other", odd))
        result = cell.round("m0")
        assert result.failure is None
        assert result.snapshot is not None
        assert list(result.snapshot.members) == ["m0"]
        assert [each.key for each in result.snapshot.unreadable] == [
            f"{KEYS.members_prefix}other"
        ]

    def test_shard_of_a_member_that_cannot_be_read_is_not_claimed(
        self, odd: bytes
    ) -> None:
        cell = Cell("m0", "m1")
        cell.round("m0")
        cell.round("m1")
        cell.write(Put(KEYS.member(MemberId("m0")), odd))
        cell.run(cell.timing.forget_member_s + 30, "m1")
        snapshot = cell.round("m1").snapshot
        assert snapshot is not None
        assert snapshot.shards[SHARD].owner.member == "m0"
        assert snapshot.roster is not None
        assert {seat.member for seat in snapshot.roster.seats} == {"m0", "m1"}

    def test_member_writes_its_own_record_again(self, odd: bytes) -> None:
        cell = Cell("m0")
        cell.round("m0")
        cell.write(Put(KEYS.member(MemberId("m0")), odd))
        cell.round("m0")
        result = cell.round("m0")
        assert result.failure is None
        assert result.snapshot is not None
        assert not result.snapshot.unreadable
        assert cell.may_act("m0")
        cell.clock.advance(cell.timing.session_ttl_s + 1)
        entry = cell.store.read(KEYS.member(MemberId("m0")), TIMEOUT_S)
        assert entry is None, "the record is bound to the session's lease again"

    def test_no_session_is_opened_over_it(self, odd: bytes) -> None:
        cell = Cell("m0")
        cell.write(Put(KEYS.member(MemberId("m0")), odd))
        assert isinstance(cell.round("m0").failure, RecordUnreadableError)
        cell.write(Delete(KEYS.member(MemberId("m0"))))
        assert cell.round("m0").failure is None


@odd_values
class TestShards:
    def test_unreadable_shard_is_not_claimed_anew(self, odd: bytes) -> None:
        cell = Cell("m0")
        cell.write(Put(KEYS.shard(SHARD), odd))
        cell.run(60, "m0")
        entry = cell.store.read(KEYS.shard(SHARD), TIMEOUT_S)
        assert entry is not None
        assert entry.value == odd
        assert not cell.may_act("m0")

    def test_owner_gives_it_up_until_it_can_be_read(self, odd: bytes) -> None:
        cell = Cell("m0")
        cell.round("m0")
        cell.round("m0")
        assert cell.may_act("m0")
        entry = cell.store.read(KEYS.shard(SHARD), TIMEOUT_S)
        assert entry is not None
        cell.write(Put(KEYS.shard(SHARD), odd))
        cell.round("m0")
        assert not cell.may_act("m0")
        cell.write(Put(KEYS.shard(SHARD), entry.value))
        cell.round("m0")
        assert cell.may_act("m0")

    def test_key_of_another_writer_is_left_out(self, odd: bytes) -> None:
        cell = Cell("m0")
        for name in ("notes", "1" * 5_000, "\u0663" * 4, ""):
            cell.write(Put(f"{KEYS.shards_prefix}{name}", odd))
        cell.round("m0")
        result = cell.round("m0")
        assert result.failure is None
        assert cell.may_act("m0")


@odd_values
class TestRosterAndAssignments:
    def test_unreadable_one_ends_the_round_and_is_not_replaced(
        self, odd: bytes
    ) -> None:
        for key in (KEYS.roster, KEYS.assignments):
            cell = Cell("m0")
            cell.round("m0")
            cell.write(Put(key, odd))
            result = cell.round("m0")
            assert isinstance(result.failure, RecordUnreadableError)
            assert result.failure.key == key
            entry = cell.store.read(key, TIMEOUT_S)
            assert entry is not None
            assert entry.value == odd

    def test_seats_of_an_unreadable_roster_are_not_declared_dead(
        self, odd: bytes
    ) -> None:
        cell = Cell()
        cell.write(Put(KEYS.roster, odd))
        with pytest.raises(RecordUnreadableError):
            declare_dead(cell.store, KEYS, frozenset(), TIMEOUT_S)


@odd_values
class TestVersionedValues:
    def test_last_value_stays_in_force(self, odd: bytes) -> None:
        cell = Cell()
        holder = VersionedHolder()
        reported: list[RecordUnreadableError] = []
        follower = Follower(holder.offer, "head", reported.append)
        record = VersionedRecord(VersionNumber(1), "p", msgspec.Raw(b"{}"))
        cell.write(Put("head", encode_record(record)))
        follower.on_read(cell.store.read_prefix("head", TIMEOUT_S))
        cell.write(Put("head", odd))
        start = follower.start
        assert start is not None
        for batch in cell.store.watch("head", start, 0.0):
            follower.on_batch(batch)
        assert (holder.number, follower.undecodable) == (1, 1)
        assert [each.key for each in reported] == ["head"]
        follower.on_read(cell.store.read_prefix("head", TIMEOUT_S))
        assert holder.number == 1


TEAM = TeamName("press")
OTHER = TeamName("radio")
PREFIX = "/slices/"


class Limits:
    """The slices of two teams at the owner of the only shard."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = EngineStore(StoreEngine(self.clock), waits=False)
        self.ledger = SliceLedger()
        self.reported: list[RecordUnreadableError] = []
        self.controller = SliceController(
            self.store,
            self.clock,
            self.ledger,
            [SHARD],
            PREFIX,
            str,
            10.0,
            self.reported.append,
        )
        number = ConfigurationNumber(1)
        limits = [TeamLimit(TEAM, 4, number), TeamLimit(OTHER, 4, number)]
        self.ledger.set_limits(number, limits)
        self.controller.write_limits()
        self.controller.take_shard(SHARD, Revision(1), {})

    def write(self, *operations: Operation) -> None:
        self.store.commit(Transaction((), operations), TIMEOUT_S)


@odd_values
class TestSlices:
    def test_only_its_team_waits_until_it_can_be_read(self, odd: bytes) -> None:
        limits = Limits()
        before = limits.store.read(f"{PREFIX}{TEAM}", TIMEOUT_S)
        assert before is not None
        limits.write(Put(f"{PREFIX}{TEAM}", odd))
        limits.controller.refresh_all()
        limits.controller.refresh_all()
        assert not limits.ledger.try_admit(TEAM, SHARD)
        assert limits.ledger.try_admit(OTHER, SHARD)
        assert [each.key for each in limits.reported] == [f"{PREFIX}{TEAM}"]
        limits.write(Put(f"{PREFIX}{TEAM}", before.value))
        limits.controller.refresh_all()
        assert limits.ledger.try_admit(TEAM, SHARD)

    def test_it_is_not_replaced(self, odd: bytes) -> None:
        limits = Limits()
        limits.write(Put(f"{PREFIX}{TEAM}", odd))
        limits.controller.refresh_all()
        limits.clock.advance(60.0)
        limits.controller.write_limits()
        after = limits.store.read(f"{PREFIX}{TEAM}", TIMEOUT_S)
        assert after is not None
        assert after.value == odd

    def test_older_event_of_the_watch_brings_no_units_back(self, odd: bytes) -> None:
        limits = Limits()
        older = limits.store.read(f"{PREFIX}{TEAM}", TIMEOUT_S)
        assert older is not None
        limits.write(Put(f"{PREFIX}{TEAM}", odd))
        limits.controller.refresh_all()
        limits.controller.observe(older)
        assert not limits.ledger.try_admit(TEAM, SHARD)

    def test_deleted_record_is_written_anew(self, odd: bytes) -> None:
        limits = Limits()
        limits.write(Put(f"{PREFIX}{TEAM}", odd))
        limits.controller.refresh_all()
        limits.write(Delete(f"{PREFIX}{TEAM}"))
        limits.controller.refresh_all()
        limits.controller.write_limits()
        assert limits.ledger.try_admit(TEAM, SHARD)


class TestNamesInKeys:
    def test_record_of_another_member_is_left_out(self) -> None:
        cell = Cell("m0")
        cell.round("m0")
        entry = cell.store.read(KEYS.member(MemberId("m0")), TIMEOUT_S)
        assert entry is not None
        cell.write(Put(f"{KEYS.members_prefix}m1", entry.value))
        snapshot = cell.round("m0").snapshot
        assert snapshot is not None
        assert snapshot.unreadable_members == {"m1"}

    def test_record_of_another_team_is_left_out(self) -> None:
        limits = Limits()
        entry = limits.store.read(f"{PREFIX}{TEAM}", TIMEOUT_S)
        assert entry is not None
        limits.write(Put(f"{PREFIX}other", entry.value))
        limits.controller.refresh_all()
        assert [each.key for each in limits.reported] == [f"{PREFIX}other"]
