"""Tests of the ownership of shards, with complete members over one store."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from daemon_support import (
    CONFIGURATION,
    FakeEndpoints,
    FakeHostList,
    call,
    endpoint_host,
    make_settings,
    wait_until,
)
from gooseberrydeck_coordination import StoreKeys, SystemClock, Timing
from gooseberrydeck_coordination.ids import CellName, ShardId
from gooseberrydeck_coordination.versioned import (
    Publication,
    PublicationId,
    Publisher,
    VersionedHolder,
    VersionNumber,
)
from gooseberrydeck_daemon.composition import Member, Platform
from gooseberrydeck_daemon.operators import configuration_keys
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

SHARDS = 6
TIMING = Timing(
    session_ttl_s=1,
    round_interval_s=0.05,
    attestation_interval_s=0.1,
    cold_start_s=1.0,
    fallback_claim_s=1.0,
)


class Cell:
    """Members over one store engine, each with a connection of its own."""

    def __init__(self) -> None:
        self.engine = StoreEngine(SystemClock())
        self.publish()
        self.endpoints = FakeEndpoints()
        self.hosts = [endpoint_host(f"e{index}") for index in range(SHARDS)]
        self.started: list[Member] = []
        self.members: dict[str, Member] = {}
        self.stores: dict[str, EngineStore] = {}

    def publish(self) -> None:
        keys = configuration_keys(StoreKeys(CellName("test")))
        publisher = Publisher(EngineStore(self.engine), keys, SystemClock())
        content = msgspec.json.encode(CONFIGURATION)
        publication = Publication(PublicationId("p1"), VersionNumber(0), content)
        publisher.publish(publication, VersionedHolder(), timeout_s=1.0)

    def start(self, name: str) -> Member:
        self.stores[name] = EngineStore(self.engine)
        platform = Platform(
            FakeHostList(self.hosts), self.endpoints.connect, self.stores[name]
        )
        settings = msgspec.structs.replace(
            make_settings(name), timing=TIMING, shards=SHARDS
        )
        member = self.members[name] = Member(settings, platform)
        self.started.append(member)
        member.start()
        return member

    def crash(self, name: str) -> None:
        """Stop a member as a kill would: its session is not ended but expires."""
        member = self.members.pop(name)
        assert member.coordination is not None
        member.coordination.task.rounds.close = lambda: None  # type: ignore[method-assign]
        member.supervisor.stop(["ownership", "peers"])

    def owned(self) -> list[int]:
        """Return how many shards each running member may act for."""
        return [
            sum(
                member.ownership_holder.current.may_act(ShardId(n))
                for n in range(SHARDS)
            )
            for member in self.members.values()
        ]

    def is_fully_owned(self) -> bool:
        """Return True if every shard has an owner that may act.

        All members must be ready and know the owners.
        """
        return sum(self.owned()) == SHARDS and all(
            member.health.ready.is_set()
            and len(member.ownership_holder.current.owners) == SHARDS
            for member in self.members.values()
        )


def stop_member(member: Member) -> None:
    member.supervisor.close()
    member.executor.shutdown(wait=False)


@pytest.fixture(scope="class")
def cell() -> Iterator[Cell]:
    cell = Cell()
    try:
        for name in ("m0", "m1", "m2", "m3", "m4", "m5"):
            cell.start(name)
        wait_until(cell.is_fully_owned)
        yield cell
    finally:
        for store in cell.stores.values():
            store.fault = CallFault.DOWN  # Ends watches at once.
        with ThreadPoolExecutor(len(cell.started)) as threads:
            list(threads.map(stop_member, cell.started))


class TestOwnershipTask:
    """Tests that share one cell of six members, and remove members one by one."""

    def test_members_share_shards_and_requests_reach_their_owners(
        self, cell: Cell
    ) -> None:
        # Members that start first may own the shards of those that start later.
        wait_until(lambda: cell.owned() == [1] * SHARDS)
        for member in cell.members.values():
            wait_until(lambda m=member: call(m)[0] == 200)  # type: ignore[misc]

    def test_leaving_member_hands_its_shards_over(self, cell: Cell) -> None:
        leaving = cell.members.pop("m1")
        assert leaving.coordination is not None
        assert leaving.coordination.task.leave(timeout_s=10.0)
        assert not leaving.ownership_holder.current.owned
        wait_until(cell.is_fully_owned)

    def test_shards_of_crashed_member_are_taken_over(self, cell: Cell) -> None:
        cell.crash("m2")
        wait_until(cell.is_fully_owned)

    def test_member_without_store_and_peers_stops_acting(self, cell: Cell) -> None:
        isolated = cell.members.pop("m3")
        cell.stores["m3"].fault = CallFault.DOWN
        isolated.supervisor.stop(["peers"])
        shards = [ShardId(n) for n in range(SHARDS)]
        wait_until(
            lambda: not any(map(isolated.ownership_holder.current.may_act, shards))
        )
        wait_until(cell.is_fully_owned)

    def test_members_keep_acting_without_the_store(self, cell: Cell) -> None:
        """The store is unreachable for every member for longer than a session."""
        last_sent_s = {
            name: last_keep_alive_s(each) for name, each in cell.members.items()
        }
        for name in cell.members:
            cell.stores[name].fault = CallFault.DOWN
        clock = SystemClock()
        expired_s = max(last_sent_s.values()) + 2 * TIMING.session_ttl_s
        wait_until(lambda: clock.monotonic() >= expired_s)
        wait_until(lambda: sum(cell.owned()) == SHARDS)
        assert all(
            last_keep_alive_s(each) < expired_s for each in cell.members.values()
        )
        for name in cell.members:
            cell.stores[name].fault = CallFault.NONE
        wait_until(cell.is_fully_owned)


def last_keep_alive_s(member: Member) -> float:
    """Return the time at which a member's last successful keep-alive was sent."""
    assert member.coordination is not None
    return member.coordination.coordinator.authority.session_sent_s
