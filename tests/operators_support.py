"""Test cell of members with a store, and requests to its operators' listeners."""

import http.client
import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import msgspec

from daemon_support import (
    FakeEndpoints,
    FakeHostList,
    endpoint_host,
    free_port,
    has_full_cell_view,
    make_settings,
    wait_until,
)
from gooseberrydeck_configuration import Configuration, hash_secret, load_configuration
from gooseberrydeck_coordination.clock import SystemClock
from gooseberrydeck_coordination.ids import DataCentre, HostName, Rack, ServiceName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.timing import Timing
from gooseberrydeck_daemon.composition import Member, Platform
from gooseberrydeck_daemon.settings import OperatorKey
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine

OPERATOR_SECRET = "demo-operator"
CLAIM_CHECK = ServiceName("claim-check")
EXAMPLE = load_configuration(
    Path(__file__).parents[1] / "examples" / "verificaciones.json"
)

RELAXED_OBJECTIVE_MS = 3_600_000
"""Wait objective that is met under any load, so that CI does not depend on it."""


def with_relaxed_objectives(configuration: Configuration) -> Configuration:
    """Return the configuration with a wait objective of one hour for every service.

    The burn report measures waits in real time, so that a busy machine would make
    requests late.
    """
    services = tuple(
        msgspec.structs.replace(service, objective_wait_ms=RELAXED_OBJECTIVE_MS)
        for service in configuration.services
    )
    return msgspec.structs.replace(configuration, services=services)


JsonResponse = tuple[int, dict[str, Any]]


def worker_host(name: str) -> Host:
    return Host(
        HostName(name),
        HostKind.WORKER,
        HostState.LIVE,
        "127.0.0.1",
        1,
        DataCentre("lima-1"),
        Rack("r1"),
        capacity=Resources(768_000, 1_572_864, 0),
    )


TIMING = Timing(cold_start_s=0.2, round_interval_s=0.1)


class OperatorTestCell:
    """Members that share one store, each with a store client that can inject faults."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.engine = StoreEngine(SystemClock())
        self.endpoints = FakeEndpoints()
        ports = {name: free_port() if len(names) > 1 else 0 for name in names}
        self.stores = {name: EngineStore(self.engine) for name in names}
        hosts = [worker_host("w1"), endpoint_host("e1", CLAIM_CHECK)]
        key = OperatorKey("ops", hash_secret(OPERATOR_SECRET))
        self.members: dict[str, Member] = {}
        for name in names:
            settings = make_settings(name, ports)
            operators = msgspec.structs.replace(
                settings.listeners.operators, keys=(key,)
            )
            listeners = msgspec.structs.replace(settings.listeners, operators=operators)
            settings = msgspec.structs.replace(
                settings, listeners=listeners, timing=TIMING
            )
            platform = Platform(
                FakeHostList(hosts), self.endpoints.connect, self.stores[name]
            )
            member = Member(settings, platform)
            assert member.operators is not None
            member.operators.watch.watch_timeout_s = 0.2
            self.members[name] = member

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def send_request(
        self,
        name: str,
        method: str,
        path: str,
        body: object = None,
        key: str | None = OPERATOR_SECRET,
    ) -> JsonResponse:
        """Send a request as an operator and return its status and JSON body."""
        return send_operator_request(self.port(name), method, path, body, key)

    def port(self, name: str) -> int:
        operators = self.members[name].operators
        assert operators is not None
        return operators.server.port

    def publish(
        self, name: str, configuration: Configuration, base: int, id: str
    ) -> JsonResponse:
        path = f"/v1/configuration?base={base}&publication={id}"
        return self.send_request(name, "POST", path, configuration)

    def configuration_numbers(self) -> list[int]:
        return [member.configuration.current.number for member in self.members.values()]


def send_operator_request(
    port: int,
    method: str,
    path: str,
    body: object = None,
    key: str | None = OPERATOR_SECRET,
) -> JsonResponse:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    try:
        connection.request(method, path, data if body is not None else None, headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


@contextmanager
def running_operator_cell(*names: str) -> Iterator[OperatorTestCell]:
    """Run a cell of members until the block ends."""
    cell = OperatorTestCell(names)
    for member in cell.members.values():
        member.start()
    try:
        wait_until(lambda: all(m.directory.hosts for m in cell.members.values()))
        if len(names) > 1:
            wait_until(lambda: all_connected(cell))
        wait_until(lambda: all(map(is_serving, cell.members.values())))
        yield cell
    finally:
        # Threads left running by a failed test would prevent pytest from exiting.
        with ExitStack() as stack:
            for member in cell.members.values():
                stack.callback(member.executor.shutdown, wait=False)
                stack.callback(member.supervisor.close)


def all_connected(cell: OperatorTestCell) -> bool:
    """Return True if every member is connected to every peer."""
    return all(
        len(member.network.deduplicators) >= len(cell.members) - 1
        or len(member.network.connections.current) >= len(cell.members) - 1
        for member in cell.members.values()
    )


def is_serving(member: Member) -> bool:
    """Return True if a member knows and can reach the owner of every shard."""
    has_endpoint = bool(member.directory.owners or member.directory.slots)
    return (
        member.health.ready.is_set() and has_endpoint and has_full_cell_view(member, 0)
    )
