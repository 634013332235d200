"""Jobs of one shard with simulated store and workers, on a manual clock."""

from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from typing import Any, TypeVar

import msgspec

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.group_commit import (
    GroupCommitter,
    RecordWrite,
    WriteOutcome,
)
from gooseberrydeck_coordination.ids import (
    CellName,
    DataCentre,
    Epoch,
    HostName,
    JobId,
    MemberId,
    Rack,
    ShardId,
    StoreLeaseId,
    TeamName,
)
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_coordination.timing import Timing
from gooseberrydeck_daemon.jobs.links import Authority, WorkerLink
from gooseberrydeck_daemon.jobs.owner import ATTEMPTS_PER_EPOCH, ShardJobs
from gooseberrydeck_daemon.jobs.record_table import JobWriteResult, RecordTable
from gooseberrydeck_daemon.jobs.records import JobWrites, WriteDone
from gooseberrydeck_scheduling import JobRecord, Scheduler, WorkerInfo, decode_record
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.engine_worker import EngineWorker
from gooseberrydeck_standins.ledger import Ledger
from gooseberrydeck_standins.store_engine import StoreEngine
from gooseberrydeck_standins.worker_engine import WorkerEngine
from scheduling_support import QUEUES, TEAMS

T = TypeVar("T")

SHARD = ShardId(0)
MEMBER = MemberId("member-1")
CAPACITY = Resources(4_000, 4_096)
CELL = CellName("test")
KEYS = StoreKeys(CELL)
WRITES = JobWrites(KEYS)
TIMING = Timing()


class CrashedError(Exception):
    """Raised at the point where the owner is simulated to crash."""


class Effects:
    """Calls to the store and workers, made one after another.

    The owner crashes before or after the call with number ``crash_at``.
    """

    def __init__(self, crash_at: int = -1, is_after: bool = False) -> None:
        self.crash_at = crash_at
        self.is_after = is_after
        self.count = 0
        self.pending: deque[Callable[[], None]] = deque()

    def apply(self, effect: Callable[[], T]) -> T:
        self.count += 1
        if self.count == self.crash_at and not self.is_after:
            raise CrashedError
        result = effect()
        if self.count == self.crash_at:
            raise CrashedError
        return result

    def run(self, call: Callable[[], T], done: Callable[["Future[T]"], None]) -> None:
        def perform() -> None:
            answer: Future[T] = Future()
            try:
                answer.set_result(self.apply(call))
            except CrashedError:
                raise
            except Exception as error:
                answer.set_exception(error)
            done(answer)

        self.pending.append(perform)

    def run_pending(self) -> None:
        while self.pending:
            self.pending.popleft()()


class FixedUnits:
    """Units of a fixed size for each team, not shared with requests."""

    def allowances(self) -> dict[TeamName, int]:
        return {TeamName(team): 100 for team in TEAMS}

    def admit(self, team: TeamName) -> bool:
        return True

    def reconcile(
        self, running: Mapping[TeamName, int], unconfirmed: Mapping[TeamName, int]
    ) -> None:
        pass

    def record_demand(self, waiting: Mapping[TeamName, int]) -> None:
        pass


class Platform:
    """A store and workers that outlive the owners of the shard."""

    def __init__(self, hosts: int = 2) -> None:
        self.clock = ManualClock()
        self.store_engine = StoreEngine(self.clock)
        self.ledger = Ledger()
        self.workers = {
            HostName(f"host-{number}"): WorkerEngine(
                HostName(f"host-{number}"), CAPACITY, self.clock, self.ledger
            )
            for number in range(hosts)
        }
        self.epoch = 0

    def submit(self, *records: JobRecord) -> None:
        store = EngineStore(self.store_engine)
        for record in records:
            write = WRITES.accept(SHARD, record)
            store.commit(Transaction(write.compares, write.operations), 1.0)

    def records(self) -> dict[JobId, JobRecord]:
        store = EngineStore(self.store_engine)
        found = store.read_prefix(KEYS.shard_jobs_prefix(SHARD), 1.0)
        records = [decode_record(entry.value) for entry in found.entries]
        return {record.spec.id: record for record in records}


class Owner:
    """One owner of the shard, from its claim until it crashes."""

    def __init__(self, platform: Platform, effects: Effects | None = None) -> None:
        platform.epoch += 1
        self.platform = platform
        self.clock = platform.clock
        self.effects = effects or Effects()
        self.store = EngineStore(platform.store_engine)
        claim = Put(KEYS.shard(SHARD), str(platform.epoch).encode())
        result = self.store.commit(Transaction((), (claim,)), 1.0)
        marker = KEYS.commit_marker(MemberId(f"member-{platform.epoch}"))
        self.committer = GroupCommitter(self.store, marker, StoreLeaseId(0))
        now_s = self.clock.monotonic()
        quarantine = Quarantine(
            TIMING, now_s, now_s, has_predecessor=platform.epoch > 1,
            session_ttl_s=5.0, task_lease_s=TIMING.task_lease_s,
        )  # fmt: skip
        self.owned = OwnedShard(
            SHARD, Epoch(platform.epoch), result.revision, float("inf"), quarantine
        )
        record_table = RecordTable(
            SHARD, result.revision, WRITES, self, self.handle_write_result
        )
        scheduler = Scheduler(QUEUES, first_attempt=platform.epoch * ATTEMPTS_PER_EPOCH)
        self.jobs = ShardJobs(
            self.owned,
            scheduler,
            record_table,
            self.effects,
            self.clock,
            TIMING.task_lease_s,
            lambda: tuple(platform.workers),
            FixedUnits(),
        )
        self.workers: dict[HostName, EngineWorker] = {}

    def view(self) -> OwnershipView:
        return OwnershipView(self.clock, MEMBER, {SHARD: self.owned})

    def write(self, write: RecordWrite, done: WriteDone) -> bool:
        def finish(answer: "Future[Any]") -> None:
            done(answer.result()[0].outcome)

        self.effects.run(lambda: self.committer.commit([write]), finish)
        return True

    def handle_write_result(self, answer: JobWriteResult) -> None:
        self.jobs.handle_write_result(answer)

    def take_over(self, without: tuple[str, ...] = ()) -> None:
        self.jobs.load(self.platform.records().values())
        authority = Authority(self.view, SHARD, self.owned.epoch)
        for host, engine in self.platform.workers.items():
            if host in without:
                continue
            info = WorkerInfo(host, CAPACITY, Rack("rack-1"), DataCentre("lima-1"))
            worker = self.workers[host] = EngineWorker(engine)
            self.jobs.add_worker(
                WorkerLink(info, worker, self.owned.quarantine, authority, self.clock)
            )

    def lose_authority(self) -> None:
        self.owned = msgspec.structs.replace(self.owned, deadline_s=float("-inf"))

    def step(self, seconds: float = 0.5) -> None:
        self.clock.advance(seconds)
        self.jobs.step()
        self.effects.run_pending()

    def run_until_ended(self, max_steps: int = 400) -> dict[JobId, JobRecord]:
        for _ in range(max_steps):
            records = self.platform.records()
            if all(record.state.is_final for record in records.values()):
                return records
            self.step()
        raise AssertionError("a job did not end")


WRITTEN = WriteOutcome.WRITTEN
