"""Tests of submitting, reading and cancelling jobs, with tasks on real threads."""

import io
import random
import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from gooseberrydeck_configuration.objects import (
    Configuration,
    Limit,
    Queue,
    QueuePolicy,
)
from gooseberrydeck_coordination.clock import SystemClock
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    DataCentre,
    Epoch,
    HostName,
    JobId,
    MemberId,
    QueueName,
    Rack,
    Revision,
    TeamName,
)
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.slices import SliceLedger
from gooseberrydeck_coordination.slices.ledger import StoredSlices
from gooseberrydeck_coordination.slices.records import TeamLimit, split_evenly
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_daemon.dispatch.exceptions import Outcome
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.jobs.component import JobsComponent
from gooseberrydeck_daemon.jobs.handlers import JobsHandler
from gooseberrydeck_daemon.jobs.messages import JobBound
from gooseberrydeck_daemon.jobs.task import JobsTask
from gooseberrydeck_daemon.limits import TeamAdmission
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.peers import Inbound, MessageRegistry, PeerMessage
from gooseberrydeck_daemon.usage import UsageTable
from gooseberrydeck_daemon.views import ConfigurationHolder
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_service.responses import Response
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.engine_worker import EngineWorker
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.ledger import Ledger
from gooseberrydeck_standins.store_engine import StoreEngine
from gooseberrydeck_standins.worker_engine import WorkerEngine
from jobs_support import CAPACITY, CELL, KEYS, SHARD, TIMING
from odd_values import ODD_RECORDS, deep, with_raw

OWNER, OTHER = MemberId("owner"), MemberId("other")
HOST = HostName("host-0")
PRESS, RADIO = TeamName("press"), TeamName("radio")
NUMBER = ConfigurationNumber(1)
WORKER = Host(
    HOST,
    HostKind.WORKER,
    HostState.LIVE,
    "127.0.0.1",
    1,
    DataCentre("lima-1"),
    Rack("rack-1"),
    capacity=CAPACITY,
)
CONFIGURATION = Configuration(
    NUMBER,
    limits=(Limit(PRESS, 100), Limit(RADIO, 100)),
    queues=(
        Queue(QueueName("batch"), QueuePolicy.BATCH, (PRESS, RADIO)),
        Queue(QueueName("gang"), QueuePolicy.GANG, (RADIO,)),
    ),
)


class LocalPeers:
    """Deliver messages of the other member directly to the owner's task."""

    task: JobsTask

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        self.task.receive(Inbound(OTHER, message, lambda _answer: None))
        return True

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> "Future[Any]":
        answer: Future[Any] = Future()
        self.task.receive(Inbound(OTHER, message, answer.set_result))
        return answer


def make_admission() -> TeamAdmission:
    """Return the admission of an owner that holds the full limit of each team."""
    ledger = SliceLedger()
    limits = [TeamLimit(team, 100, NUMBER) for team in (PRESS, RADIO)]
    ledger.set_limits(NUMBER, limits)
    ledger.confirm(NUMBER)
    for limit in limits:
        record = split_evenly(limit, [SHARD])
        ledger.observe(StoredSlices(record, Revision(1)))
    ledger.add_shard(SHARD, Revision(1), {})
    return TeamAdmission(ledger, InMemoryMetrics())


