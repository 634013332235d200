"""In-memory endpoint with slots, a service time and a log of its runs."""

import threading
import time
from collections import Counter

import msgspec

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_standins.faults import FaultKind, Faults

__all__ = ["EndpointEngine", "EndpointDirectives", "EndpointRun", "EndpointSummary"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


class EndpointDirectives(msgspec.Struct, frozen=True):
    """Behaviour that a JSON request body may ask for; other fields are ignored.

    ``tag`` is chosen by the caller, so that a test can find the run of its request.
    """

    service_ms: float | None = None
    status: int = 200
    tag: str = ""


class EndpointRun(msgspec.Struct):
    """One run of a request. Times are monotonic seconds."""

    request: str
    service: str
    started_s: float
    tag: str = ""
    ended_s: float | None = None


class EndpointSummary(msgspec.Struct, frozen=True):
    """The runs of an endpoint and its peak concurrency."""

    host: HostName
    runs: tuple[EndpointRun, ...]
    most_running: int
    most_connections: int

    def ran_twice(self) -> list[str]:
        """Return the ids of the requests that ran more than once."""
        counts = Counter(run.request for run in self.runs)
        return sorted(each for each, count in counts.items() if count > 1)


class EndpointEngine:
    """One endpoint. Thread-safe: each connection is served by its own thread."""

    def __init__(
        self,
        host: HostName,
        slots: int = DEFAULT_SLOTS,
        connections: int = DEFAULT_CONNECTIONS,
        service_ms: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        """Create an idle endpoint; ``service_ms`` is the default service time."""
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
        """Count a new connection and return True if it is within the limit."""
        with self.changed:
            self.connected += 1
            self.most_connections = max(self.most_connections, self.connected)
            return self.connected <= self.connections

    def disconnect(self) -> None:
        """Remove a connection from the count."""
        with self.changed:
            self.connected -= 1

    def run(self, request: str, service: str, body: bytes, fault: FaultKind) -> int:
        """Wait for a free slot, run one request and return its HTTP status."""
        directives = decode_directives(body)
        with self.changed:
            self.changed.wait_for(lambda: self.running < self.slots)
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        run = EndpointRun(request, service, self.clock.monotonic(), directives.tag)
        self.runs.append(run)
        try:
            service_ms = directives.service_ms
            service_ms = self.service_ms if service_ms is None else service_ms
            if service_ms and fault is not FaultKind.FAIL_EVERYTHING:
                time.sleep(service_ms / 1_000)
        finally:
            run.ended_s = self.clock.monotonic()
            with self.changed:
                self.running -= 1
                self.changed.notify()
        return 500 if fault is FaultKind.FAIL_EVERYTHING else directives.status

    def summary(self) -> EndpointSummary:
        """Return the runs so far and the peak concurrency."""
        with self.changed:
            runs = tuple(self.runs)
            return EndpointSummary(
                self.host, runs, self.most_running, self.most_connections
            )


def decode_directives(body: bytes) -> EndpointDirectives:
    """Return the directives of a body, or the defaults if it has none."""
    if not body.startswith(b"{"):
        return EndpointDirectives()
    try:
        return decode_json(body, EndpointDirectives)
    except DecodingError:
        return EndpointDirectives()
