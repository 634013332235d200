"""Workers as a process; many workers share one port.

Run it by ``python -m gooseberrydeck_standins.worker_server --count 24``.
"""

import threading
from collections.abc import Callable, Iterable

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
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
    """The calls of one worker, below its path."""

    def __init__(self, engine: WorkerEngine) -> None:
        """Answer from ``engine``."""
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

    def handle(self, call: Request) -> Reply:
        """Answer one call under the faults that are switched on."""
        if call.path == "/faults":
            return fault_reply(self.faults, call)
        fault = self.faults.begin_call()
        if fault is FaultKind.DOWN:
            return refused(ErrorKind.UNAVAILABLE, "the worker is down")
        with self.lock:
            self.engine.is_broken = fault is FaultKind.REFUSE
            self.engine.fails_everything = fault is FaultKind.FAIL_EVERYTHING
            reply = self.answer(call)
        return Reply(cuts_connection=True) if fault is FaultKind.ANSWER_LOST else reply

    def answer(self, call: Request) -> Reply:
        """Answer one call, telling refusals by their kind."""
        route = self.routes.get(call.path)
        if route is None:
            return refused(ErrorKind.INVALID, f"no call {call.path}")
        try:
            answer = route(call.body)
        except StaleFenceError as error:
            return refused(ErrorKind.STALE_FENCE, str(error))
        except msgspec.DecodeError as error:
            return refused(ErrorKind.INVALID, str(error))
        return Reply(body=msgspec.json.encode({} if answer is None else answer))

    def adopt(self, body: bytes) -> msgspec.Struct:
        """Raise the fence."""
        return self.engine.adopt(msgspec.json.decode(body, type=AdoptRequest).fence)

    def start(self, body: bytes) -> msgspec.Struct:
        """Start tasks."""
        call = msgspec.json.decode(body, type=StartRequest)
        return StartResponse(self.engine.start(call.fence, call.starts))

    def renew(self, body: bytes) -> msgspec.Struct:
        """Renew leases."""
        call = msgspec.json.decode(body, type=RenewRequest)
        return RenewResponse(self.engine.renew(call.fence, call.tasks, call.lease_s))

    def checkpoint(self, body: bytes) -> None:
        """Save a task's state and end it."""
        call = msgspec.json.decode(body, type=CheckpointRequest)
        self.engine.checkpoint(call.fence, call.task)

    def throttle(self, body: bytes) -> None:
        """Slow a task down."""
        call = msgspec.json.decode(body, type=ThrottleRequest)
        self.engine.throttle(call.fence, call.task, call.cpu_millis)

    def stop(self, body: bytes) -> None:
        """Stop tasks."""
        call = msgspec.json.decode(body, type=TasksRequest)
        self.engine.stop(call.fence, call.tasks)

    def acknowledge(self, body: bytes) -> None:
        """Forget ended tasks."""
        call = msgspec.json.decode(body, type=TasksRequest)
        self.engine.acknowledge(call.fence, call.tasks)


class WorkersApplication:
    """Many workers below ``/workers/NAME``, and their ledger at ``/ledger``."""

    def __init__(
        self, workers: dict[HostName, WorkerApplication], ledger: Ledger
    ) -> None:
        """Answer for ``workers``, whose runs go to ``ledger``."""
        self.workers = workers
        self.ledger = ledger

    def handle(self, call: Request) -> Reply:
        """Hand a call to its worker."""
        if call.path == "/ledger":
            return self.tell_runs()
        _, _, rest = call.path.partition("/workers/")
        name, _, path = rest.partition("/")
        worker = self.workers.get(HostName(name))
        if worker is None:
            return refused(ErrorKind.INVALID, f"no worker {name!r}")
        return worker.handle(Request(call.method, "/" + path, call.body))

    def tell_runs(self) -> Reply:
        """Tell every run of every worker, ended by now where it has."""
        for worker in self.workers.values():
            with worker.lock:
                worker.engine.advance()
        return Reply(body=msgspec.json.encode(self.ledger.snapshot()))


class WorkerServer(StandinServer):
    """Workers on a port of this process; their runs go to one ledger."""

    def __init__(
        self,
        hosts: Iterable[Host],
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        """Begin with empty workers; ``hosts`` has their names and capacities."""
        self.ledger = Ledger()
        given = list(hosts)
        self.workers = {
            each.name: WorkerApplication(
                WorkerEngine(
                    each.name, each.capacity, clock or SystemClock(), self.ledger
                )
            )
            for each in given
        }
        super().__init__(WorkersApplication(self.workers, self.ledger), host, port)
        self.hosts = [
            msgspec.structs.replace(
                each,
                address=self.address.host,
                port=self.address.port,
                path=f"/workers/{each.name}",
            )
            for each in given
        ]


def worker_hosts(
    count: int,
    capacity: Resources,
    prefix: str = "worker",
    data_centre: str = "dc1",
    per_rack: int = DEFAULT_PER_RACK,
) -> list[Host]:
    """Return ``count`` workers, without address and port."""
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


def refused(kind: ErrorKind, message: str) -> Reply:
    """Return a refusal with the status that belongs to its kind."""
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
