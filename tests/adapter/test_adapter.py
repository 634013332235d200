"""Contract tests of the platform adapter against the platform's stand-ins."""

import platform
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from gooseberrydeck_adapter import (
    CallerCodec,
    HttpAdviser,
    HttpStore,
    HttpWorker,
    decode_intent,
    decode_registration,
)
from gooseberrydeck_adapter.configuration import ConfigurationUnreadableError
from gooseberrydeck_adapter.names import parse_task_name, task_name
from gooseberrydeck_adapter.settings import decode_settings
from gooseberrydeck_adapter_standins.advice import (
    MAX_WAITING_REQUESTS,
    AdviceApplication,
    Lane,
)
from gooseberrydeck_adapter_standins.local_platform import (
    default_configuration,
    job_body,
)
from gooseberrydeck_adapter_standins.store import PlatformStoreApplication
from gooseberrydeck_adapter_standins.worker import (
    DOWN_S,
    WorkerApplication,
    decode_run_plan,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.exceptions import (
    StoreCompactedError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Epoch, JobId, Revision
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Delete,
    EventKind,
    Put,
    Transaction,
)
from gooseberrydeck_fleet.advice import AdviceFailedError
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.settings import DurationUses, SettingsError
from gooseberrydeck_fleet.share_policy import BY_USE, SharePolicy
from gooseberrydeck_fleet.work import InvalidWorkError, JobState
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    StartOutcome,
    StartRequest,
    WorkerFencedError,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerSilentError,
)
from gooseberrydeck_platform.http import HttpResponse
from gooseberrydeck_standins.faults import FaultKind, FaultSettings
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine
from gooseberrydeck_standins.http_service import Reply, Request, StandinServer
from gooseberrydeck_standins.processes import wait_for
from gooseberrydeck_standins.store_engine import StoreEngine
from network_support import refused_address
from soak.proxy import Proxy

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 2.0
TASK = TaskRef(JobId("5c0e7a21d94b36f8"), 0, 1, 17)
WORKER = WorkerId("w1")
TOKEN = Epoch(3)
HOST = Resources(4_000, 1_000)


def late_timers() -> list[threading.Thread]:
    """Return the timers of calls that have not been carried out yet."""
    return [each for each in threading.enumerate() if isinstance(each, threading.Timer)]


def compare_absent(key: str) -> Compare:
    return Compare(key, CompareTarget.MOD_REVISION, 0)


