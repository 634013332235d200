"""Support for tests of the daemon: members in one process with fake endpoints."""

import hashlib
import http.client
import json
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import msgspec
import zmq

from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Service,
    Team,
)
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    DataCentre,
    HostName,
    KeyId,
    MemberId,
    Rack,
    ServiceName,
    TeamName,
)
from gooseberrydeck_daemon.composition import Member, Platform
from gooseberrydeck_daemon.dispatch.slots import EndpointFactory
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_platform.endpoints import EndpointRequest, EndpointResponse
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_standins.processes import free_ports

SECRET = "editors-secret"
LOOKUP = ServiceName("lookup")
SEAT_HOLD = ServiceName("seat-hold")
EDITORS = TeamName("editors")
PUBLIC_KEY, SECRET_KEY = (key.decode() for key in zmq.curve_keypair())

CONFIGURATION = Configuration(
    number=ConfigurationNumber(1),
    teams=(Team(EDITORS), Team(TeamName("others"))),
    keys=(Key(KeyId("k1"), EDITORS, hashlib.sha256(SECRET.encode()).hexdigest()),),
    limits=(Limit(EDITORS, 1_000), Limit(TeamName("others"), 1_000)),
    services=(
        Service(LOOKUP, teams=(EDITORS,), is_idempotent=True, timeout_ms=30_000),
        Service(SEAT_HOLD, teams=(EDITORS,), timeout_ms=5_000, max_body_bytes=1_000),
        Service(ServiceName("open"), open_team=EDITORS),
        Service(ServiceName("closed"), teams=(TeamName("others"),)),
    ),
)

Behaviour = Callable[[EndpointRequest, float], EndpointResponse]


def echo(request: EndpointRequest, _timeout_s: float) -> EndpointResponse:
    """Return the request's body as the response."""
    return EndpointResponse(200, request.content_type, request.body)


class FakeEndpoints:
    """Endpoints that run a Python function and record every request."""

    def __init__(self, behaviour: Behaviour = echo) -> None:
        self.behaviour = behaviour
        self.host_behaviours: dict[HostName, Behaviour] = {}
        self.lock = threading.Lock()
        self.runs: list[tuple[HostName, str]] = []
        self.in_flight: dict[HostName, int] = {}
        self.max_in_flight: dict[HostName, int] = {}

    def connect(self, host: Host) -> "FakeConnection":
        return FakeConnection(self, host)


class FakeConnection:
    def __init__(self, endpoints: FakeEndpoints, host: Host) -> None:
        self.endpoints = endpoints
        self.host = host

    def call(self, request: EndpointRequest, timeout_s: float) -> EndpointResponse:
        endpoints, name = self.endpoints, self.host.name
        with endpoints.lock:
            endpoints.runs.append((name, request.body.decode("latin-1")))
            endpoints.in_flight[name] = endpoints.in_flight.get(name, 0) + 1
            most = max(endpoints.max_in_flight.get(name, 0), endpoints.in_flight[name])
            endpoints.max_in_flight[name] = most
        try:
            behaviour = endpoints.host_behaviours.get(name, endpoints.behaviour)
            return behaviour(request, timeout_s)
        finally:
            with endpoints.lock:
                endpoints.in_flight[name] -= 1

    def close(self) -> None:
        pass


class BlockingEndpoints(FakeEndpoints):
    """Endpoints whose requests block until ``released`` is set."""

    def __init__(self) -> None:
        super().__init__(self.respond_when_released)
        self.released = threading.Event()

    def respond_when_released(
        self, request: EndpointRequest, timeout_s: float
    ) -> EndpointResponse:
        self.released.wait(10)
        return echo(request, timeout_s)


def start_thread(action: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=action)
    thread.start()
    return thread


class FakeHostList:
    def __init__(self, hosts: Sequence[Host]) -> None:
        self.hosts = tuple(hosts)

    def read(self, timeout_s: float) -> tuple[Host, ...]:
        return self.hosts


def endpoint_host(
    name: str,
    service: ServiceName = LOOKUP,
    slots: int = 8,
    port: int = 1,
    state: HostState = HostState.LIVE,
) -> Host:
    return Host(
        HostName(name),
        HostKind.ENDPOINT,
        state,
        "127.0.0.1",
        port,
        DataCentre("lima-1"),
        Rack("r1"),
        service=service,
        slots=slots,
        connections=64,
    )


