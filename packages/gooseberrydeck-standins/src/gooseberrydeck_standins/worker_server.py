"""Worker process; all its workers share one port.

Start it with ``python -m gooseberrydeck_standins.worker_server --count 24``.
"""

import threading
from collections.abc import Callable, Iterable

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.ids import DataCentre, HostName, Rack
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_platform.exceptions import StaleFenceError
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_platform.worker_messages import (
    AdoptRequest,
    CheckpointRequest,
    ErrorKind,
    ErrorResponse,
    RenewRequest,
    RenewResponse,
    StartRequest,
    StartResponse,
    TasksRequest,
    ThrottleRequest,
)
from gooseberrydeck_standins.faults import FaultKind, Faults
from gooseberrydeck_standins.http_service import (
    LOOPBACK,
    Reply,
    Request,
    StandinServer,
    fault_reply,
    serve,
)
from gooseberrydeck_standins.ledger import Ledger
from gooseberrydeck_standins.worker_engine import WorkerEngine

__all__ = ["WorkerApplication", "WorkerServer", "worker_hosts"]

DEFAULT_CPUS = 32
DEFAULT_MEMORY_MIB = 65_536
DEFAULT_PER_RACK = 8

STATUSES = {
    ErrorKind.INVALID: 400,
    ErrorKind.STALE_FENCE: 409,
    ErrorKind.UNAVAILABLE: 503,
}


class WorkerApplication:
    """The HTTP endpoints of one worker, relative to its path."""

    def __init__(self, engine: WorkerEngine) -> None:
        """Serve ``engine``."""
        self.engine = engine
        self.faults = Faults()
        self.lock = threading.Lock()
        self.routes: dict[str, Callable[[bytes], msgspec.Struct | None]] = {
            "/adopt": self.adopt,
            "/start": self.start,
            "/renew": self.renew,
            "/checkpoint": self.checkpoint,
            "/throttle": self.throttle,
            "/stop": self.stop,
            "/acknowledge": self.acknowledge,
        }

    def handle(self, request: Request) -> Reply:
        """Return the response to a request, subject to the active fault."""
        if request.path == "/faults":
            return fault_reply(self.faults, request)
        fault = self.faults.begin_call()
        if fault is FaultKind.DOWN:
            return error_reply(ErrorKind.UNAVAILABLE, "the worker is down")
        with self.lock:
            self.engine.is_broken = fault is FaultKind.REFUSE
            self.engine.fails_everything = fault is FaultKind.FAIL_EVERYTHING
            reply = self.answer(request)
        return Reply(cuts_connection=True) if fault is FaultKind.ANSWER_LOST else reply

    def answer(self, request: Request) -> Reply:
        """Route a request to the engine and map its errors to error responses."""
        route = self.routes.get(request.path)
        if route is None:
            return error_reply(ErrorKind.INVALID, f"no call {request.path}")
        try:
            response = route(request.body)
        except StaleFenceError as error:
            return error_reply(ErrorKind.STALE_FENCE, str(error))
        except DecodingError as error:
            return error_reply(ErrorKind.INVALID, str(error))
        return Reply(body=msgspec.json.encode({} if response is None else response))

    def adopt(self, body: bytes) -> msgspec.Struct:
        """Set the fence."""
        return self.engine.adopt(decode_json(body, AdoptRequest).fence)

    def start(self, body: bytes) -> msgspec.Struct:
        """Start tasks."""
        request = decode_json(body, StartRequest)
        return StartResponse(self.engine.start(request.fence, request.starts))

    def renew(self, body: bytes) -> msgspec.Struct:
        """Renew leases."""
        request = decode_json(body, RenewRequest)
        return RenewResponse(
            self.engine.renew(request.fence, request.tasks, request.lease_s)
        )

    def checkpoint(self, body: bytes) -> None:
        """Checkpoint a task."""
        request = decode_json(body, CheckpointRequest)
        self.engine.checkpoint(request.fence, request.task)

    def throttle(self, body: bytes) -> None:
        """Limit the processor use of a task."""
        request = decode_json(body, ThrottleRequest)
        self.engine.throttle(request.fence, request.task, request.cpu_millis)

    def stop(self, body: bytes) -> None:
        """Stop tasks."""
        request = decode_json(body, TasksRequest)
        self.engine.stop(request.fence, request.tasks)

    def acknowledge(self, body: bytes) -> None:
        """Drop the reports of ended tasks."""
        request = decode_json(body, TasksRequest)
        self.engine.acknowledge(request.fence, request.tasks)


