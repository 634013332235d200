"""Tests of group commit."""

from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import StoreOutcomeUnknownError
from gooseberrydeck_coordination.group_commit import (
    CommitPacer,
    GroupCommitter,
    RecordWrite,
    WriteOutcome,
    fill_batch,
)
from gooseberrydeck_coordination.ids import StoreLeaseId
from gooseberrydeck_coordination.store import (
    Put,
    Transaction,
    TransactionResult,
    compare_absent,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

MARKER = "/cell/commits/milano-1"
TIMEOUT_S = 1.0


class DelayingStore(EngineStore):
    """A store that can apply a transaction only after its caller gave up."""

    def __init__(self, engine: StoreEngine) -> None:
        super().__init__(engine, waits=False)
        self.delays_next_commit = False
        self.in_transit: list[Transaction] = []

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        if self.delays_next_commit:
            self.delays_next_commit = False
            self.in_transit.append(transaction)
            raise StoreOutcomeUnknownError("no answer came")
        return super().commit(transaction, timeout_s)

    def deliver(self) -> None:
        for transaction in self.in_transit:
            super().commit(transaction, TIMEOUT_S)
        self.in_transit.clear()


def make_write(key: str) -> RecordWrite:
    return RecordWrite((compare_absent(key),), (Put(key, b"value"),))


def make_writes(count: int) -> list[RecordWrite]:
    return [make_write(f"/cell/jobs/{number}") for number in range(count)]


class CommitterSetup:
    """A committer with its own store engine and clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.store = DelayingStore(self.engine)
        lease = self.store.grant_lease(10, TIMEOUT_S)
        self.committer = GroupCommitter(self.store, MARKER, lease)

    def outcomes(self, writes: Sequence[RecordWrite]) -> list[WriteOutcome]:
        return [result.outcome for result in self.committer.commit(writes)]

    def is_stored(self, write: RecordWrite) -> bool:
        (key,) = write.keys
        return EngineStore(self.engine).read(key, TIMEOUT_S) is not None


class TestBatches:
    def test_ends_before_a_key_is_written_twice(self) -> None:
        first, second = make_writes(2)
        assert fill_batch([first, second, first]) == 2

    def test_is_bounded_by_operations_and_bytes(self) -> None:
        assert fill_batch(make_writes(10), max_operations=4) == 4
        large = [RecordWrite((), (Put(f"/{n}", b"x" * 600),)) for n in range(3)]
        assert fill_batch(large, max_bytes=1_300) == 2

    def test_takes_one_write_however_large(self) -> None:
        large = RecordWrite((), (Put("/large", b"x" * 2_000),))
        assert fill_batch([large, large], max_bytes=1_000) == 1


class TestGroupCommitter:
    def test_many_records_cost_few_transactions(self) -> None:
        setup = CommitterSetup()
        before = setup.engine.calls["txn"]
        assert set(setup.outcomes(make_writes(240))) == {WriteOutcome.WRITTEN}
        assert setup.engine.calls["txn"] - before <= 3

    def test_conflict_of_one_record_leaves_the_others_written(self) -> None:
        setup = CommitterSetup()
        writes = make_writes(5)
        setup.outcomes([writes[3]])
        expected = [WriteOutcome.WRITTEN] * 5
        expected[3] = WriteOutcome.CONFLICT
        assert setup.outcomes(writes) == expected

    @pytest.mark.parametrize(
        ("faults", "expected", "is_stored"),
        [
            ([CallFault.DOWN], WriteOutcome.NOT_WRITTEN, False),
            ([CallFault.REQUEST_LOST], WriteOutcome.NOT_WRITTEN, False),
            ([CallFault.ANSWER_LOST], WriteOutcome.WRITTEN, True),
            ([CallFault.ANSWER_LOST, CallFault.DOWN], WriteOutcome.UNKNOWN, True),
            ([CallFault.REQUEST_LOST, CallFault.DOWN], WriteOutcome.UNKNOWN, False),
            (
                [CallFault.ANSWER_LOST, CallFault.ANSWER_LOST],
                WriteOutcome.UNKNOWN,
                True,
            ),
        ],
    )
    def test_fault_of_the_store(
        self, faults: list[CallFault], expected: WriteOutcome, is_stored: bool
    ) -> None:
        setup = CommitterSetup()
        setup.committer.resolve_pending()
        setup.store.next_faults.extend(faults)
        (write,) = make_writes(1)
        assert setup.outcomes([write]) == [expected]
        assert setup.is_stored(write) is is_stored

    def test_delayed_transaction_reported_as_not_written_never_takes_effect(
        self,
    ) -> None:
        setup = CommitterSetup()
        setup.committer.resolve_pending()
        (write,) = make_writes(1)
        setup.store.delays_next_commit = True
        assert setup.outcomes([write]) == [WriteOutcome.NOT_WRITTEN]
        setup.store.deliver()
        assert not setup.is_stored(write)

    def test_lapsed_session_writes_nothing(self) -> None:
        setup = CommitterSetup()
        setup.committer.resolve_pending()
        setup.clock.advance(60.0)
        setup.engine.expire_leases()
        (write,) = make_writes(1)
        outcomes = setup.outcomes([write])
        assert WriteOutcome.WRITTEN not in outcomes
        assert not setup.is_stored(write)

    @settings(max_examples=300)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 4),
                st.sampled_from([*CallFault, "late", "late_and_down"]),
                st.booleans(),
            ),
            max_size=8,
        )
    )
    def test_outcome_is_correct_under_any_faults(
        self, steps: list[tuple[int, CallFault | str, bool]]
    ) -> None:
        setup = CommitterSetup()
        results: list[tuple[RecordWrite, WriteOutcome]] = []
        for number, (count, fault, delivers) in enumerate(steps):
            setup.store.delays_next_commit = isinstance(fault, str)
            if fault == "late_and_down":
                setup.store.next_faults.append(CallFault.DOWN)
            elif isinstance(fault, CallFault):
                setup.store.next_faults.append(fault)
            writes = [make_write(f"/jobs/{number}/{each}") for each in range(count)]
            results.extend(zip(writes, setup.outcomes(writes), strict=True))
            setup.store.next_faults.clear()
            if delivers:
                setup.store.deliver()
        setup.store.deliver()
        for write, outcome in results:
            if outcome is WriteOutcome.WRITTEN:
                assert setup.is_stored(write)
            elif outcome is not WriteOutcome.UNKNOWN:
                assert not setup.is_stored(write)


class TestCommitPacer:
    def test_first_write_is_immediate_and_the_next_waits_for_its_share(self) -> None:
        clock = ManualClock()
        pacer = CommitPacer(clock, writes_per_s=200.0)
        pacer.members = 30
        assert pacer.delay_s() == 0.0
        pacer.record_commit()
        assert pacer.delay_s() == pytest.approx(0.15)
        clock.advance(1.0)
        assert pacer.delay_s() == 0.0


class TestMarker:
    def test_new_session_takes_over_the_marker_of_the_former_one(self) -> None:
        setup = CommitterSetup()
        first, second = make_writes(2)
        setup.outcomes([first])
        lease = StoreLeaseId(setup.store.grant_lease(10, TIMEOUT_S))
        successor = GroupCommitter(setup.store, MARKER, lease)
        assert successor.commit([second])[0].outcome is WriteOutcome.WRITTEN
        assert setup.outcomes(make_writes(1)) == [WriteOutcome.NOT_WRITTEN]