def free_port() -> int:
    """Return a free port that no outgoing connection of another test can take."""
    return free_ports(1)[0]


def make_settings(
    member: str, peer_ports: dict[str, int] | None = None, **callers: int
) -> Settings:
    """Return settings of a member, with its peers listed as initial peers."""
    ports = peer_ports or {member: 0}
    raw = {
        "cell": "test",
        "member": member,
        "data_centre": "lima-1",
        "address": "127.0.0.1",
        "listeners": {
            "callers": {"port": 0, "threads": 16, **callers},
            "operators": {"port": 0},
            "peers": {"port": ports[member]},
        },
        "store": {"addresses": ["127.0.0.1:1"]},
        "host_list": {"address": "127.0.0.1:1", "poll_ms": 50},
        "timing": {"round_interval_s": 0.1, "attestation_interval_s": 0.2},
        "peers": {
            "public_key": PUBLIC_KEY,
            "secret_key": SECRET_KEY,
            "initial": [
                {"member": name, "address": "127.0.0.1", "port": port}
                for name, port in ports.items()
                if port
            ],
        },
    }
    return msgspec.convert(raw, Settings)


@contextmanager
def running_cell(
    hosts: "Sequence[Host] | FakeHostList",
    endpoints: FakeEndpoints,
    members: Sequence[str] = ("m1",),
    configuration: Configuration = CONFIGURATION,
    connect: EndpointFactory | None = None,
    **callers: int,
) -> Iterator[dict[str, Member]]:
    """Run members that know each other for the duration of a ``with`` block."""
    ports = {name: free_port() if len(members) > 1 else 0 for name in members}
    cell: dict[str, Member] = {}
    for name in members:
        host_list = hosts if isinstance(hosts, FakeHostList) else FakeHostList(hosts)
        platform = Platform(host_list, connect or endpoints.connect)
        settings = make_settings(name, ports, **callers)
        cell[name] = Member(settings, platform)
        cell[name].configuration.offer(configuration)
    for member in cell.values():
        member.start()
    try:
        wait_until(
            lambda: all(
                has_full_cell_view(member, len(cell)) for member in cell.values()
            )
        )
        yield cell
    finally:
        for member in cell.values():
            member.supervisor.close()
            member.executor.shutdown(wait=False)


def has_full_cell_view(member: Member, size: int) -> bool:
    """Return True if a member knows its endpoints and the load of every peer."""
    directory = member.directory
    has_endpoints = any(pool.load().slots for pool in list(directory.pools.values()))
    if not has_endpoints and not directory.owners:
        return False
    wanted = {
        (peer, name)
        for name in member.directory.owners
        for peer in member.directory.owners[name]
    }
    return wanted <= set(member.loads.loads)


def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Wait until a condition holds; fail the test after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition never held"
        time.sleep(0.005)


def call(
    member: Member,
    service: str = "lookup",
    body: bytes = b"hello",
    method: str = "POST",
    path: str | None = None,
    key: str | None = SECRET,
    **headers: str,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request to a member and return status, headers and body."""
    connection = http.client.HTTPConnection(
        "127.0.0.1", member.callers.port, timeout=20
    )
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    if key is not None:
        sent["Authorization"] = f"Bearer {key}"
    try:
        connection.request(method, path or f"/v1/services/{service}", body, sent)
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, response.read()
    finally:
        connection.close()


def problem(response: tuple[int, dict[str, str], bytes]) -> tuple[int, str, str]:
    """Return status, type and outcome of a problem details response."""
    status, headers, body = response
    assert headers["content-type"] == "application/problem+json"
    members = json.loads(body)
    assert members["status"] == status
    kind = members["type"].removeprefix("urn:gooseberrydeck:problem:")
    return status, kind, members["outcome"]


def host_names_owned_by(
    member: str, members: Sequence[str], shards: int = 16
) -> Iterator[str]:
    """Yield names of hosts in shards that ``member`` owns."""
    from gooseberrydeck_daemon.views import StaticOwnership

    names = [MemberId(name) for name in members]
    view = StaticOwnership(MemberId(member), names, shards)
    index = 0
    while True:
        name = HostName(f"e{index}")
        shard = view.shard_of(name)
        if shard is not None and view.owner_of(shard) == member:
            yield name
        index += 1
