"""Tests of the in-memory store engine."""

import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_standins.store_engine import (
    CompactedError,
    Condition,
    ConditionTarget,
    DeleteRange,
    InvalidRequestError,
    LeaseNotFoundError,
    PutKey,
    StoreEngine,
    prefix_end,
)


class TestStoreEngine:
    def test_transaction_uses_one_revision(self) -> None:
        engine = StoreEngine(ManualClock())
        assert engine.transact([], [PutKey(b"a", b"1"), PutKey(b"b", b"2")])
        found = engine.range(b"a", b"c")
        assert [(each.key, each.mod_revision) for each in found] == [
            (b"a", 2),
            (b"b", 2),
        ]
        assert engine.revision == 2

    def test_failed_condition_changes_nothing(self) -> None:
        engine = StoreEngine(ManualClock())
        absent = Condition(b"a", ConditionTarget.MOD, 0)
        assert engine.transact([absent], [PutKey(b"a", b"1")])
        assert not engine.transact([absent], [PutKey(b"a", b"2")])
        assert engine.revision == 2
        assert engine.range(b"a")[0].value == b"1"

    def test_keys_of_an_expired_lease_are_deleted(self) -> None:
        clock = ManualClock()
        engine = StoreEngine(clock)
        lease = engine.grant_lease(5)
        engine.transact([], [PutKey(b"a", b"1", lease)])
        clock.advance(4)
        assert engine.keep_alive(lease) == 5
        clock.advance(5)
        assert engine.range(b"a") == []
        assert [each.is_delete for each in engine.events_since(2, b"a")] == [
            False,
            True,
        ]
        with pytest.raises(LeaseNotFoundError):
            engine.keep_alive(lease)

    def test_key_rewritten_without_lease_outlives_the_lease(self) -> None:
        engine = StoreEngine(ManualClock())
        lease = engine.grant_lease(5)
        engine.transact([], [PutKey(b"a", b"1", lease)])
        engine.transact([], [PutKey(b"a", b"2")])
        engine.revoke_lease(lease)
        assert engine.range(b"a")[0].value == b"2"

    def test_reading_compacted_events_is_refused(self) -> None:
        engine = StoreEngine(ManualClock())
        for value in (b"1", b"2", b"3"):
            engine.transact([], [PutKey(b"a", value)])
        engine.compact(3)
        assert len(engine.events_since(3, b"a")) == 2
        with pytest.raises(CompactedError):
            engine.events_since(2, b"a")

    @pytest.mark.parametrize(
        "operations",
        [
            [PutKey(b"a", b"1"), PutKey(b"a", b"2")],
            [PutKey(b"a", b"1"), DeleteRange(b"", b"\x00")],
            [PutKey(b"%d" % index, b"") for index in range(129)],
            [PutKey(b"a", b"1" * 1_600_000)],
        ],
        ids=["put twice", "put and deleted", "too many", "too large"],
    )
    def test_invalid_transaction_is_refused(
        self, operations: list[PutKey | DeleteRange]
    ) -> None:
        engine = StoreEngine(ManualClock())
        with pytest.raises(InvalidRequestError):
            engine.transact([], operations)
        assert engine.revision == 1

    @pytest.mark.parametrize(
        ("prefix", "end"), [(b"ab", b"ac"), (b"a\xff", b"b"), (b"", b"\x00")]
    )
    def test_prefix_end(self, prefix: bytes, end: bytes) -> None:
        assert prefix_end(prefix) == end
