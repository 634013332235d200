"""A scheduler's task over a store in memory, which follows registrations."""

import msgspec

from fleet_support import Fleet
from gooseberrydeck_adapter import decode_registration
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import MemberId, Revision
from gooseberrydeck_coordination.store import Operation, Put, Transaction
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.state import WorkerObstacle
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

__all__ = ["ENTRY", "EVACUATIONS", "PREFIX", "FollowedTask"]

TIMEOUT_S = 1.0
PREFIX = "servers/"
EVACUATIONS = "op/evacuate/"

ENTRY: dict[str, object] = {
    "Service": "desk",
    "Address": "127.0.0.1:80",
    "State": "ready",
    "Capacity": {"Cpu": 4_000, "MemMb": 10},
    "Labels": ["a", "r1-3"],
}


def connect(_entry: Registration) -> WorkerCalls:
    return None  # type: ignore[return-value]


class FollowedTask:
    """A scheduler's task with a follower of the registrations, one watch at a time."""

    def __init__(self, evacuations: str | None = None) -> None:
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
            evacuations=evacuations,
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
        unusable = (WorkerObstacle.UNREGISTERED, WorkerObstacle.ENTRY_UNREADABLE)
        return {
            str(each.id) for each in workers if each.find_obstacle() not in unusable
        }

    def ignored(self, kind: str = "registration") -> float:
        """Return how many entries of a kind were ignored."""
        counter = self.metrics.unreadable_entries.labels(kind)
        return float(counter._value.get())