class WorkersApplication:
    """Several workers at ``/workers/NAME``, with their ledger at ``/ledger``."""

    def __init__(
        self, workers: dict[HostName, WorkerApplication], ledger: Ledger
    ) -> None:
        """Serve ``workers``, which record their runs in ``ledger``."""
        self.workers = workers
        self.ledger = ledger

    def handle(self, request: Request) -> Reply:
        """Route a request to its worker."""
        if request.path == "/ledger":
            return self.ledger_reply()
        _, _, rest = request.path.partition("/workers/")
        name, _, path = rest.partition("/")
        worker = self.workers.get(HostName(name))
        if worker is None:
            return error_reply(ErrorKind.INVALID, f"no worker {name!r}")
        return worker.handle(Request(request.method, "/" + path, request.body))

    def ledger_reply(self) -> Reply:
        """Return the runs of all workers, after ending those that are due."""
        for worker in self.workers.values():
            with worker.lock:
                worker.engine.advance()
        return Reply(body=msgspec.json.encode(self.ledger.snapshot()))


class WorkerServer(StandinServer):
    """Workers in this process that share a port and a ledger."""

    def __init__(
        self,
        hosts: Iterable[Host],
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        """Create idle workers with the names and capacities of ``hosts``."""
        self.ledger = Ledger()
        host_entries = list(hosts)
        self.workers = {
            each.name: WorkerApplication(
                WorkerEngine(
                    each.name, each.capacity, clock or SystemClock(), self.ledger
                )
            )
            for each in host_entries
        }
        super().__init__(WorkersApplication(self.workers, self.ledger), host, port)
        self.hosts = [
            msgspec.structs.replace(
                each,
                address=self.address.host,
                port=self.address.port,
                path=f"/workers/{each.name}",
            )
            for each in host_entries
        ]


def worker_hosts(
    count: int,
    capacity: Resources,
    prefix: str = "worker",
    data_centre: str = "dc1",
    per_rack: int = DEFAULT_PER_RACK,
) -> list[Host]:
    """Return the host entries of ``count`` workers, without a port."""
    return [
        Host(
            HostName(f"{prefix}-{index:03}"),
            HostKind.WORKER,
            HostState.LIVE,
            LOOPBACK,
            0,
            DataCentre(data_centre),
            Rack(f"{data_centre}-rack{index // per_rack}"),
            capacity=capacity,
        )
        for index in range(count)
    ]


def error_reply(kind: ErrorKind, message: str) -> Reply:
    """Return an error response with the HTTP status of its kind."""
    return Reply(STATUSES[kind], msgspec.json.encode(ErrorResponse(kind, message)))


def main(
    host: str = LOOPBACK,
    port: int = 0,
    count: int = 1,
    cpus: int = DEFAULT_CPUS,
    memory_mib: int = DEFAULT_MEMORY_MIB,
    accelerators: int = 0,
    prefix: str = "worker",
    data_centre: str = "dc1",
    per_rack: int = DEFAULT_PER_RACK,
) -> None:
    """Serve empty workers until SIGTERM."""
    capacity = Resources(cpus * 1_000, memory_mib, accelerators)
    hosts = worker_hosts(count, capacity, prefix, data_centre, per_rack)
    server = WorkerServer(hosts, None, host, port)
    announcement = {
        "address": str(server.address),
        "hosts": msgspec.to_builtins(server.hosts),
    }
    serve(server.start, announcement)


if __name__ == "__main__":
    typer.run(main)