class JobsCell:
    """The owner of the only shard, with its tasks on threads."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.engine = WorkerEngine(HOST, CAPACITY, clock, Ledger())
        self.store = EngineStore(StoreEngine(clock))
        claim = Put(KEYS.shard(SHARD), b"1")
        revision = self.store.commit(Transaction((), (claim,)), 1.0).revision
        quarantine = Quarantine(TIMING, clock.monotonic(), has_predecessor=False)
        owned = OwnedShard(SHARD, Epoch(1), revision, float("inf"), quarantine)
        self.view = OwnershipView(
            clock, OWNER, {SHARD: owned}, {SHARD: OWNER}, {}, {HOST: SHARD}
        )
        holder = ConfigurationHolder(CONFIGURATION)
        self.access = AccessIndex(holder)
        self.peers = LocalPeers()
        self.executor = ThreadPoolExecutor(4)
        self.side = JobsComponent(
            CELL,
            OWNER,
            self.store,
            lambda: self.view,
            holder,
            self.access,
            self.peers,
            MessageRegistry(),
            make_admission(),
            UsageTable(random.Random(0)),
            lambda: (WORKER,),
            lambda _host: EngineWorker(self.engine),
            TIMING.task_lease_s,
            self.executor,
            clock,
            InMemoryMetrics(),
        )
        self.peers.task = self.side.task
        self.threads = [
            threading.Thread(target=task.run, daemon=True) for task in self.side.tasks()
        ]

    def router(self, member: MemberId) -> Router:
        router = Router()
        if member == OWNER:
            self.side.add_routes(router)
            return router
        view = OwnershipView(self.view.clock, member, owners={SHARD: OWNER})
        handler = JobsHandler(
            self.access,
            self.side.handler.acceptor,
            self.side.task,
            self.peers,
            lambda: view,
            self.side.rules,
        )
        for route in handler.routes():
            router.add(route)
        return router

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        query: str = "",
        team: TeamName = PRESS,
        member: MemberId = OWNER,
    ) -> Response:
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        environ = {"wsgi.input": io.BytesIO(content)}
        request = Request(method, path, query, environ, 0.0, team=team)
        request.route, request.parameters = self.router(member).resolve(request)
        request.route.prepare(request)
        response: Response = request.route.handle(request)
        return response


@contextmanager
def running(cell: JobsCell) -> Iterator[JobsCell]:
    for thread in cell.threads:
        thread.start()
    try:
        yield cell
    finally:
        for task in cell.side.tasks():
            task.stop()
        for thread in cell.threads:
            thread.join(5.0)
        cell.executor.shutdown()


@pytest.fixture(name="cell")
def make_cell() -> Iterator[JobsCell]:
    with running(JobsCell()) as cell:
        yield cell


def job(name: str = "job", run_s: float = 0.0, **fields: object) -> dict[str, object]:
    payload = msgspec.json.encode({"run_s": run_s, "result": "true"}).decode()
    return {"id": name, "payload": payload, "max_run_s": 600.0, **fields}


DEEP_JOB = with_raw({"labels": {"a": "RAW"}, **job()}, deep(3_000))


def read(response: Response) -> dict[str, Any]:
    value: dict[str, Any] = msgspec.json.decode(response.body)
    return value


class TestJobs:
    @pytest.mark.parametrize("member", [OWNER, OTHER])
    def test_job_runs_and_its_result_is_returned(
        self, cell: JobsCell, member: MemberId
    ) -> None:
        response = cell.call("POST", "/v1/queues/batch/jobs", job(), member=member)
        assert response.status == 202
        assert ("Location", "/v1/jobs/job") in response.headers
        answer = cell.call("GET", "/v1/jobs/job", query="wait_s=30", member=member)
        found = read(answer)
        assert found["state"] == "succeeded"
        assert found["tasks"][0]["result"] == "true"

    def test_repeated_submission_returns_the_same_job(self, cell: JobsCell) -> None:
        for _ in range(2):
            response = cell.call("POST", "/v1/queues/batch/jobs", job())
            assert response.status == 202
        cell.call("GET", "/v1/jobs/job", query="wait_s=30")
        assert len(cell.engine.ledger.snapshot()) == 1

    @pytest.mark.parametrize("member", [OWNER, OTHER])
    def test_cancel(self, cell: JobsCell, member: MemberId) -> None:
        cell.call("POST", "/v1/queues/batch/jobs", job(run_s=500.0))
        assert cell.call("DELETE", "/v1/jobs/job", member=member).status == 200
        found = read(cell.call("GET", "/v1/jobs/job", query="wait_s=30"))
        assert found["state"] == "cancelled"

    @pytest.mark.parametrize(
        ("query", "cancelled"), [("", 3), ("label=show=late", 1), ("label=x=y", 0)]
    )
    def test_cancel_many(self, cell: JobsCell, query: str, cancelled: int) -> None:
        for number in range(3):
            labels = {"show": "late"} if number == 0 else {}
            sent = job(f"job-{number}", run_s=500.0, labels=labels)
            cell.call("POST", "/v1/queues/batch/jobs", sent)
        radio = job("radio", run_s=500.0)
        cell.call("POST", "/v1/queues/batch/jobs", radio, team=RADIO)
        response = cell.call("DELETE", "/v1/queues/batch/jobs", query=query)
        assert read(response) == {"cancelled": cancelled}

    # Guards against an accepted job that runs after all jobs of its queue have been
    # cancelled: its owner wasn't notified of it.
    def test_cancel_many_includes_jobs_that_the_owner_does_not_know(
        self, cell: JobsCell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(JobsHandler, "notify_owner", lambda *_: None)
        cell.call("POST", "/v1/queues/batch/jobs", job(run_s=500.0))
        response = cell.call("DELETE", "/v1/queues/batch/jobs")
        assert read(response) == {"cancelled": 1}


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "body", "kind"),
        [
            ("/v1/queues/none/jobs", job(), ProblemType.QUEUE_UNKNOWN),
            ("/v1/queues/gang/jobs", job(), ProblemType.NOT_PERMITTED),
            ("/v1/queues/batch/jobs", b"{", ProblemType.BAD_JSON),
            ("/v1/queues/batch/jobs", b"\xff", ProblemType.BAD_JSON),
            ("/v1/queues/batch/jobs", DEEP_JOB, ProblemType.BAD_FIELD),
            ("/v1/queues/batch/jobs", job(colour="red"), ProblemType.BAD_FIELD),
            ("/v1/queues/batch/jobs", job(tasks=0), ProblemType.BAD_FIELD),
            ("/v1/queues/batch/jobs", job(cpus=-1), ProblemType.BAD_FIELD),
            ("/v1/queues/batch/jobs", job("a/b"), ProblemType.BAD_FIELD),
            ("/v1/queues/batch/jobs", job(max_run_s=1e8), ProblemType.BAD_FIELD),
        ],
    )
    def test_invalid_submission_is_refused(
        self, cell: JobsCell, path: str, body: object, kind: ProblemType
    ) -> None:
        with pytest.raises(ProblemError) as refused:
            cell.call("POST", path, body)
        assert refused.value.kind is kind
        assert refused.value.outcome is Outcome.NOT_RUN

    def test_id_of_another_job_is_refused(self, cell: JobsCell) -> None:
        cell.call("POST", "/v1/queues/batch/jobs", job())
        with pytest.raises(ProblemError) as refused:
            cell.call("POST", "/v1/queues/batch/jobs", job(tasks=2))
        assert refused.value.kind is ProblemType.REPEATED

    def test_job_of_another_team_is_hidden(self, cell: JobsCell) -> None:
        cell.call("POST", "/v1/queues/batch/jobs", job())
        for method in ("GET", "DELETE"):
            with pytest.raises(ProblemError) as refused:
                cell.call(method, "/v1/jobs/job", team=RADIO)
            assert refused.value.kind is ProblemType.JOB_UNKNOWN

    def test_submission_fails_while_the_store_is_unavailable(
        self, cell: JobsCell
    ) -> None:
        cell.store.fault = CallFault.DOWN
        with pytest.raises(ProblemError) as refused:
            cell.call("POST", "/v1/queues/batch/jobs", job())
        assert refused.value.kind is ProblemType.STORE_UNAVAILABLE
        assert refused.value.outcome is Outcome.NOT_RUN

    def test_submission_succeeds_if_the_store_response_is_lost(
        self, cell: JobsCell
    ) -> None:
        cell.call("POST", "/v1/queues/batch/jobs", job("first"))
        cell.call("GET", "/v1/jobs/first", query="wait_s=30")
        cell.store.next_faults.append(CallFault.ANSWER_LOST)
        assert cell.call("POST", "/v1/queues/batch/jobs", job()).status == 202
        found = read(cell.call("GET", "/v1/jobs/job", query="wait_s=30"))
        assert found["state"] == "succeeded"

    @pytest.mark.parametrize("query", ["wait_s=x", "wait_s=-1", "wait_s=nan"])
    def test_invalid_wait_is_refused(self, cell: JobsCell, query: str) -> None:
        cell.call("POST", "/v1/queues/batch/jobs", job())
        with pytest.raises(ProblemError) as refused:
            cell.call("GET", "/v1/jobs/job", query=query)
        assert refused.value.kind is ProblemType.BAD_REQUEST


# Guards against a job that is dropped in silence, and against one odd record that
# keeps the others of its shard from running.
class TestUnreadableRecords:
    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_others_run_and_the_job_is_reported(self, odd: bytes) -> None:
        cell = JobsCell()
        store = cell.store
        puts = (
            Put(KEYS.job(SHARD, JobId("bad")), odd),
            Put(KEYS.job_index(JobId("bad")), b"0"),
        )
        store.commit(Transaction((), puts), 1.0)
        with capture_logs() as logs, running(cell):
            cell.call("POST", "/v1/queues/batch/jobs", job())
            answer = cell.call("GET", "/v1/jobs/job", query="wait_s=30")
            assert read(answer)["state"] == "succeeded"
            with pytest.raises(ProblemError) as refused:
                cell.call("GET", "/v1/jobs/bad")
            assert refused.value.kind is ProblemType.STORE_UNAVAILABLE
            with pytest.raises(ProblemError) as refused:
                cell.call("POST", "/v1/queues/batch/jobs", job("bad"))
            assert refused.value.outcome is Outcome.UNKNOWN
        lines = [each for each in logs if each["event"] == "record unreadable"]
        assert {each["key"] for each in lines} == {KEYS.job(SHARD, JobId("bad"))}
        entry = store.read(KEYS.job(SHARD, JobId("bad")), 1.0)
        assert entry is not None
        assert entry.value == odd

    def test_odd_index_is_no_unknown_job(self, cell: JobsCell) -> None:
        for odd in ODD_RECORDS.values():
            put = Put(KEYS.job_index(JobId("bad")), odd)
            cell.store.commit(Transaction((), (put,)), 1.0)
            with pytest.raises(ProblemError) as refused:
                cell.call("GET", "/v1/jobs/bad")
            assert refused.value.kind is ProblemType.STORE_UNAVAILABLE

    def test_odd_notification_ends_no_task(self, cell: JobsCell) -> None:
        for odd in ODD_RECORDS.values():
            cell.side.task.receive(Inbound(OTHER, JobBound(SHARD, odd), print))
            cell.side.task.post(JobBound(SHARD, odd))
        cell.call("POST", "/v1/queues/batch/jobs", job())
        answer = cell.call("GET", "/v1/jobs/job", query="wait_s=30")
        assert read(answer)["state"] == "succeeded"
