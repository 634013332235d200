"""Host list process; changes are listed after a lag.

Start it with ``python -m gooseberrydeck_standins.host_list_server --lag-s 0.5``.
"""

import threading
from collections import deque
from collections.abc import Iterable

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_platform.host_list_http import HostListResponse
from gooseberrydeck_platform.hosts import Host, HostState
from gooseberrydeck_standins.faults import FaultKind, Faults
from gooseberrydeck_standins.http_service import (
    LOOPBACK,
    Reply,
    Request,
    StandinServer,
    fault_reply,
    serve,
)

__all__ = ["HostListApplication", "HostListServer", "LaggingHosts"]

DEFAULT_LAG_S = 0.5
THREADS = 8


class LaggingHosts:
    """Hosts as they were ``lag_s`` seconds ago. Thread-safe."""

    def __init__(
        self, clock: Clock, lag_s: float = DEFAULT_LAG_S, hosts: Iterable[Host] = ()
    ) -> None:
        """Create a list of ``hosts``, which are visible immediately."""
        self.clock = clock
        self.lag_s = lag_s
        self.hosts = {each.name: each for each in hosts}
        self.lock = threading.Lock()
        self.listed_hosts = tuple(self.hosts.values())
        self.changes: deque[tuple[float, tuple[Host, ...]]] = deque()

    def register(self, *hosts: Host) -> None:
        """Add or replace hosts."""
        with self.lock:
            self.hosts.update((each.name, each) for each in hosts)
            self.schedule_listing()

    def leave(self, name: HostName) -> None:
        """Mark a host as leaving."""
        with self.lock:
            host = self.hosts[name]
            self.hosts[name] = msgspec.structs.replace(host, state=HostState.LEAVING)
            self.schedule_listing()

    def remove(self, name: HostName) -> None:
        """Remove a host."""
        with self.lock:
            self.hosts.pop(name, None)
            self.schedule_listing()

    def schedule_listing(self) -> None:
        """Make the current hosts visible after the lag."""
        at_s = self.clock.monotonic() + self.lag_s
        self.changes.append((at_s, tuple(self.hosts.values())))

    def listed(self) -> tuple[Host, ...]:
        """Return the hosts that are visible now."""
        with self.lock:
            now = self.clock.monotonic()
            while self.changes and self.changes[0][0] <= now:
                self.listed_hosts = self.changes.popleft()[1]
            return self.listed_hosts


class HostListApplication:
    """The host list at ``GET /hosts``, and endpoints that change it.

    ``POST /hosts`` registers a JSON list of hosts, ``POST /hosts/NAME/leave`` marks one
    as leaving and ``DELETE /hosts/NAME`` removes it.
    """

    def __init__(self, hosts: LaggingHosts) -> None:
        """Serve ``hosts``."""
        self.hosts = hosts
        self.faults = Faults()

    def handle(self, request: Request) -> Reply:
        """Return the response to a request, subject to the active fault."""
        if request.path == "/faults":
            return fault_reply(self.faults, request)
        if request.method != "GET":
            return self.change(request)
        fault = self.faults.begin_call()
        if fault is FaultKind.ANSWER_LOST:
            return Reply(cuts_connection=True)
        if fault is not FaultKind.NONE:
            return Reply(503)
        return Reply(body=msgspec.json.encode(HostListResponse(self.hosts.listed())))

    def change(self, request: Request) -> Reply:
        """Apply a change of the hosts; unknown names give a 404 response."""
        if request.path == "/hosts":
            try:
                hosts = decode_json(request.body, tuple[Host, ...])
            except DecodingError as error:
                return Reply(400, msgspec.json.encode({"message": str(error)}))
            self.hosts.register(*hosts)
            return Reply()
        name, _, action = request.path.removeprefix("/hosts/").partition("/")
        if HostName(name) not in self.hosts.hosts:
            return Reply(404)
        if request.method == "DELETE":
            self.hosts.remove(HostName(name))
        elif action == "leave":
            self.hosts.leave(HostName(name))
        return Reply()


class HostListServer(StandinServer):
    """Host list server in this process, on a port of its own."""

    def __init__(
        self,
        hosts: Iterable[Host] = (),
        lag_s: float = DEFAULT_LAG_S,
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        """Create a server that lists ``hosts``."""
        self.hosts = LaggingHosts(clock or SystemClock(), lag_s, hosts)
        self.application = HostListApplication(self.hosts)
        self.faults = self.application.faults
        super().__init__(self.application, host, port, THREADS)


def main(host: str = LOOPBACK, port: int = 0, lag_s: float = DEFAULT_LAG_S) -> None:
    """Serve an empty host list until SIGTERM."""
    server = HostListServer((), lag_s, None, host, port)
    serve(server.start, {"address": str(server.address)})


if __name__ == "__main__":
    typer.run(main)
