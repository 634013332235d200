"""The lagging host list as a process.

Run it by ``python -m gooseberrydeck_standins.host_list_server --lag-s 0.5``.
"""

import threading
from collections import deque
from collections.abc import Iterable

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
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
    """Hosts as they were ``lag_s`` seconds ago; several threads may use it."""

    def __init__(
        self, clock: Clock, lag_s: float = DEFAULT_LAG_S, hosts: Iterable[Host] = ()
    ) -> None:
        """Begin with ``hosts``, which are listed at once."""
        self.clock = clock
        self.lag_s = lag_s
        self.hosts = {each.name: each for each in hosts}
        self.lock = threading.Lock()
        self.shown = tuple(self.hosts.values())
        self.changes: deque[tuple[float, tuple[Host, ...]]] = deque()

    def register(self, *hosts: Host) -> None:
        """Add or replace hosts."""
        with self.lock:
            self.hosts.update((each.name, each) for each in hosts)
            self.record()

    def leave(self, name: HostName) -> None:
        """Mark a host as leaving."""
        with self.lock:
            host = self.hosts[name]
            self.hosts[name] = msgspec.structs.replace(host, state=HostState.LEAVING)
            self.record()

    def remove(self, name: HostName) -> None:
        """Take a host off the list."""
        with self.lock:
            self.hosts.pop(name, None)
            self.record()

    def record(self) -> None:
        """Let the present hosts be listed after the lag."""
        at_s = self.clock.monotonic() + self.lag_s
        self.changes.append((at_s, tuple(self.hosts.values())))

    def listed(self) -> tuple[Host, ...]:
        """Return the hosts as the list shows them now."""
        with self.lock:
            now = self.clock.monotonic()
            while self.changes and self.changes[0][0] <= now:
                self.shown = self.changes.popleft()[1]
            return self.shown


class HostListApplication:
    """``GET /hosts``, and the calls by which hosts come and go.

    ``POST /hosts`` registers a JSON list of hosts, ``POST /hosts/NAME/leave`` marks one
    as leaving and ``DELETE /hosts/NAME`` takes it off.
    """

    def __init__(self, hosts: LaggingHosts) -> None:
        """Answer from ``hosts``."""
        self.hosts = hosts
        self.faults = Faults()

    def handle(self, call: Request) -> Reply:
        """Answer one call under the faults that are switched on."""
        if call.path == "/faults":
            return fault_reply(self.faults, call)
        if call.method != "GET":
            return self.change(call)
        fault = self.faults.begin_call()
        if fault is FaultKind.ANSWER_LOST:
            return Reply(cuts_connection=True)
        if fault is not FaultKind.NONE:
            return Reply(503)
        return Reply(body=msgspec.json.encode(HostListResponse(self.hosts.listed())))

    def change(self, call: Request) -> Reply:
        """Change the hosts."""
        if call.path == "/hosts":
            try:
                hosts = msgspec.json.decode(call.body, type=tuple[Host, ...])
            except msgspec.DecodeError as error:
                return Reply(400, msgspec.json.encode({"message": str(error)}))
            self.hosts.register(*hosts)
            return Reply()
        name, _, action = call.path.removeprefix("/hosts/").partition("/")
        if HostName(name) not in self.hosts.hosts:
            return Reply(404)
        if call.method == "DELETE":
            self.hosts.remove(HostName(name))
        elif action == "leave":
            self.hosts.leave(HostName(name))
        return Reply()


class HostListServer(StandinServer):
    """The host list on a port of this process."""

    def __init__(
        self,
        hosts: Iterable[Host] = (),
        lag_s: float = DEFAULT_LAG_S,
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        """Begin with ``hosts``."""
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
