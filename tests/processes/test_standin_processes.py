"""Tests of the adapters against stand-ins that run as separate processes."""

from collections import deque
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from gooseberrydeck_coordination.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import (
    Epoch,
    RequestId,
    Revision,
    ServiceName,
    ShardId,
    TaskId,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_platform.endpoint_http import HttpEndpoint
from gooseberrydeck_platform.endpoints import EndpointRequest
from gooseberrydeck_platform.etcd import EtcdStore
from gooseberrydeck_platform.exceptions import (
    EndpointUnavailableError,
    OutcomeUnknownError,
    WorkerUnavailableError,
)
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.worker_http import HttpWorker
from gooseberrydeck_platform.workers import Fence, TaskStart, WorkerTaskState
from gooseberrydeck_standins.endpoint_engine import EndpointSummary
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.ledger import Ledger, Run
from gooseberrydeck_standins.processes import (
    StandinProcess,
    StartFailedError,
    wait_for,
)

TIMEOUT_S = 20.0
SHORT_S = 0.3
FENCE = Fence(ShardId(0), Epoch(1))
CHANGE = Transaction((), (Put("a", b"1"),))


@pytest.fixture
def store(tmp_path: Path) -> Iterator[StandinProcess]:
    with StandinProcess("store_server", tmp_path / "store.log") as process:
        yield process


@pytest.fixture
def workers(tmp_path: Path) -> Iterator[StandinProcess]:
    log = tmp_path / "workers.log"
    with StandinProcess("worker_server", log, "--count", "2", "--cpus", "4") as process:
        yield process


@pytest.fixture
def endpoints(tmp_path: Path) -> Iterator[StandinProcess]:
    log = tmp_path / "endpoints.log"
    options = ("lookups", "--count", "2", "--slots", "3")
    with StandinProcess("endpoint_server", log, *options) as process:
        yield process


class TestStoreProcess:
    def test_killed_store_is_unavailable(self, store: StandinProcess) -> None:
        client = EtcdStore([store.address])
        client.commit(CHANGE, TIMEOUT_S)
        store.kill()
        with pytest.raises(StoreUnavailableError):
            client.commit(CHANGE, TIMEOUT_S)

    def test_commit_to_a_paused_store_has_an_unknown_outcome(
        self, store: StandinProcess
    ) -> None:
        client = EtcdStore([store.address])
        client.commit(CHANGE, TIMEOUT_S)
        store.pause()
        with pytest.raises(StoreOutcomeUnknownError):
            client.commit(CHANGE, SHORT_S)
        with pytest.raises(StoreUnavailableError):
            client.read("a", SHORT_S)
        store.resume()
        entry = client.read("a", TIMEOUT_S)
        assert entry is not None
        assert entry.version in (1, 2)

    def test_watch_of_a_paused_store_ends(self, store: StandinProcess) -> None:
        client = EtcdStore([store.address])
        client.commit(CHANGE, TIMEOUT_S)
        watch = client.watch("a", Revision(2), timeout_s=1.5)
        assert next(watch).events
        store.pause()
        with pytest.raises(StoreUnavailableError):
            deque(watch, maxlen=0)
        store.resume()

    def test_faults_are_set_over_http(self, store: StandinProcess) -> None:
        client = EtcdStore([store.address])
        store.set_fault(FaultKind.DOWN)
        with pytest.raises(StoreUnavailableError):
            client.commit(CHANGE, TIMEOUT_S)
        store.set_fault(FaultKind.NONE)
        assert client.commit(CHANGE, TIMEOUT_S).succeeded

    def test_exits_cleanly_on_sigterm(self, store: StandinProcess) -> None:
        store.terminate()
        assert store.wait(TIMEOUT_S) == 0


class TestWorkerProcess:
    def test_tasks_run_in_real_time(self, workers: StandinProcess) -> None:
        host = workers.hosts[0]
        assert host.capacity == Resources(4_000, 65_536)
        worker = HttpWorker(host)
        worker.adopt(FENCE, TIMEOUT_S)
        start = TaskStart(
            TaskId("job/0/1"),
            TeamName("reviews"),
            Resources(1_000, 512),
            TIMEOUT_S,
            b'{"run_s": 0.05}',
        )
        worker.start(FENCE, [start], TIMEOUT_S)

        def has_succeeded() -> bool:
            reports = worker.renew(FENCE, [], TIMEOUT_S, TIMEOUT_S)
            return [each.state for each in reports] == [WorkerTaskState.SUCCEEDED]

        wait_for(has_succeeded, "the task succeeds", TIMEOUT_S)
        runs = msgspec.json.decode(workers.fetch("/ledger"), type=list[Run])
        assert Ledger(runs).started_twice() == []
        assert [run.host for run in runs] == [host.name]

    def test_paused_worker_has_unknown_outcome_and_killed_one_is_unavailable(
        self, workers: StandinProcess
    ) -> None:
        worker = HttpWorker(workers.hosts[0])
        worker.adopt(FENCE, TIMEOUT_S)
        workers.pause()
        with pytest.raises(OutcomeUnknownError):
            worker.renew(FENCE, [], TIMEOUT_S, SHORT_S)
        workers.resume()
        workers.kill()
        with pytest.raises(WorkerUnavailableError):
            worker.renew(FENCE, [], TIMEOUT_S, TIMEOUT_S)


class TestEndpointProcess:
    def call(self, host: Host, name: str, timeout_s: float = TIMEOUT_S) -> bytes:
        service = ServiceName("lookups")
        request = EndpointRequest(RequestId(name), service, "text/plain", b"claim")
        return HttpEndpoint(host).call(request, timeout_s).body

    def test_each_endpoint_has_its_own_port(self, endpoints: StandinProcess) -> None:
        first, second = endpoints.hosts
        assert first.port != second.port
        assert (first.slots, first.service) == (3, "lookups")
        assert self.call(second, "r1") == b"claim"
        body = endpoints.fetch("/runs")
        assert msgspec.json.decode(body, type=EndpointSummary).runs == ()

    def test_paused_endpoint_has_unknown_outcome_and_killed_one_is_unavailable(
        self, endpoints: StandinProcess
    ) -> None:
        host = endpoints.hosts[0]
        endpoints.pause()
        with pytest.raises(OutcomeUnknownError):
            self.call(host, "r1", SHORT_S)
        endpoints.resume()
        endpoints.kill()
        with pytest.raises(EndpointUnavailableError):
            self.call(host, "r2")


class TestStart:
    def test_failed_start_raises(self, tmp_path: Path) -> None:
        log = tmp_path / "workers.log"
        with pytest.raises(StartFailedError):
            StandinProcess("worker_server", log, "--count", "many")
