"""Contract tests run against every store: the engine in process and etcd's gateway."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
    StoreCompactedError,
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision, StoreLeaseId
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Delete,
    EventKind,
    Put,
    Store,
    Transaction,
    compare_absent,
    compare_unchanged,
)
from gooseberrydeck_platform.etcd import EtcdStore
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault, FaultKind
from gooseberrydeck_standins.store_engine import StoreEngine
from gooseberrydeck_standins.store_server import StoreServer

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2


class StoreUnderTest(msgspec.Struct):
    """A store under test with its engine, its clock and injectable faults."""

    store: Store
    engine: StoreEngine
    clock: ManualClock
    server: StoreServer | None = None

    def set_fault(self, fault: CallFault) -> None:
        if isinstance(self.store, EngineStore):
            self.store.fault = fault
            return
        assert self.server is not None
        kinds = {
            CallFault.DOWN: FaultKind.DOWN,
            CallFault.REQUEST_LOST: FaultKind.FAIL_EVERYTHING,
            CallFault.ANSWER_LOST: FaultKind.ANSWER_LOST,
            CallFault.NONE: FaultKind.NONE,
        }
        self.server.faults.set(kinds[fault])

    def put(self, key: str, value: bytes, lease: int = 0) -> Revision:
        operation = Put(key, value, StoreLeaseId(lease))
        result = self.store.commit(Transaction((), (operation,)), TIMEOUT_S)
        assert result.succeeded
        return result.revision


@contextmanager
def in_process() -> Iterator[StoreUnderTest]:
    clock = ManualClock()
    engine = StoreEngine(clock)
    yield StoreUnderTest(EngineStore(engine), engine, clock)


@contextmanager
def over_http() -> Iterator[StoreUnderTest]:
    clock = ManualClock()
    with StoreServer(clock, progress_s=0.0, threads=8) as server:
        store = EtcdStore([server.address])
        yield StoreUnderTest(store, server.engine, clock, server)
        store.close()


@pytest.fixture(params=[in_process, over_http], ids=["engine", "etcd"])
def subject(request: pytest.FixtureRequest) -> Iterator[StoreUnderTest]:
    with request.param() as opened:
        yield opened


class TestReads:
    def test_missing_key_is_none(self, subject: StoreUnderTest) -> None:
        assert subject.store.read("a", TIMEOUT_S) is None

    def test_entry_has_value_revision_and_version(
        self, subject: StoreUnderTest
    ) -> None:
        subject.put("a", b"first")
        revision = subject.put("a", bytes(range(256)))
        entry = subject.store.read("a", TIMEOUT_S)
        assert entry is not None
        assert entry.value == bytes(range(256))
        assert (entry.mod_revision, entry.version) == (revision, 2)

    def test_prefix_is_read_in_order_at_one_revision(
        self, subject: StoreUnderTest
    ) -> None:
        for key in ("b/2", "b/1", "a", "c", "b0"):
            subject.put(key, key.encode())
        snapshot = subject.store.read_prefix("b/", TIMEOUT_S)
        assert [entry.key for entry in snapshot.entries] == ["b/1", "b/2"]
        assert snapshot.revision == subject.engine.revision


class TestCommits:
    @pytest.mark.parametrize(
        ("compare", "succeeds"),
        [
            (compare_absent("a"), False),
            (compare_absent("z"), True),
            (Compare("a", CompareTarget.VERSION, 1), True),
            (Compare("a", CompareTarget.VERSION, 2), False),
            (Compare("a", CompareTarget.MOD_REVISION, 2), True),
            (Compare("a", CompareTarget.MOD_REVISION, 1), False),
            (Compare("a", CompareTarget.VALUE, b"old"), True),
            (Compare("a", CompareTarget.VALUE, b"new"), False),
            (Compare("z", CompareTarget.VALUE, b""), False),
        ],
    )
    def test_transaction_applies_only_if_compare_holds(
        self, subject: StoreUnderTest, compare: Compare, succeeds: bool
    ) -> None:
        subject.put("a", b"old")
        operations = (Put("a", b"new"), Put("b", b"new"))
        result = subject.store.commit(Transaction((compare,), operations), TIMEOUT_S)
        assert result.succeeded is succeeds
        assert result.revision == (3 if succeeds else 2)
        entry = subject.store.read("b", TIMEOUT_S)
        assert (entry is not None) is succeeds

    def test_one_of_two_competing_transactions_succeeds(
        self, subject: StoreUnderTest
    ) -> None:
        subject.put("a", b"old")
        entry = subject.store.read("a", TIMEOUT_S)
        assert entry is not None
        claim = Transaction((compare_unchanged(entry),), (Put("a", b"new"),))
        outcomes = [subject.store.commit(claim, TIMEOUT_S).succeeded for _ in range(2)]
        assert outcomes == [True, False]

    def test_key_and_prefix_are_deleted(self, subject: StoreUnderTest) -> None:
        for key in ("a", "b/1", "b/2", "c"):
            subject.put(key, b"")
        operations = (Delete("a"), Delete("b/", is_prefix=True), Delete("none"))
        subject.store.commit(Transaction((), operations), TIMEOUT_S)
        remaining = subject.store.read_prefix("", TIMEOUT_S)
        assert [entry.key for entry in remaining.entries] == ["c"]

    def test_too_many_operations_are_refused_without_effect(
        self, subject: StoreUnderTest
    ) -> None:
        operations = tuple(Put(f"k{index}", b"") for index in range(129))
        with pytest.raises(StoreRequestRefusedError):
            subject.store.commit(Transaction((), operations), TIMEOUT_S)
        assert subject.store.read("k0", TIMEOUT_S) is None

    def test_put_with_expired_lease_is_refused(self, subject: StoreUnderTest) -> None:
        with pytest.raises(StoreLeaseLostError):
            subject.put("a", b"", lease=99)
        assert subject.store.read("a", TIMEOUT_S) is None

    def test_store_is_thread_safe(self, subject: StoreUnderTest) -> None:
        def count_up() -> None:
            committed = 0
            while committed < 10:
                entry = subject.store.read("n", TIMEOUT_S)
                condition = compare_unchanged(entry) if entry else compare_absent("n")
                value = b"%d" % (int(entry.value if entry else 0) + 1)
                change = Transaction((condition,), (Put("n", value),))
                committed += subject.store.commit(change, TIMEOUT_S).succeeded

        threads = [threading.Thread(target=count_up) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        entry = subject.store.read("n", TIMEOUT_S)
        assert entry is not None
        assert entry.value == b"40"


class TestLeases:
    def test_keys_are_deleted_when_lease_expires(self, subject: StoreUnderTest) -> None:
        lease = subject.store.grant_lease(5, TIMEOUT_S)
        subject.put("a", b"", lease)
        subject.clock.advance(4)
        assert subject.store.keep_lease_alive(lease, TIMEOUT_S) == 5
        subject.clock.advance(4)
        entry = subject.store.read("a", TIMEOUT_S)
        assert entry is not None
        assert entry.lease == lease
        subject.clock.advance(1)
        assert subject.store.read("a", TIMEOUT_S) is None
        with pytest.raises(StoreLeaseLostError):
            subject.store.keep_lease_alive(lease, TIMEOUT_S)

    def test_keys_are_deleted_when_lease_is_revoked(
        self, subject: StoreUnderTest
    ) -> None:
        lease = subject.store.grant_lease(5, TIMEOUT_S)
        subject.put("a", b"", lease)
        subject.store.revoke_lease(lease, TIMEOUT_S)
        assert subject.store.read("a", TIMEOUT_S) is None
        with pytest.raises(StoreLeaseLostError):
            subject.store.revoke_lease(lease, TIMEOUT_S)


class TestWatches:
    def test_changes_arrive_in_order_from_start_revision(
        self, subject: StoreUnderTest
    ) -> None:
        subject.put("w/a", b"before")
        start = subject.put("w/a", b"1")
        subject.put("other", b"")
        subject.put("w/b", b"2")
        operations = (Delete("w/a"), Put("w/c", b"3"))
        subject.store.commit(Transaction((), operations), TIMEOUT_S)
        events = []
        for batch in subject.store.watch("w/", start, TIMEOUT_S):
            events.extend(batch.events)
            if len(events) >= 4:
                break
        assert [(e.kind, e.entry.key, e.entry.value) for e in events] == [
            (EventKind.PUT, "w/a", b"1"),
            (EventKind.PUT, "w/b", b"2"),
            (EventKind.DELETE, "w/a", b""),
            (EventKind.PUT, "w/c", b"3"),
        ]
        assert batch.revision == subject.engine.revision

    def test_expired_lease_is_reported_as_deletion(
        self, subject: StoreUnderTest
    ) -> None:
        lease = subject.store.grant_lease(5, TIMEOUT_S)
        revision = subject.put("w/a", b"", lease)
        subject.clock.advance(5)
        batch = next(
            batch
            for batch in subject.store.watch("w/", Revision(revision + 1), TIMEOUT_S)
            if batch.events
        )
        assert batch.events[0].kind is EventKind.DELETE

    def test_watch_from_compacted_revision_is_refused(
        self, subject: StoreUnderTest
    ) -> None:
        for _ in range(3):
            subject.put("w/a", b"")
        subject.engine.compact(3)
        with pytest.raises(StoreCompactedError):
            next(subject.store.watch("w/", Revision(2), TIMEOUT_S))

    def test_watch_ends_when_store_goes_down(self, subject: StoreUnderTest) -> None:
        revision = subject.put("w/a", b"")
        watch = subject.store.watch("w/", revision, TIMEOUT_S)
        assert next(watch).events
        subject.set_fault(CallFault.DOWN)
        try:
            for _ in watch:
                continue
        except StoreUnavailableError:
            pass
        with pytest.raises(StoreUnavailableError):
            next(subject.store.watch("w/", revision, TIMEOUT_S))


FAULTS = [
    (CallFault.DOWN, StoreUnavailableError, False),
    (CallFault.REQUEST_LOST, StoreOutcomeUnknownError, False),
    (CallFault.ANSWER_LOST, StoreOutcomeUnknownError, True),
]


class TestFaults:
    @pytest.mark.parametrize(("fault", "error", "has_effect"), FAULTS)
    def test_effect_of_failed_commit(
        self,
        subject: StoreUnderTest,
        fault: CallFault,
        error: type[StoreError],
        has_effect: bool,
    ) -> None:
        subject.set_fault(fault)
        with pytest.raises(error):
            subject.put("a", b"1")
        subject.set_fault(CallFault.NONE)
        entry = subject.store.read("a", TIMEOUT_S)
        assert (entry is not None) is has_effect

    @pytest.mark.parametrize(("fault", "error", "has_effect"), FAULTS)
    def test_effect_of_failed_keep_alive(
        self,
        subject: StoreUnderTest,
        fault: CallFault,
        error: type[StoreError],
        has_effect: bool,
    ) -> None:
        lease = subject.store.grant_lease(5, TIMEOUT_S)
        subject.clock.advance(3)
        subject.set_fault(fault)
        with pytest.raises(error):
            subject.store.keep_lease_alive(lease, TIMEOUT_S)
        subject.set_fault(CallFault.NONE)
        subject.clock.advance(3)
        if has_effect:
            assert subject.store.keep_lease_alive(lease, TIMEOUT_S) == 5
        else:
            with pytest.raises(StoreLeaseLostError):
                subject.store.keep_lease_alive(lease, TIMEOUT_S)


class TestEtcdStore:
    @pytest.mark.parametrize(
        "kind",
        [
            FaultKind.DOWN,
            FaultKind.REFUSE,
            FaultKind.FAIL_EVERYTHING,
            FaultKind.ANSWER_LOST,
            FaultKind.FROZEN,
        ],
    )
    def test_failed_read_is_unavailable(self, kind: FaultKind) -> None:
        with over_http() as subject:
            assert subject.server is not None
            subject.server.faults.set(kind)
            with pytest.raises(StoreUnavailableError):
                subject.store.read("a", SHORT_TIMEOUT_S)
            subject.server.faults.clear()

    def test_frozen_commit_has_unknown_outcome_and_late_effect(self) -> None:
        with over_http() as subject:
            assert subject.server is not None
            subject.server.faults.set(FaultKind.FROZEN)
            change = Transaction((), (Put("a", b"late"),))
            with pytest.raises(StoreOutcomeUnknownError):
                subject.store.commit(change, SHORT_TIMEOUT_S)
            assert subject.engine.range(b"a") == []
            subject.server.faults.clear()
            batches = subject.store.watch("a", Revision(1), TIMEOUT_S)
            events = next(batch.events for batch in batches if batch.events)
            assert events[0].entry.value == b"late"

    def test_silent_watch_times_out(self) -> None:
        with StoreServer(progress_s=TIMEOUT_S, threads=2) as server:
            store = EtcdStore([server.address])
            with pytest.raises(StoreUnavailableError):
                next(store.watch("w/", Revision(1), SHORT_TIMEOUT_S))

    def test_next_address_is_tried(self) -> None:
        with StoreServer(threads=2) as stopped:
            dead = stopped.address
        with StoreServer(threads=2) as server:
            store = EtcdStore([dead, server.address])
            assert store.read("a", TIMEOUT_S) is None

    def test_unreachable_store_is_unavailable(self) -> None:
        store = EtcdStore([HttpAddress("127.0.0.1", 1)])
        with pytest.raises(StoreUnavailableError):
            store.commit(Transaction((), (Put("a", b""),)), SHORT_TIMEOUT_S)