class StoreFixture:
    """A store over HTTP with its engine, its clock and injectable faults."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.application = PlatformStoreApplication(StoreEngine(self.clock))
        self.server = StandinServer(self.application)
        self.store = HttpStore(self.server.address)


@pytest.fixture
def store_fixture() -> Iterator[StoreFixture]:
    fixture = StoreFixture()
    with fixture.server:
        yield fixture
        fixture.store.close()


class TestStore:
    def test_transaction_is_conditional_and_readable(
        self, store_fixture: StoreFixture
    ) -> None:
        store = store_fixture.store
        transaction = Transaction((compare_absent("a"),), (Put("a", b"\x00\xff"),))
        first = store.commit(transaction, TIMEOUT_S)
        assert first.succeeded
        assert not store.commit(transaction, TIMEOUT_S).succeeded
        entry = store.read("a", TIMEOUT_S)
        assert entry is not None
        assert (entry.value, entry.mod_revision) == (b"\x00\xff", first.revision)
        store.commit(Transaction((), (Delete("a"),)), TIMEOUT_S)
        assert store.read("a", TIMEOUT_S) is None

    def test_prefix_is_read_page_by_page(self, store_fixture: StoreFixture) -> None:
        for batch in range(21):
            keys = [f"p/{batch:02}/{index:02}" for index in range(30)]
            puts = tuple(Put(key, b"x") for key in keys)
            store_fixture.store.commit(Transaction((), puts), TIMEOUT_S)
        snapshot = store_fixture.store.read_prefix("p/", TIMEOUT_S)
        assert len(snapshot.entries) == 630
        assert len({entry.key for entry in snapshot.entries}) == 630

    def test_page_begins_after_a_key(self, store_fixture: StoreFixture) -> None:
        store = store_fixture.store
        for batch in range(17):
            puts = tuple(Put(f"p/{batch:02}/{n:02}", b"x") for n in range(30))
            revision = store.commit(Transaction((), puts), TIMEOUT_S).revision
        first = store.read_page("p/", "", TIMEOUT_S, may_be_stale=True)
        assert (len(first.entries), first.is_last) == (500, False)
        after = first.entries[-1].key
        second = store.read_page("p/", after, TIMEOUT_S, may_be_stale=True)
        assert (len(second.entries), second.is_last) == (10, True)
        assert second.entries[0].key > after
        assert first.revision == second.revision == revision

    # A successor would have gone on without the progress on the missing pages.
    def test_page_that_names_no_next_one_is_an_error(
        self, store_fixture: StoreFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        page = HttpResponse(200, {}, b'{"items":[],"Truncated":true,"AsOf":9}')
        monkeypatch.setattr(store_fixture.store, "call", lambda *_: page)
        with pytest.raises(StoreUnavailableError):
            store_fixture.store.read_prefix("p/", TIMEOUT_S)

    def test_watch_reports_changes_in_order(self, store_fixture: StoreFixture) -> None:
        store = store_fixture.store
        first = store.commit(Transaction((), (Put("w/a", b"1"),)), TIMEOUT_S)
        watch = store.watch("w/", Revision(first.revision + 1), TIMEOUT_S)
        store.commit(Transaction((), (Put("w/b", b"2"),)), TIMEOUT_S)
        store.commit(Transaction((), (Delete("w/a"),)), TIMEOUT_S)
        events = [(event.kind, event.entry.key) for event in next(watch).events]
        assert events == [(EventKind.PUT, "w/b"), (EventKind.DELETE, "w/a")]

    def test_watch_wait_and_stall_timeout_can_be_chosen(
        self, store_fixture: StoreFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        address = store_fixture.server.address
        store = HttpStore(address, watch_wait_s=0.25, stall_timeout_s=0.5)
        assert store.pool.stall_timeout_s == 0.5
        # A watch receives nothing while it waits.
        assert store.watch_pool.stall_timeout_s == 0.75
        paths: list[str] = []

        def call(_method: str, path: str, *_: object) -> HttpResponse:
            paths.append(path)
            return HttpResponse(200, {}, b'{"events":[],"AsOf":9}')

        monkeypatch.setattr(store, "call", call)
        next(store.watch("w/", Revision(9), TIMEOUT_S))
        assert "WaitMs=250" in paths[0]

    def test_watch_from_compacted_revision_is_refused(
        self, store_fixture: StoreFixture
    ) -> None:
        store = store_fixture.store
        first = store.commit(Transaction((), (Put("a", b"1"),)), TIMEOUT_S)
        store.commit(Transaction((), (Put("a", b"2"),)), TIMEOUT_S)
        engine = store_fixture.application.engine
        engine.compact(engine.revision)
        with pytest.raises(StoreCompactedError):
            next(store.watch("a", Revision(first.revision), TIMEOUT_S))

    def test_keys_are_deleted_when_lease_expires(
        self, store_fixture: StoreFixture
    ) -> None:
        store = store_fixture.store
        lease = store.grant_lease(1.5, TIMEOUT_S)
        store.commit(Transaction((), (Put("a", b"", lease),)), TIMEOUT_S)
        store_fixture.clock.advance(1.0)
        assert store.keep_lease_alive(lease, TIMEOUT_S) == 1.5
        store_fixture.clock.advance(1.4)
        assert store.read("a", TIMEOUT_S) is not None
        store_fixture.clock.advance(0.2)
        assert store.read("a", TIMEOUT_S) is None
        with pytest.raises(StoreLeaseLostError):
            store.keep_lease_alive(lease, TIMEOUT_S)
        with pytest.raises(StoreLeaseLostError):
            store.commit(Transaction((), (Put("a", b"", lease),)), TIMEOUT_S)

    def test_operator_keys_are_read_only(self, store_fixture: StoreFixture) -> None:
        with pytest.raises(StoreRequestRefusedError):
            store_fixture.store.commit(Transaction((), (Put("op/x", b""),)), TIMEOUT_S)

    def test_transaction_with_too_many_entries_is_refused(
        self, store_fixture: StoreFixture
    ) -> None:
        puts = tuple(Put(f"k{number}", b"") for number in range(33))
        with pytest.raises(StoreRequestRefusedError):
            store_fixture.store.commit(Transaction((), puts), TIMEOUT_S)

    @pytest.mark.parametrize(
        ("fault", "error", "has_effect"),
        [
            (FaultKind.DOWN, StoreUnavailableError, False),
            (FaultKind.REFUSE, StoreUnavailableError, False),
            (FaultKind.BUSY, StoreUnavailableError, False),
            (FaultKind.LATE, StoreOutcomeUnknownError, False),
            (FaultKind.ANSWER_LOST, StoreOutcomeUnknownError, True),
            (FaultKind.FROZEN, StoreOutcomeUnknownError, False),
        ],
    )
    def test_error_and_effect_of_fault(
        self,
        store_fixture: StoreFixture,
        fault: FaultKind,
        error: type[Exception],
        has_effect: bool,
    ) -> None:
        store_fixture.application.faults.set(fault, calls=1)
        with pytest.raises(error):
            store_fixture.store.commit(Transaction((), (Put("a", b"1"),)), 0.3)
        assert bool(store_fixture.application.engine.range(b"a")) is has_effect
        store_fixture.application.faults.clear()

    def test_late_write_takes_effect_only_while_its_condition_holds(
        self, store_fixture: StoreFixture
    ) -> None:
        store, engine = store_fixture.store, store_fixture.application.engine
        soon = FaultSettings(FaultKind.LATE, late_s=(0.3, 0.4))
        for key in ("a", "b"):
            store_fixture.application.write_faults.apply(soon)
            create = Transaction((compare_absent(key),), (Put(key, b"late"),))
            with pytest.raises(StoreOutcomeUnknownError):
                store.commit(create, TIMEOUT_S)
        store_fixture.application.write_faults.clear()
        store.commit(Transaction((), (Put("a", b"newer"),)), TIMEOUT_S)
        wait_for(lambda: bool(engine.range(b"b")), "the late write of b", 10.0)
        wait_for(lambda: not late_timers(), "the late write of a", 10.0)
        assert [each.value for each in engine.range(b"a", b"c")] == [b"newer", b"late"]

    def test_reads_pass_while_responses_of_writes_are_lost(
        self, store_fixture: StoreFixture
    ) -> None:
        store = store_fixture.store
        store_fixture.application.write_faults.set(FaultKind.ANSWER_LOST)
        with pytest.raises(StoreOutcomeUnknownError):
            store.commit(Transaction((), (Put("a", b"1"),)), TIMEOUT_S)
        assert store.read("a", TIMEOUT_S) is not None

    @pytest.mark.parametrize("fault", [FaultKind.DOWN, FaultKind.BUSY])
    def test_one_caller_is_refused_while_others_are_served(
        self, store_fixture: StoreFixture, fault: FaultKind
    ) -> None:
        relay = Proxy(store_fixture.server.address, "127.0.0.9")
        refused = HttpStore(relay.address)
        store_fixture.application.caller_faults["127.0.0.9"].set(fault)
        with pytest.raises(StoreUnavailableError):
            refused.read("a", TIMEOUT_S)
        assert store_fixture.store.read("a", TIMEOUT_S) is None
        store_fixture.application.caller_faults["127.0.0.9"].clear()
        assert refused.read("a", TIMEOUT_S) is None
        refused.close()
        relay.close()

    def test_share_of_the_calls_is_affected(self, store_fixture: StoreFixture) -> None:
        settings = FaultSettings(FaultKind.DOWN, share=0.5)
        store_fixture.application.faults.apply(settings)
        refused = 0
        for _ in range(40):
            try:
                store_fixture.store.read("a", TIMEOUT_S)
            except StoreUnavailableError:
                refused += 1
        assert 0 < refused < 40

    def test_lapsed_key_is_back_once_its_owner_writes_later(
        self, store_fixture: StoreFixture
    ) -> None:
        application = store_fixture.application
        write = Request("PUT", "/operator", b"entry", "Key=servers/w1")
        application.handle(write)
        application.handle(Request("PUT", "/lapse", b"", "Key=servers/w1&ForMs=2000"))
        application.handle(write)
        assert store_fixture.store.read("servers/w1", TIMEOUT_S) is None
        store_fixture.clock.advance(2.0)
        application.handle(write)
        assert store_fixture.store.read("servers/w1", TIMEOUT_S) is not None

    def test_range_in_small_pages_is_complete(
        self, store_fixture: StoreFixture
    ) -> None:
        store_fixture.application.page_items = 3
        puts = tuple(Put(f"p/{index}", b"x") for index in range(8))
        store_fixture.store.commit(Transaction((), puts), TIMEOUT_S)
        snapshot = store_fixture.store.read_prefix("p/", TIMEOUT_S)
        assert [entry.key for entry in snapshot.entries] == [put.key for put in puts]

    def test_unreachable_store_has_no_effect(self) -> None:
        with refused_address() as address, pytest.raises(StoreUnavailableError):
            HttpStore(address).read("a", TIMEOUT_S)

    def test_commit_over_rate_limit_is_unavailable(
        self, store_fixture: StoreFixture
    ) -> None:
        store_fixture.application.writes.per_s = 1
        store = store_fixture.store
        store.commit(Transaction((), (Put("a", b"1"),)), TIMEOUT_S)
        with pytest.raises(StoreUnavailableError):
            store.commit(Transaction((), (Put("a", b"2"),)), TIMEOUT_S)


class WorkerFixture:
    """A worker over HTTP with its engine, its clock and injectable faults."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.engine = FleetWorkerEngine(self.clock, HOST, decode_run_plan, born_ms=77)
        self.application = WorkerApplication(WORKER, self.engine)
        self.server = StandinServer(self.application)
        self.calls = HttpWorker(WORKER, self.server.address)

    def request(self, run: int = 1, until_ms: int = 5_000) -> StartRequest:
        payload = '{"seconds":1.0,"cpu":1000}'
        return StartRequest(TASK, run, payload, until_ms)

    def start(self, run: int = 1, until_ms: int = 5_000) -> StartOutcome:
        request = self.request(run, until_ms)
        return self.calls.start(request, TOKEN, TIMEOUT_S)[0]


