"""Contract tests run against every worker: the engine in process and over HTTP."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, HostName, ShardId, TaskId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_platform.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    StaleFenceError,
    WorkerUnavailableError,
)
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.worker_http import HttpWorker
from gooseberrydeck_platform.workers import (
    Fence,
    StartRefusal,
    TaskReport,
    TaskStart,
    Worker,
    WorkerTaskState,
)
from gooseberrydeck_standins.engine_worker import EngineWorker
from gooseberrydeck_standins.faults import CallFault, FaultKind
from gooseberrydeck_standins.ledger import Ledger
from gooseberrydeck_standins.worker_engine import WorkerEngine
from gooseberrydeck_standins.worker_server import WorkerServer, worker_hosts

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2
LEASE_S = 10.0
CAPACITY = Resources(4_000, 4_096, 1)
SMALL_TASK = Resources(1_000, 1_024)
OLD_FENCE = Fence(ShardId(3), Epoch(1))
NEW_FENCE = Fence(ShardId(3), Epoch(2))


class WorkerUnderTest(msgspec.Struct):
    """A worker under test, adopted under ``NEW_FENCE``, with its engine and clock."""

    worker: Worker
    engine: WorkerEngine
    clock: ManualClock
    server: WorkerServer | None = None

    def start(
        self,
        name: str = "job/0/1",
        payload: bytes = b'{"run_s": 5}',
        resources: Resources = SMALL_TASK,
        checkpoint: bytes = b"",
    ) -> StartRefusal | None:
        team = TeamName("reviews")
        task = TaskStart(TaskId(name), team, resources, LEASE_S, payload, checkpoint)
        return self.worker.start(NEW_FENCE, [task], TIMEOUT_S)[0].refusal

    def report(self, name: str = "job/0/1") -> TaskReport:
        reports = self.worker.renew(NEW_FENCE, [], LEASE_S, TIMEOUT_S)
        return next(each for each in reports if each.task == name)

    def set_fault(self, fault: CallFault) -> None:
        if isinstance(self.worker, EngineWorker):
            self.worker.fault = fault
            return
        assert self.server is not None
        kinds = {
            CallFault.DOWN: FaultKind.DOWN,
            CallFault.ANSWER_LOST: FaultKind.ANSWER_LOST,
            CallFault.NONE: FaultKind.NONE,
        }
        self.server.workers[self.engine.host].faults.set(kinds[fault])


@contextmanager
def in_process() -> Iterator[WorkerUnderTest]:
    clock = ManualClock()
    engine = WorkerEngine(HostName("worker-000"), CAPACITY, clock, Ledger())
    yield WorkerUnderTest(EngineWorker(engine), engine, clock)


@contextmanager
def over_http() -> Iterator[WorkerUnderTest]:
    clock = ManualClock()
    with WorkerServer(worker_hosts(2, CAPACITY), clock) as server:
        worker = HttpWorker(server.hosts[0])
        engine = server.workers[server.hosts[0].name].engine
        yield WorkerUnderTest(worker, engine, clock, server)
        worker.close()


@pytest.fixture(params=[in_process, over_http], ids=["engine", "http"])
def subject(request: pytest.FixtureRequest) -> Iterator[WorkerUnderTest]:
    with request.param() as opened:
        opened.worker.adopt(NEW_FENCE, TIMEOUT_S)
        yield opened


class TestFencing:
    def test_adoption_returns_tasks_and_capacity(
        self, subject: WorkerUnderTest
    ) -> None:
        subject.start()
        adoption = subject.worker.adopt(NEW_FENCE, TIMEOUT_S)
        assert adoption.host == "worker-000"
        assert adoption.capacity == CAPACITY
        assert [each.task for each in adoption.tasks] == ["job/0/1"]
        assert adoption.has_fencing

    @pytest.mark.parametrize(
        "fence", [OLD_FENCE, Fence(ShardId(4), Epoch(9))], ids=["older", "other shard"]
    )
    def test_every_call_with_stale_fence_is_refused(
        self, subject: WorkerUnderTest, fence: Fence
    ) -> None:
        subject.start()
        worker, task = subject.worker, TaskId("job/0/1")
        start = TaskStart(TaskId("job/1/1"), TeamName("t"), SMALL_TASK, LEASE_S)
        for call in (
            lambda: worker.adopt(fence, TIMEOUT_S),
            lambda: worker.start(fence, [start], TIMEOUT_S),
            lambda: worker.renew(fence, [task], LEASE_S, TIMEOUT_S),
            lambda: worker.checkpoint(fence, task, TIMEOUT_S),
            lambda: worker.throttle(fence, task, 1, TIMEOUT_S),
            lambda: worker.stop(fence, [task], TIMEOUT_S),
            lambda: worker.acknowledge(fence, [task], TIMEOUT_S),
        ):
            with pytest.raises(StaleFenceError):
                call()
        report = subject.report()
        assert report.state is WorkerTaskState.RUNNING
        assert len(subject.engine.ledger.snapshot()) == 1

    def test_newer_fence_is_valid_only_after_adoption(
        self, subject: WorkerUnderTest
    ) -> None:
        newer = Fence(NEW_FENCE.shard, Epoch(NEW_FENCE.epoch + 1))
        with pytest.raises(StaleFenceError):
            subject.worker.renew(newer, [], LEASE_S, TIMEOUT_S)
        subject.worker.adopt(newer, TIMEOUT_S)
        assert subject.worker.renew(newer, [], LEASE_S, TIMEOUT_S) == ()


class TestTasks:
    def test_report_is_kept_until_acknowledged(self, subject: WorkerUnderTest) -> None:
        assert subject.start() is None
        subject.clock.advance(5)
        report = subject.report()
        assert report.state is WorkerTaskState.SUCCEEDED
        assert report.result == b"result of job/0/1"
        assert report.run_s == 5
        subject.worker.acknowledge(NEW_FENCE, [report.task], TIMEOUT_S)
        assert subject.worker.renew(NEW_FENCE, [], LEASE_S, TIMEOUT_S) == ()

    @pytest.mark.parametrize(
        ("payload", "state"),
        [
            (b'{"run_s": 1, "fail": true}', WorkerTaskState.FAILED),
            (b"not JSON", WorkerTaskState.FAILED),
            (b'{"run_s": null}', WorkerTaskState.RUNNING),
            (b"", WorkerTaskState.SUCCEEDED),
        ],
    )
    def test_payload_determines_task_state(
        self, subject: WorkerUnderTest, payload: bytes, state: WorkerTaskState
    ) -> None:
        subject.start(payload=payload)
        subject.clock.advance(2)
        assert subject.report().state is state

    def test_repeated_start_runs_once(self, subject: WorkerUnderTest) -> None:
        assert subject.start() is None
        assert subject.start() is None
        subject.clock.advance(5)
        subject.worker.acknowledge(NEW_FENCE, [TaskId("job/0/1")], TIMEOUT_S)
        assert subject.start() is None
        assert len(subject.engine.ledger.snapshot()) == 1

    @pytest.mark.parametrize(
        "too_much",
        [Resources(3_001, 1, 0), Resources(1, 3_073, 0), Resources(1, 1, 2)],
        ids=["processors", "memory", "accelerators"],
    )
    def test_capacity_is_enforced_for_each_resource(
        self, subject: WorkerUnderTest, too_much: Resources
    ) -> None:
        assert subject.start() is None
        assert subject.start("job/1/1", resources=too_much) is StartRefusal.CAPACITY
        subject.clock.advance(5)
        sufficient = Resources(too_much.cpu_millis, too_much.memory_mib, 0)
        assert subject.start("job/1/1", resources=sufficient) is None

    def test_task_stops_when_its_lease_expires(self, subject: WorkerUnderTest) -> None:
        subject.start(payload=b'{"run_s": null}')
        subject.clock.advance(6)
        subject.worker.renew(NEW_FENCE, [TaskId("job/0/1")], LEASE_S, TIMEOUT_S)
        subject.clock.advance(9)
        assert subject.report().lease_left_s == 1
        subject.clock.advance(20)
        report = subject.report()
        assert report.state is WorkerTaskState.LEASE_LAPSED
        assert report.run_s == 16

    def test_stopped_task_ends(self, subject: WorkerUnderTest) -> None:
        subject.start()
        subject.worker.stop(NEW_FENCE, [TaskId("job/0/1")], TIMEOUT_S)
        assert subject.report().state is WorkerTaskState.STOPPED

    def test_stop_that_arrives_before_start_prevents_it(
        self, subject: WorkerUnderTest
    ) -> None:
        subject.worker.stop(NEW_FENCE, [TaskId("job/0/1")], TIMEOUT_S)
        assert subject.start() is StartRefusal.STOPPED
        assert subject.engine.ledger.snapshot() == []

    def test_task_resumes_from_checkpoint(self, subject: WorkerUnderTest) -> None:
        subject.start()
        subject.clock.advance(3)
        subject.worker.checkpoint(NEW_FENCE, TaskId("job/0/1"), TIMEOUT_S)
        report = subject.report()
        assert report.state is WorkerTaskState.CHECKPOINTED
        subject.start("job/0/2", checkpoint=report.checkpoint)
        subject.clock.advance(2)
        assert subject.report("job/0/2").state is WorkerTaskState.SUCCEEDED

    def test_throttled_task_takes_longer(self, subject: WorkerUnderTest) -> None:
        subject.start()
        subject.clock.advance(3)
        subject.worker.throttle(NEW_FENCE, TaskId("job/0/1"), 500, TIMEOUT_S)
        subject.clock.advance(3.9)
        assert subject.report().state is WorkerTaskState.RUNNING
        subject.clock.advance(0.2)
        assert subject.report().state is WorkerTaskState.SUCCEEDED

    def test_usage_lags_behind(self, subject: WorkerUnderTest) -> None:
        payload = b'{"run_s": 5, "usage": {"cpu_millis": 300}}'
        subject.start(payload=payload)
        assert subject.report().usage == NO_RESOURCES
        subject.clock.advance(1)
        assert subject.report().usage == Resources(cpu_millis=300)

    def test_draining_worker_refuses_starts(self, subject: WorkerUnderTest) -> None:
        subject.engine.is_draining = True
        assert subject.start() is StartRefusal.DRAINING


class TestFaults:
    @pytest.mark.parametrize(
        ("fault", "error", "runs"),
        [
            (CallFault.DOWN, WorkerUnavailableError, 0),
            (CallFault.ANSWER_LOST, OutcomeUnknownError, 1),
        ],
    )
    def test_effect_of_failed_start(
        self,
        subject: WorkerUnderTest,
        fault: CallFault,
        error: type[PlatformError],
        runs: int,
    ) -> None:
        subject.set_fault(fault)
        with pytest.raises(error):
            subject.start()
        subject.set_fault(CallFault.NONE)
        reports = subject.worker.renew(NEW_FENCE, [], LEASE_S, TIMEOUT_S)
        assert len(reports) == runs


class TestHttpWorker:
    @pytest.mark.parametrize(
        ("kind", "refusal", "state"),
        [
            (FaultKind.REFUSE, StartRefusal.BROKEN, None),
            (FaultKind.FAIL_EVERYTHING, None, WorkerTaskState.FAILED),
        ],
    )
    def test_broken_worker_refuses_or_fails_tasks(
        self,
        kind: FaultKind,
        refusal: StartRefusal | None,
        state: WorkerTaskState | None,
    ) -> None:
        with over_http() as subject:
            subject.worker.adopt(NEW_FENCE, TIMEOUT_S)
            assert subject.server is not None
            subject.server.workers[subject.engine.host].faults.set(kind)
            assert subject.start() is refusal
            reports = subject.worker.renew(NEW_FENCE, [], LEASE_S, TIMEOUT_S)
            assert [each.state for each in reports] == ([state] if state else [])

    def test_frozen_start_does_not_run_after_stop(self) -> None:
        with over_http() as subject:
            subject.worker.adopt(NEW_FENCE, TIMEOUT_S)
            assert subject.server is not None
            faults = subject.server.workers[subject.engine.host].faults
            faults.set(FaultKind.FROZEN, calls=1)
            start = TaskStart(TaskId("job/0/1"), TeamName("t"), SMALL_TASK, LEASE_S)
            with pytest.raises(OutcomeUnknownError):
                subject.worker.start(NEW_FENCE, [start], SHORT_TIMEOUT_S)
            subject.worker.stop(NEW_FENCE, [start.task], TIMEOUT_S)
            faults.clear()
            assert subject.start() is StartRefusal.STOPPED
            assert subject.engine.ledger.snapshot() == []

    def test_workers_on_one_port_are_independent(self) -> None:
        with over_http() as subject:
            assert subject.server is not None
            other = HttpWorker(subject.server.hosts[1])
            subject.worker.adopt(NEW_FENCE, TIMEOUT_S)
            assert other.adopt(OLD_FENCE, TIMEOUT_S).host == "worker-001"

    def test_worker_without_listener_is_unavailable(self) -> None:
        host = worker_hosts(1, CAPACITY)[0]
        unreachable = msgspec.structs.replace(host, port=1)
        with pytest.raises(WorkerUnavailableError):
            HttpWorker(unreachable).adopt(NEW_FENCE, SHORT_TIMEOUT_S)

    def test_unknown_worker_is_unavailable(self) -> None:
        with over_http() as subject:
            assert subject.server is not None
            host: Host = msgspec.structs.replace(
                subject.server.hosts[0], path="/workers/none"
            )
            with pytest.raises(WorkerUnavailableError):
                HttpWorker(host).adopt(NEW_FENCE, TIMEOUT_S)
