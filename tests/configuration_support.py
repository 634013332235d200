"""Members that exchange large configurations over slow links, without a network."""

import hashlib
import threading
from collections.abc import Iterator, Mapping
from io import BytesIO
from typing import Any

import msgspec

from gooseberrydeck_adapter import decode_intent
from gooseberrydeck_adapter_standins.local_platform import default_configuration
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import MemberId, Revision
from gooseberrydeck_coordination.store import Put, Snapshot, Transaction, WatchBatch
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_member.authority import Authority
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.configuration import (
    AnnouncedConfiguration,
    ConfigurationCache,
)
from gooseberrydeck_member.configuration_fetcher import ConfigurationFetcher
from gooseberrydeck_member.configuration_task import ConfigurationTask
from gooseberrydeck_member.control import ControlTask
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.peers import PeerCallError, PeerClient
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_platform.http import HttpResponse
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine

KEY = "configuration"

LINK_BYTES_PER_S = 625_000
"""A link of 5 Mbit/s, which takes longer for a large value than a heartbeat may."""

MANY_ROUTES = 1_400

TIMEOUT_S = 1.0


def configuration_value(version: int, routes: int = 0) -> bytes:
    """Return a stored configuration with ``routes`` more than the default."""
    configuration = default_configuration(version)
    route = configuration["Routes"][0]
    for number in range(routes):
        name = hashlib.sha256(f"{version} {number}".encode()).hexdigest()
        fields = {**route, "Name": name, "Prefix": f"/{name}/"}
        configuration["Routes"].append(fields)
    return msgspec.json.encode(configuration)


class SlowLinks(PeerClient):
    """Call the applications of other members over links of ``LINK_BYTES_PER_S``.

    A response that would take longer than its timeout is lost after that time.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.applications: dict[str, Any] = {}
        self.cut: set[str] = set()
        self.timed_out: list[str] = []
        self.asked: list[tuple[str, str]] = []
        self.answers: dict[str, list[object]] = {}

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        self.asked.append((address, path))
        if address in self.cut:
            self.clock.advance(timeout_s)
            raise PeerCallError(f"{address}: timed out")
        status, content = self.respond(address, method, path, body)
        seconds = len(content) / LINK_BYTES_PER_S
        self.clock.advance(min(seconds, timeout_s))
        if seconds > timeout_s:
            self.timed_out.append(path)
            raise PeerCallError(f"{address}: timed out")
        return HttpResponse(status, {}, content)

    def respond(
        self, address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Return the next of the member's set answers, or else its application's."""
        if self.answers.get(address):
            answer = self.answers[address].pop(0)
            if isinstance(answer, Exception):
                raise answer
            return 200, msgspec.json.encode(answer)
        lines: list[str] = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": BytesIO(body),
        }
        application = self.applications[address]
        content = b"".join(application(environ, lambda line, _: lines.append(line)))
        return int(lines[0][:3]), content


class MeasuredStore(EngineStore):
    """A store client that counts the bytes of the values that it returns.

    A watch without changes reports progress at once.
    """

    def __init__(self, engine: StoreEngine) -> None:
        super().__init__(engine, waits=False)
        self.value_bytes = 0

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        snapshot = super().read_prefix(prefix, timeout_s)
        self.value_bytes += sum(len(entry.value) for entry in snapshot.entries)
        return snapshot

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        with self.call("watch"):
            batch = self.read_batch(prefix.encode(), int(start))
        self.value_bytes += sum(len(event.entry.value) for event in batch.events)
        yield batch


class SchedulerStub:
    """The part of the holder's scheduler that is needed here."""

    def __init__(self, token: int) -> None:
        self.token = token
        self.authority = Authority()
        self.stopping = threading.Event()
        self.versions: list[int] = []
        self.is_lost = False

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        self.versions.append(configuration.version)

    def mark_shard_lost(self) -> None:
        self.is_lost = True

    def run(self) -> None:
        pass


class ConfigurationMember:
    """The components of a member that keep its configuration."""

    def __init__(
        self, name: str, engine: StoreEngine, links: SlowLinks, clock: ManualClock
    ) -> None:
        self.address = f"{name}:1"
        self.clock = clock
        self.store = MeasuredStore(engine)
        self.links = links
        self.metrics = Metrics()
        self.cell = Cell(name, self.address, links)
        self.configuration = ConfigurationCache(decode_intent)
        self.fetcher = ConfigurationFetcher(
            self.address, links, self.configuration, self.metrics, clock
        )
        self.task = ConfigurationTask(
            self.store,
            KEY,
            self.configuration,
            self.fetcher,
            lambda: self.cell.scheduler is not None,
            self.metrics,
            clock,
        )
        self.shard_lock = ShardLock(self.store, MemberId(name), self.address, name)
        self.control = ControlTask(
            self.store,
            self.shard_lock,
            self.cell,
            links,
            self.configuration,
            Timing(),
            lambda _authority, _was_silent: SchedulerStub(1),  # type: ignore[arg-type,return-value]
            self.metrics,
            2.0,
        )
        self.application = PeerApplication(
            self.cell, self.configuration, None, self.metrics, name, clock
        )
        links.applications[self.address] = self.application

    def lead(self) -> None:
        """Become the holder."""
        self.cell.scheduler = SchedulerStub(1)  # type: ignore[assignment]
        self.cell.set_holder(1, self.address)

    def refresh(self, rounds: int = 1, seconds: float = 0.3) -> None:
        """Run rounds of the task, each after some time."""
        for _ in range(rounds):
            self.clock.advance(seconds)
            self.task.refresh()

    def fetches(self, source: str, outcome: str) -> float:
        """Return the count of attempts with an outcome."""
        labels = {"source": source, "outcome": outcome}
        name = "gooseberrydeck_configuration_fetches_total"
        return self.metrics.registry.get_sample_value(name, labels) or 0.0


class ConfigurationCellFixture:
    """A holder and followers with version 1 of the configuration."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.links = SlowLinks(self.clock)
        self.writer = EngineStore(self.engine, waits=False)
        self.publish(configuration_value(1))
        self.holder = self.make_member("holder")
        self.follower = self.make_member("follower")
        self.other = self.make_member("other")
        self.holder.lead()

    def make_member(self, name: str) -> ConfigurationMember:
        """Return a follower that has read the stored configuration."""
        member = ConfigurationMember(name, self.engine, self.links, self.clock)
        member.cell.set_holder(1, "holder:1")
        member.task.refresh()
        member.store.value_bytes = 0
        return member

    def publish(self, value: bytes) -> None:
        """Store a configuration."""
        self.writer.commit(Transaction((), (Put(KEY, value),)), TIMEOUT_S)

    def publish_to_holder(self, value: bytes) -> None:
        """Store a configuration and let the holder read it."""
        self.publish(value)
        self.holder.refresh()

    def announce(
        self, member: ConfigurationMember, address: str = "holder:1"
    ) -> AnnouncedConfiguration:
        """Announce the holder's version to a member, as a heartbeat's reply does."""
        known = self.holder.configuration.known()
        announced = AnnouncedConfiguration(
            known.version, address, known.confirmed_s, known.revision
        )
        member.configuration.announce(announced)
        return announced