@pytest.fixture
def worker_fixture() -> Iterator[WorkerFixture]:
    fixture = WorkerFixture()
    with fixture.server:
        yield fixture
        fixture.calls.close()


class TestWorker:
    def test_run_is_listed_until_it_ends_and_end_until_acknowledged(
        self, worker_fixture: WorkerFixture
    ) -> None:
        assert worker_fixture.start() is StartOutcome.STARTED
        assert worker_fixture.start() is StartOutcome.STARTED
        worker_fixture.clock.advance(0.5)
        reply = worker_fixture.calls.poll(TOKEN, 0, 4_000, 0.0, TIMEOUT_S)
        assert [(run.task, run.run, run.progress) for run in reply.runs] == [
            (TASK, 1, 50.0)
        ]
        assert reply.born_ms == 77
        worker_fixture.clock.advance(0.6)
        for _ in range(2):
            reply = worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
            assert [(end.number, end.kind) for end in reply.ends] == [
                (1, EndKind.SUCCEEDED)
            ]
        assert worker_fixture.calls.poll(TOKEN, 1, None, 0.0, TIMEOUT_S).ends == ()

    # The scheduler applies each end once, by its number: an end listed after one with
    # a higher number was acknowledged without having counted.
    def test_ends_are_ordered_by_number(self, worker_fixture: WorkerFixture) -> None:
        for number in range(2):
            task = TASK._replace(number=number)
            request = StartRequest(task, 1, '{"seconds":0.1}', 5_000)
            worker_fixture.calls.start(request, TOKEN, TIMEOUT_S)
        worker_fixture.clock.advance(0.2)
        reply = worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
        assert [end.number for end in reply.ends] == [1, 2]
        worker_fixture.engine.ends.reverse()
        reply = worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
        assert [end.number for end in reply.ends] == [1, 2]

    def test_gang_with_a_member_on_each_of_two_workers_is_done_together(
        self, worker_fixture: WorkerFixture
    ) -> None:
        clock, application = worker_fixture.clock, worker_fixture.application
        engine = FleetWorkerEngine(
            clock, HOST, decode_run_plan, gangs=worker_fixture.engine.gangs
        )
        payload = '{"seconds":1.0,"gang":2}'
        other_task = TASK._replace(number=TASK.number + 1)
        with StandinServer(
            WorkerApplication(WORKER, engine, application.lock)
        ) as server:
            other = HttpWorker(WORKER, server.address)
            request = StartRequest(TASK, 1, payload, 5_000)
            worker_fixture.calls.start(request, TOKEN, TIMEOUT_S)
            clock.advance(1.5)
            reply = worker_fixture.calls.poll(TOKEN, 0, 5_000, 0.0, TIMEOUT_S)
            assert [run.progress for run in reply.runs] == [0.0]
            request = StartRequest(other_task, 1, payload, 5_000)
            other.start(request, TOKEN, TIMEOUT_S)
            clock.advance(1.1)
            for calls in (worker_fixture.calls, other):
                reply = calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
                assert [end.kind for end in reply.ends] == [EndKind.SUCCEEDED]
            other.close()

    def test_stopped_run_resumes_from_its_checkpoint(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.start()
        worker_fixture.clock.advance(0.4)
        worker_fixture.calls.stop(TASK, 1, TOKEN, TIMEOUT_S)
        worker_fixture.clock.advance(0.3)
        end = worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S).ends[0]
        assert end.kind is EndKind.STOPPED
        assert float(end.checkpoint) > 0.4

    def test_stop_that_arrives_before_start_prevents_it(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.calls.stop(TASK, 1, TOKEN, TIMEOUT_S)
        assert worker_fixture.start(run=1) is StartOutcome.SUPERSEDED
        assert worker_fixture.start(run=2) is StartOutcome.STARTED

    def test_start_after_lease_end_is_refused(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.clock.advance(2.0)
        assert worker_fixture.start(until_ms=1_500) is StartOutcome.EXPIRED

    def test_lower_fencing_token_is_refused(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.start()
        with pytest.raises(WorkerFencedError):
            worker_fixture.calls.poll(Epoch(TOKEN - 1), 0, None, 0.0, TIMEOUT_S)

    def test_call_to_replaced_instance_is_refused(
        self, worker_fixture: WorkerFixture
    ) -> None:
        other = HttpWorker(WorkerId("w2"), worker_fixture.server.address)
        with pytest.raises(WorkerReplacedError):
            other.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
        other.close()

    def test_unavailable_worker_sheds_starts(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.application.faults.set(FaultKind.REFUSE)
        assert worker_fixture.start() is StartOutcome.SHED

    def test_start_with_lost_response_takes_effect(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.application.faults.set(FaultKind.ANSWER_LOST, calls=1)
        with pytest.raises(WorkerSilentError):
            worker_fixture.start()
        assert len(worker_fixture.engine.runs) == 1

    def test_late_start_takes_effect_after_newer_calls(
        self, worker_fixture: WorkerFixture
    ) -> None:
        faults = worker_fixture.application.faults
        faults.apply(FaultSettings(FaultKind.LATE, calls=1, late_s=(0.2, 0.3)))
        with pytest.raises(WorkerSilentError):
            worker_fixture.start()
        assert worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S).runs == ()
        wait_for(lambda: bool(worker_fixture.engine.runs), "the late start", 10.0)

    def test_polls_are_answered_while_orders_are_late(
        self, worker_fixture: WorkerFixture
    ) -> None:
        worker_fixture.application.order_faults.apply(
            FaultSettings(FaultKind.LATE, late_s=(0.2, 0.3))
        )
        with pytest.raises(WorkerSilentError):
            worker_fixture.start()
        assert worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S).runs == ()
        wait_for(lambda: bool(worker_fixture.engine.runs), "the late start", 10.0)

    def test_late_poll_acknowledges_ends(self, worker_fixture: WorkerFixture) -> None:
        engine = worker_fixture.engine
        worker_fixture.start()
        worker_fixture.clock.advance(1.5)
        assert worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S).ends
        faults = worker_fixture.application.faults
        faults.apply(FaultSettings(FaultKind.LATE, calls=1, late_s=(0.2, 0.3)))
        with pytest.raises(WorkerSilentError):
            worker_fixture.calls.poll(TOKEN, 1, None, 0.0, TIMEOUT_S)
        wait_for(lambda: not engine.ends, "the late acknowledgement", 10.0)

    @pytest.mark.parametrize("outlives_process", [False, True])
    def test_late_call_to_a_former_process(
        self, worker_fixture: WorkerFixture, outlives_process: bool
    ) -> None:
        application = worker_fixture.application
        application.faults.apply(
            FaultSettings(
                FaultKind.LATE,
                calls=1,
                late_s=(DOWN_S + 1.5, DOWN_S + 1.6),
                outlives_process=outlives_process,
            )
        )
        with pytest.raises(WorkerSilentError):
            worker_fixture.start()
        application.handle(Request("PUT", "/restart", b""))
        assert application.engine is not worker_fixture.engine
        wait_for(lambda: not late_timers(), "the late start", 10.0)
        assert bool(application.engine.runs) is outlives_process

    def test_restart_begins_tokens_and_numbers_of_ends_anew(
        self, worker_fixture: WorkerFixture
    ) -> None:
        application = worker_fixture.application
        worker_fixture.start()
        worker_fixture.clock.advance(1.5)
        former = worker_fixture.calls.poll(TOKEN, 0, None, 0.0, TIMEOUT_S)
        application.handle(Request("PUT", "/restart", b""))
        wait_for(lambda: not application.is_down(), "the restart", 10.0)
        reply = worker_fixture.calls.poll(Epoch(TOKEN - 1), 0, 0, 0.0, TIMEOUT_S)
        assert (reply.ends, reply.clock_ms) == ((), 0)
        assert reply.born_ms != former.born_ms
        ledger = msgspec.json.decode(application.ledger().body)
        assert [span["is_void"] for span in ledger["spans"]] == [True]

    def test_refused_connection_means_worker_is_gone(self) -> None:
        with refused_address() as address, pytest.raises(WorkerRefusedError):
            HttpWorker(WORKER, address).poll(TOKEN, 0, None, 0.0, TIMEOUT_S)

    def test_hold_waits_for_run_to_end(self, worker_fixture: WorkerFixture) -> None:
        worker_fixture.start()
        timer = threading.Timer(0.1, worker_fixture.clock.advance, (1.5,))
        timer.start()
        reply = worker_fixture.calls.poll(TOKEN, 0, None, 2.0, TIMEOUT_S)
        timer.join()
        assert len(reply.ends) == 1


class FixedReply:
    """A service with the same reply to every request."""

    def __init__(self, reply: Reply) -> None:
        self.reply = reply

    def handle(self, _request: Request) -> Reply:
        return self.reply


class TestAdvice:
    def test_advice_has_ticket_for_each_allowed_worker(self) -> None:
        application = AdviceApplication(0, 0, share=1.0)
        with StandinServer(application) as server:
            adviser = HttpAdviser(server.address)
            step = StepRef(JobId("a"), 0, 0)
            advice = adviser.ask(step, (WORKER,), TIMEOUT_S)
            assert set(advice.tickets) == {WORKER}
            assert advice.valid_s == 2.5
            application.faults.set(FaultKind.DOWN)
            with pytest.raises(AdviceFailedError):
                adviser.ask(step, (WORKER,), TIMEOUT_S)
            adviser.pool.close()

    # Guards against a deeply nested response that crashes whoever reads it.
    def test_response_that_cannot_be_read_is_a_failure(self) -> None:
        nested = Reply(body=b'{"Good":[],"Other":' + b"[" * 5_000 + b"]" * 5_000 + b"}")
        with StandinServer(FixedReply(nested)) as server:
            adviser = HttpAdviser(server.address)
            with pytest.raises(AdviceFailedError):
                adviser.ask(StepRef(JobId("a"), 0, 0), (WORKER,), TIMEOUT_S)
            adviser.pool.close()

    def test_requests_wait_only_for_those_of_their_caller(self) -> None:
        application = AdviceApplication(0, 0, share=1.0)
        lane = application.lanes["127.0.0.10"] = Lane()
        lane.waiting_count = MAX_WAITING_REQUESTS
        body = msgspec.json.encode({"Step": "a.0.0", "Workers": [WORKER]})
        with lane.lock:
            statuses = [
                application.handle(
                    Request("POST", "/advise", body, caller=caller)
                ).status
                for caller in ("127.0.0.10", "127.0.0.11")
            ]
        assert statuses == [429, 200]


class TestDecoding:
    def test_task_name_round_trip(self) -> None:
        assert parse_task_name(task_name(TASK)) == TASK

    # Guards against workers that count as silent: the names of a job's tasks could not
    # be parsed if the caller had chosen an id with a full stop.
    @pytest.mark.parametrize("job", ["a.b", ".", "", "a.1.2.3", "a b", "a\nb"])
    def test_task_name_round_trip_of_an_odd_id(self, job: str) -> None:
        task = TASK._replace(job=JobId(job))
        assert parse_task_name(task_name(task)) == task

    @pytest.mark.parametrize(
        "name",
        ["", "a.0.0", "a.0.0.x", "a.b.c.d.e", "a.-1.0.0", "a.0.-1.0", "a.0.0.-1"],
    )
    def test_malformed_task_name_is_rejected(self, name: str) -> None:
        with pytest.raises(ValueError, match=r"."):
            parse_task_name(name)

    @pytest.mark.parametrize(
        "change",
        [
            lambda entry: entry.pop("Service"),
            lambda entry: entry.update(State="resting"),
            lambda entry: entry.update(Address="nowhere"),
            lambda entry: entry.update(Capacity=5),
            lambda entry: entry.update(Capacity={"Cpu": "many", "MemMb": 1}),
            lambda entry: entry.update(Labels="a"),
        ],
    )
    def test_malformed_registration_is_ignored(
        self, change: Callable[[dict[str, object]], object]
    ) -> None:
        entry: dict[str, object] = {
            "Service": "desk",
            "Address": "127.0.0.1:1",
            "State": "draining",
            "RemainingMs": 1_500,
            "Capacity": {"Cpu": 4_000, "MemMb": 10},
            "Labels": ["a", "r1-3"],
            "Unknown": True,
        }
        found = decode_registration("servers/w", msgspec.json.encode(entry))
        assert (found.worker, found.rack, found.remaining_s) == ("w", "r1-3", 1.5)
        assert found.is_draining
        change(entry)
        with pytest.raises(DecodingError):
            decode_registration("servers/w", msgspec.json.encode(entry))

    def test_undecodable_registration_is_ignored(self) -> None:
        with pytest.raises(DecodingError):
            decode_registration("servers/w", b"\xff{")

    def test_configuration_is_decoded(self) -> None:
        wire = default_configuration(7, with_advice=True)
        intent = decode_intent(msgspec.json.encode(wire))
        queue = intent.find_queue("DESK.example", "/urgent/00")
        assert intent.version == 7
        assert queue is not None
        assert (queue.slack_s, queue.priority) == (0.25, 0)
        assert queue.advice is not None
        assert queue.advice.valid_s == 2.5
        with pytest.raises(ConfigurationUnreadableError):
            decode_intent(b"{}")

    def test_longest_prefix_wins(self) -> None:
        wire = default_configuration()
        wire["Routes"].append(
            {**wire["Routes"][0], "Name": "x", "Prefix": "/urgent/x/"}
        )
        intent = decode_intent(msgspec.json.encode(wire))
        found = intent.find_queue("desk.example:80", "/urgent/x/1")
        assert found is not None
        assert found.name == "x"

    def test_job_is_decoded(self) -> None:
        codec = CallerCodec()
        work = codec.decode_work(job_body(steps=2, SavesProgress=True, MaxPerServer=2))
        assert work.steps[1].after == (0,)
        assert work.steps[0].saves_progress
        assert work.steps[0].max_per_worker == 2
        with pytest.raises(InvalidWorkError):
            codec.decode_work(b'{"Steps":[{"Count":"x"}]}')
        states = {codec.encode_state(state) for state in JobState}
        assert len(states) == len(JobState)

    def test_settings_are_decoded(self) -> None:
        text = b"""
NodeName: "n1"
Ip: "10.0.0.1"
Zone: "z"
Listen: {Front: "10.0.0.1:80", Ready: "10.0.0.1:81"}
PortRange: [7000, 7015]
platform: {Address: "10.0.0.9:1", TtlMinMs: 1000}
Bounds: {MaxHoldMs: 10000, status_s: 120, FarX: 1.5}
Limits: {CpuShare: 0.5, Cores: 2, MemoryMb: 300, MaxFds: 1638}
FieldOfTomorrow: 5
"""
        settings = decode_settings(text)
        assert settings.timing.task_lease_s == 10.0
        assert settings.timing.far_factor == 1.5
        assert settings.timing.contact_s == 3.0
        changed = decode_settings(text.replace(b"FarX", b"ContactMs: 5000, FarX"))
        assert changed.timing.contact_s == 5.0
        assert settings.processor_share == 1.0
        assert (settings.memory_mib, settings.max_fds) == (300, 1_638)
        assert settings.peer_port == 7000
        with pytest.raises(SettingsError):
            decode_settings(text.replace(b"PortRange: [7000, 7015]", b""))
        assert settings.durations == DurationUses()
        learning = decode_settings(text + b"LearnDurations: true\n")
        assert learning.durations == DurationUses.all()
        # Jobs are ordered by use only where the deployment's settings ask for it.
        assert settings.shares == SharePolicy()
        assert decode_settings(text + b"ShareByUse: true\n").shares == BY_USE


class TestPlatformFolder:
    def test_platform_module_of_standard_library_is_not_shadowed(self) -> None:
        code = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
        )
        assert done.stdout.decode().strip() == platform.python_version()
        assert not (ROOT / "platform" / "__init__.py").exists()

    def test_wire_names_of_platform_are_used_only_by_adapter(self) -> None:
        names = ("FencingToken", "run-start", "kv-txn", "ExpectRev", "op/config")
        found = [
            (path, name)
            for path in (ROOT / "packages").rglob("*.py")
            for name in names
            if name in path.read_text()
        ]
        assert found == []
