"""Tests of records written in groups."""

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


class LateStore(EngineStore):
    """Let chosen transactions take effect only long after their caller gave up."""

    def __init__(self, engine: StoreEngine) -> None:
        super().__init__(engine, waits=False)
        self.is_late = False
        self.under_way: list[Transaction] = []

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        if self.is_late:
            self.is_late = False
            self.under_way.append(transaction)
            raise StoreOutcomeUnknownError("no answer came")
        return super().commit(transaction, timeout_s)

    def deliver(self) -> None:
        for transaction in self.under_way:
            super().commit(transaction, TIMEOUT_S)
        self.under_way.clear()


def new_record(key: str) -> RecordWrite:
    return RecordWrite((compare_absent(key),), (Put(key, b"value"),))


def records(count: int) -> list[RecordWrite]:
    return [new_record(f"/cell/jobs/{number}") for number in range(count)]


class Subject:
    """A committer over a store engine."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.store = LateStore(self.engine)
        lease = self.store.grant_lease(10, TIMEOUT_S)
        self.committer = GroupCommitter(self.store, MARKER, lease)

    def outcomes(self, writes: Sequence[RecordWrite]) -> list[WriteOutcome]:
        return [result.outcome for result in self.committer.commit(writes)]

    def is_stored(self, write: RecordWrite) -> bool:
        (key,) = write.keys
        return EngineStore(self.engine).read(key, TIMEOUT_S) is not None


class TestBatches:
    def test_ends_before_a_key_is_written_twice(self) -> None:
        first, second = records(2)
        assert fill_batch([first, second, first]) == 2

    def test_is_bounded_by_operations_and_bytes(self) -> None:
        assert fill_batch(records(10), max_operations=4) == 4
        large = [RecordWrite((), (Put(f"/{n}", b"x" * 600),)) for n in range(3)]
        assert fill_batch(large, max_bytes=1_300) == 2

    def test_takes_one_write_however_large(self) -> None:
        large = RecordWrite((), (Put("/large", b"x" * 2_000),))
        assert fill_batch([large, large], max_bytes=1_000) == 1


class TestGroupCommitter:
    def test_many_records_cost_few_transactions(self) -> None:
        subject = Subject()
        before = subject.engine.calls["txn"]
        assert set(subject.outcomes(records(240))) == {WriteOutcome.WRITTEN}
        assert subject.engine.calls["txn"] - before <= 3

    def test_conflict_of_one_record_leaves_the_others_written(self) -> None:
        subject = Subject()
        writes = records(5)
        subject.outcomes([writes[3]])
        expected = [WriteOutcome.WRITTEN] * 5
        expected[3] = WriteOutcome.CONFLICT
        assert subject.outcomes(writes) == expected

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
        subject = Subject()
        subject.committer.resolve_pending()
        subject.store.next_faults.extend(faults)
        (write,) = records(1)
        assert subject.outcomes([write]) == [expected]
        assert subject.is_stored(write) is is_stored

    def test_transaction_under_way_never_takes_effect_once_called_off(self) -> None:
        subject = Subject()
        subject.committer.resolve_pending()
        (write,) = records(1)
        subject.store.is_late = True
        assert subject.outcomes([write]) == [WriteOutcome.NOT_WRITTEN]
        subject.store.deliver()
        assert not subject.is_stored(write)

    def test_lapsed_session_writes_nothing(self) -> None:
        subject = Subject()
        subject.committer.resolve_pending()
        subject.clock.advance(60.0)
        subject.engine.expire_leases()
        (write,) = records(1)
        outcomes = subject.outcomes([write])
        assert WriteOutcome.WRITTEN not in outcomes
        assert not subject.is_stored(write)

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
    def test_outcome_is_true_whatever_the_faults(
        self, steps: list[tuple[int, CallFault | str, bool]]
    ) -> None:
        subject = Subject()
        told: list[tuple[RecordWrite, WriteOutcome]] = []
        for number, (count, fault, delivers) in enumerate(steps):
            subject.store.is_late = isinstance(fault, str)
            if fault == "late_and_down":
                subject.store.next_faults.append(CallFault.DOWN)
            elif isinstance(fault, CallFault):
                subject.store.next_faults.append(fault)
            writes = [new_record(f"/jobs/{number}/{each}") for each in range(count)]
            told.extend(zip(writes, subject.outcomes(writes), strict=True))
            subject.store.next_faults.clear()
            if delivers:
                subject.store.deliver()
        subject.store.deliver()
        for write, outcome in told:
            if outcome is WriteOutcome.WRITTEN:
                assert subject.is_stored(write)
            elif outcome is not WriteOutcome.UNKNOWN:
                assert not subject.is_stored(write)


class TestCommitPacer:
    def test_lone_write_goes_at_once_and_a_busy_member_waits_its_share(self) -> None:
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
        subject = Subject()
        first, second = records(2)
        subject.outcomes([first])
        lease = StoreLeaseId(subject.store.grant_lease(10, TIMEOUT_S))
        successor = GroupCommitter(subject.store, MARKER, lease)
        assert successor.commit([second])[0].outcome is WriteOutcome.WRITTEN
        assert subject.outcomes(records(1)) == [WriteOutcome.NOT_WRITTEN]
