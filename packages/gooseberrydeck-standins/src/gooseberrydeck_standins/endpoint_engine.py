"""An endpoint in memory: slots, service time and a count of what it ran."""

import threading
import time
from collections import Counter

import msgspec

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_standins.faults import FaultKind, Faults

__all__ = ["EndpointEngine", "EndpointOrder", "EndpointRun", "EndpointSummary"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


class EndpointOrder(msgspec.Struct, frozen=True):
    """What a JSON body may ask of the endpoint; other fields are ignored.

    ``tag`` is the caller's own mark, by which a test finds the run of its request.
    """

    service_ms: float | None = None
    status: int = 200
    tag: str = ""


class EndpointRun(msgspec.Struct):
    """One run; times are monotonic seconds."""

    request: str
    service: str
    started_s: float
    tag: str = ""
    ended_s: float | None = None


class EndpointSummary(msgspec.Struct, frozen=True):
    """What an endpoint has done so far."""

    host: HostName
    runs: tuple[EndpointRun, ...]
    most_running: int
    most_connections: int

    def ran_twice(self) -> list[str]:
        """Return the requests that ran more than once."""
        counts = Counter(run.request for run in self.runs)
        return sorted(each for each, count in counts.items() if count > 1)


class EndpointEngine:
    """One endpoint; each of its connections runs it in a thread of its own."""

    def __init__(
        self,
        host: HostName,
        slots: int = DEFAULT_SLOTS,
        connections: int = DEFAULT_CONNECTIONS,
        service_ms: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        """Begin idle."""
        self.host = host
        self.slots = slots
        self.connections = connections
        self.service_ms = service_ms
        self.clock = clock or SystemClock()
        self.faults = Faults()
        self.changed = threading.Condition()
        self.running = 0
        self.most_running = 0
        self.connected = 0
        self.most_connections = 0
        self.runs: list[EndpointRun] = []

    def connect(self) -> bool:
        """Count a new connection; tell whether there is room for it."""
        with self.changed:
            self.connected += 1
            self.most_connections = max(self.most_connections, self.connected)
            return self.connected <= self.connections

    def disconnect(self) -> None:
        """Count a connection off."""
        with self.changed:
            self.connected -= 1

    def run(self, request: str, service: str, body: bytes, fault: FaultKind) -> int:
        """Run one request in a slot, waiting for it, and return its status."""
        order = read_order(body)
        with self.changed:
            self.changed.wait_for(lambda: self.running < self.slots)
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        run = EndpointRun(request, service, self.clock.monotonic(), order.tag)
        self.runs.append(run)
        try:
            service_ms = order.service_ms
            service_ms = self.service_ms if service_ms is None else service_ms
            if service_ms and fault is not FaultKind.FAIL_EVERYTHING:
                time.sleep(service_ms / 1_000)
        finally:
            run.ended_s = self.clock.monotonic()
            with self.changed:
                self.running -= 1
                self.changed.notify()
        return 500 if fault is FaultKind.FAIL_EVERYTHING else order.status

    def summary(self) -> EndpointSummary:
        """Return what the endpoint has done so far."""
        with self.changed:
            runs = tuple(self.runs)
            return EndpointSummary(
                self.host, runs, self.most_running, self.most_connections
            )


def read_order(body: bytes) -> EndpointOrder:
    """Return what a body asks for, if it is JSON that does so."""
    if not body.startswith(b"{"):
        return EndpointOrder()
    try:
        return msgspec.json.decode(body, type=EndpointOrder)
    except msgspec.DecodeError:
        return EndpointOrder()
