"""Tests of the scheduler's task beside registrations that another writer has left."""

from collections.abc import Iterator

import msgspec
import pytest
from structlog.testing import capture_logs

from fleet_support import Fleet
from gooseberrydeck_adapter import decode_registration
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import MemberId, Revision
from gooseberrydeck_coordination.store import Delete, Operation, Put, Transaction
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.worker_calls import WorkerCalls
from gooseberrydeck_member.advice_pool import AdvicePool
from gooseberrydeck_member.authority import Authority, boottime_clock_s
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.predecessors import NO_PREDECESSORS
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_member.store_follower import StoreFollower
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import deep, with_raw

TIMEOUT_S = 1.0
PREFIX = "servers/"
BAD_KEY = f"{PREFIX}odd"

ENTRY: dict[str, object] = {
    "Service": "desk",
    "Address": "127.0.0.1:80",
    "State": "ready",
    "Capacity": {"Cpu": 4_000, "MemMb": 10},
    "Labels": ["a", "r1-3"],
}

ODD_ENTRIES = {
    "deep": with_raw({**ENTRY, "Extra": "RAW"}, deep(2_000)),
    "deeper": with_raw({**ENTRY, "Extra": "RAW"}, deep(100_000)),
    "number too large": with_raw({**ENTRY, "RemainingMs": "RAW"}, b"9" * 400),
    "float too large": with_raw({**ENTRY, "RemainingMs": "RAW"}, b"1e400"),
    "amount too large": with_raw(
        {**ENTRY, "Capacity": {"Cpu": "RAW", "MemMb": 1}}, b"9" * 400
    ),
    "start too large": with_raw({**ENTRY, "born": "RAW"}, b"9" * 400),
    "port 0": msgspec.json.encode({**ENTRY, "Address": "127.0.0.1:0"}),
    "port 65536": msgspec.json.encode({**ENTRY, "Address": "127.0.0.1:65536"}),
    "no address": msgspec.json.encode({**ENTRY, "Address": "a b:80"}),
    "no JSON": b"\xff{",
}


def connect(_entry: Registration) -> WorkerCalls:
    return None  # type: ignore[return-value]


class FollowedTask:
    """A scheduler's task with a follower of the registrations, one watch at a time."""

    def __init__(self) -> None:
        self.store = EngineStore(StoreEngine(ManualClock()), waits=False)
        shard_lock = ShardLock(self.store, MemberId("m1"), "m1:1", "run-1")
        assert shard_lock.claim(shard_lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)
        authority = Authority()
        authority.confirm(boottime_clock_s())
        self.metrics = Metrics()
        self.task = SchedulerTask(
            self.store,
            shard_lock,
            authority,
            Fleet(workers=0).timing,
            AdvicePool(None, PeerClient()),
            connect,
            decode_registration,
            PREFIX,
            self.metrics,
            predecessors=NO_PREDECESSORS,
        )
        self.follower = StoreFollower(
            self.store, PREFIX, lambda message: self.task.handle(message, 0.0)
        )

    def store_entries(self, *operations: Operation) -> Revision:
        return self.store.commit(Transaction((), operations), TIMEOUT_S).revision

    def put(self, name: str, value: bytes = b"") -> None:
        value = value or msgspec.json.encode(ENTRY)
        self.store_entries(Put(f"{PREFIX}{name}", value))

    def watch(self) -> None:
        """Apply the changes since the last read or watch."""
        assert self.follower.revision is not None
        start = Revision(self.follower.revision + 1)
        batch = next(iter(self.store.watch(PREFIX, start, TIMEOUT_S)))
        self.follower.revision = batch.revision
        self.task.workers.registrations_changed(batch, 0.0)

    def read(self) -> None:
        """Apply a complete read, as after a lost history."""
        snapshot = self.store.read_prefix(PREFIX, TIMEOUT_S)
        self.follower.revision = snapshot.revision
        self.task.workers.registrations_read(snapshot.entries, 0.0)

    def usable(self) -> set[str]:
        """Return the workers on which tasks may start once they have answered."""
        workers = self.task.scheduler.ledger.workers.values()
        return {str(each.id) for each in workers if each.is_registered}

    def ignored(self) -> float:
        """Return how many entries were ignored."""
        counter = self.metrics.unreadable_entries.labels("registration")
        return float(counter._value.get())


@pytest.fixture
def followed() -> Iterator[FollowedTask]:
    followed = FollowedTask()
    yield followed
    followed.task.shut_down()


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
class TestOddEntry:
    # Guards against a cell without a scheduler: each holder in turn crashed on the
    # entry while it took over.
    def test_holder_takes_over_beside_it(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.put("odd", odd)
        followed.put("z")
        followed.task.load()
        assert followed.usable() == {"a", "z"}

    # Guards against a holder that stops when another writer leaves the entry.
    def test_other_workers_are_followed_on(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.read()
        followed.put("odd", odd)
        followed.put("b")
        followed.watch()
        assert followed.usable() == {"a", "b"}
        followed.put("odd", odd + b" ")
        followed.store_entries(Delete(f"{PREFIX}b"))
        followed.put("c")
        followed.watch()
        assert followed.usable() == {"a", "c"}
        followed.store_entries(Delete(BAD_KEY))
        followed.put("d")
        followed.watch()
        assert followed.usable() == {"a", "c", "d"}

    def test_complete_read_goes_past_it(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.read()
        followed.put("odd", odd)
        followed.put("z")
        followed.read()
        assert followed.usable() == {"a", "z"}
        followed.store_entries(Delete(BAD_KEY), Delete(f"{PREFIX}a"))
        followed.read()
        assert followed.usable() == {"z"}

    # Guards against starts by an entry that is gone: the holder went on by what a
    # worker's entry had been, and its successor didn't.
    def test_worker_is_not_used_while_its_entry_is_odd(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("odd")
        followed.read()
        assert followed.usable() == {"odd"}
        followed.put("odd", odd)
        followed.watch()
        assert followed.usable() == set()
        assert WorkerId("odd") in followed.task.workers.poll_states
        followed.put("odd")
        followed.watch()
        assert followed.usable() == {"odd"}

    def test_each_change_counts_and_each_reason_is_logged_once(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.read()
        with capture_logs() as logs:
            for _ in range(3):
                followed.put("odd", odd)
                followed.watch()
            followed.read()
        lines = [each for each in logs if each["event"] == "registration unreadable"]
        assert [(each["key"], each["bytes"]) for each in lines] == [(BAD_KEY, len(odd))]
        assert lines[0]["reason"]
        assert followed.ignored() == 4
        followed.store_entries(Delete(BAD_KEY))
        followed.read()
        with capture_logs() as logs:
            followed.put("odd", odd)
            followed.watch()
        assert "registration unreadable" in [each["event"] for each in logs]
