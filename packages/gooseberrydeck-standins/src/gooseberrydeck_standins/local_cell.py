"""A complete cell of processes on this machine, with stand-ins for the platform."""

import hashlib
import json
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec
import zmq

from gooseberrydeck_coordination.decoding import decode_document, decode_json
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpConnection,
    HttpError,
    HttpResponse,
)
from gooseberrydeck_standins.endpoint_engine import EndpointSummary
from gooseberrydeck_standins.host_list_server import HostListServer
from gooseberrydeck_standins.ledger import Ledger, Run
from gooseberrydeck_standins.processes import (
    LOOPBACK,
    ChildProcess,
    StandinProcess,
    free_ports,
    wait_for,
)

__all__ = ["LocalCell", "MemberProcess"]

READY_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 30.0
SUCCESS_STATUSES = range(200, 300)
HOST_LIST_POLL_MS = 200
OPERATOR_SECRET = "local-operator"


class PublishFailedError(Exception):
    """A member rejected a configuration."""


class MemberProcess(ChildProcess):
    """A ``gooseberryd`` process and the addresses of its listeners."""

    def __init__(
        self,
        name: str,
        settings: Path,
        callers_port: int,
        operators_port: int,
        log: Path,
    ) -> None:
        """Start the member."""
        arguments = ["-m", "gooseberrydeck_daemon", "run", "--settings", str(settings)]
        super().__init__(arguments, log)
        self.name = name
        self.callers = HttpAddress(LOOPBACK, callers_port)
        self.operators = HttpAddress(LOOPBACK, operators_port)

    def is_ready(self) -> bool:
        """Return True if the member reports that it is ready."""
        connection = HttpConnection(self.callers)
        try:
            response = connection.request("GET", "/readyz", timeout_s=READY_TIMEOUT_S)
        except HttpError:
            return False
        finally:
            connection.close()
        return response.status == 200

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse:
        """Send a request to the callers' listener on a new connection."""
        return send_request(self.callers, method, path, body, headers or {}, timeout_s)

    def configuration_number(self) -> int:
        """Return the number of the configuration that the member holds."""
        response = self.operate("GET", "/v1/configuration")
        return int(decode_document(response.body)["header"]["number"])

    def operate(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send an operator's request on a new connection."""
        headers = {
            "Authorization": f"Bearer {OPERATOR_SECRET}",
            "Content-Type": "application/json",
        }
        return send_request(self.operators, method, path, body, headers, CALL_TIMEOUT_S)


def send_request(
    address: HttpAddress,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> HttpResponse:
    """Send one request on a new connection and return the response."""
    connection = HttpConnection(address)
    try:
        return connection.request(method, path, body, headers, timeout_s)
    finally:
        connection.close()


class LocalCell:
    """Members and stand-ins; a context manager that ends all processes.

    Settings and logs are written to ``folder``. The host list server runs in this
    process, so that tests can add and remove hosts directly.
    """

    def __init__(self, folder: Path, name: str = "local", shards: int = 16) -> None:
        """Start the store and the host list server."""
        self.folder = folder
        self.name = name
        self.shards = shards
        self.public_key, self.secret_key = (key.decode() for key in zmq.curve_keypair())
        self.members: dict[str, MemberProcess] = {}
        self.peers: dict[str, int] = {}
        self.workers: list[StandinProcess] = []
        self.endpoints: list[StandinProcess] = []
        self.store_port = free_ports(1)[0]
        self.store = self.start_store()
        self.host_list = HostListServer(lag_s=0.0)
        self.host_list.start()

    def start_store(self) -> StandinProcess:
        """Start an empty store on the store port of the cell."""
        return self.start_standin("store_server", "--port", str(self.store_port))

    def start_standin(self, module: str, *options: str) -> StandinProcess:
        """Start one stand-in process with a log file of its own."""
        log = self.folder / f"{module}-{len(list(self.folder.iterdir()))}.log"
        return StandinProcess(module, log, *options)

    def add_workers(self, count: int, *options: str) -> StandinProcess:
        """Start a process with ``count`` workers and list them as hosts."""
        process = self.start_standin("worker_server", "--count", str(count), *options)
        self.workers.append(process)
        self.host_list.hosts.register(*process.hosts)
        return process

    def add_endpoints(self, service: str, count: int, *options: str) -> StandinProcess:
        """Start a process with ``count`` endpoints and list them as hosts."""
        process = self.start_standin(
            "endpoint_server", service, "--count", str(count), *options
        )
        self.endpoints.append(process)
        self.host_list.hosts.register(*process.hosts)
        return process

    def plan_members(self, *names: str) -> None:
        """Allocate the peer ports of members, so that settings can list all of them."""
        new = [name for name in names if name not in self.peers]
        self.peers.update(zip(new, free_ports(len(new)), strict=True))

    def add_member(self, name: str, **overrides: Any) -> MemberProcess:
        """Start a member; ``overrides`` replace top-level sections of its settings."""
        self.plan_members(name)
        callers_port, operators_port = free_ports(2)
        settings = {**self.settings(name, callers_port, operators_port), **overrides}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{name}.log"
        member = MemberProcess(name, path, callers_port, operators_port, log)
        self.members[name] = member
        return member

    def settings(
        self, name: str, callers_port: int, operators_port: int
    ) -> dict[str, Any]:
        """Return the settings of a member."""
        digest = hashlib.sha256(OPERATOR_SECRET.encode()).hexdigest()
        operator = {"id": "local", "sha256": digest}
        return {
            "cell": self.name,
            "member": name,
            "data_centre": "dc1",
            "address": LOOPBACK,
            "listeners": {
                "callers": {"port": callers_port},
                "operators": {"port": operators_port, "keys": [operator]},
                "peers": {"port": self.peers[name]},
            },
            "store": {"addresses": [str(self.store.address)]},
            "host_list": {
                "address": str(self.host_list.address),
                "poll_ms": HOST_LIST_POLL_MS,
            },
            "peers": {
                "public_key": self.public_key,
                "secret_key": self.secret_key,
                "initial": [
                    {"member": peer, "address": LOOPBACK, "port": port}
                    for peer, port in self.peers.items()
                ],
            },
            "shards": self.shards,
        }

    def wait_ready(self) -> None:
        """Wait until every running member is ready."""
        for member in self.members.values():
            if member.is_alive():
                wait_for(member.is_ready, f"{member.name} is ready")

    def publish(self, configuration: object, base: int = 0) -> None:
        """Publish a configuration and wait until all running members hold it.

        ``base`` is the number of the configuration that it replaces.
        """
        member = next(each for each in self.members.values() if each.is_alive())
        path = f"/v1/configuration?base={base}&publication=local-{base + 1}"
        response = member.operate("POST", path, msgspec.json.encode(configuration))
        if response.status not in SUCCESS_STATUSES:
            raise PublishFailedError(response.body.decode())
        wait_for(lambda: self.all_members_hold(base + 1), f"configuration {base + 1}")

    def all_members_hold(self, number: int) -> bool:
        """Return True if all running members hold configuration ``number`` or later."""
        running = [each for each in self.members.values() if each.is_alive()]
        return all(each.configuration_number() >= number for each in running)

    def hosts(self) -> list[Host]:
        """Return the hosts of all worker and endpoint processes."""
        return [
            host for each in (*self.workers, *self.endpoints) for host in each.hosts
        ]

    def ledger(self) -> Ledger:
        """Return a ledger of the runs of all workers."""
        runs: list[Run] = []
        for process in self.workers:
            runs.extend(decode_json(process.fetch("/ledger"), list[Run]))
        return Ledger(runs)

    def capacities(self) -> dict[HostName, Resources]:
        """Return the capacity of each host."""
        return {host.name: host.capacity for host in self.hosts()}

    def summaries(self) -> list[EndpointSummary]:
        """Return the summaries of all endpoints."""
        found = []
        for process in self.endpoints:
            for host in process.hosts:
                connection = HttpConnection(HttpAddress(host.address, host.port))
                body = connection.request("GET", "/runs").body
                connection.close()
                found.append(decode_json(body, EndpointSummary))
        return found

    def requests_run(self) -> list[str]:
        """Return the ids of the requests that endpoints ran, in no particular order."""
        return [run.request for each in self.summaries() for run in each.runs]

    def close(self) -> None:
        """End all processes, the members first."""
        for member in self.members.values():
            if member.is_alive():
                member.resume()
                member.terminate()
        processes: list[ChildProcess] = [*self.members.values(), *self.workers]
        for process in (*processes, *self.endpoints, self.store):
            process.close()
        self.host_list.stop()

    def __enter__(self) -> Self:
        """Return the cell."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End all processes."""
        self.close()
