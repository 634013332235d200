"""The scheduler's task with all its parts, in virtual time, and checks of the rules.

Real are the task, its dispatcher, polls, committer, lookups and followers of the store;
stand-ins are the workers, the store, and the network to both.
"""

import contextlib
from collections.abc import Iterator

import msgspec
from structlog.testing import capture_logs

from fleet_support import (
    CORE,
    SLOW,
    TEAM,
    URGENT,
    make_configuration,
    queue,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId, MemberId, QueueName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import Delete, EventKind, Put, Transaction
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_member.advice_pool import AdvicePool
from gooseberrydeck_member.authority import Authority
from gooseberrydeck_member.keys import ENDED_PREFIX, job_key
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.predecessors import NO_PREDECESSORS
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLock, ShardLostError
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.fleet_worker import RunPlan
from gooseberrydeck_standins.run_spans import RunSpan
from virtual_hosts import Host, HostCalls
from virtual_store import VirtualStore, WatchedEngine
from virtual_time import VirtualTime

REGISTRATIONS = "servers/"
EVACUATIONS = "op/evacuate/"
DATA_CENTRES = "east", "north", "west"
"""The workers are in these in turn."""
ATTEMPTS = 3
HOST_CORES = 4
RENEWAL_S = 0.4
LEASE_TTL_S = 1.0
TIMEOUT_S = 1.0
CALM_AFTER_S = 4.0
"""Time after a disturbance of the store in which rules with a time bound don't hold."""


class Behaviour(msgspec.Struct, frozen=True):
    """How the runs of a job behave.

    The first runs of the tasks with a number below ``stragglers`` stall for
    ``stalls_s``; the first ``failing_runs`` runs of the first task fail.
    """

    seconds: float = 0.5
    stragglers: int = 0
    stalls_s: float = 0.0
    failing_runs: int = 0


class JoinedFleet:
    """A scheduler's task under way, its workers and its store."""

    def __init__(self, workers: int, seed: int = 0) -> None:
        """Start the task and let all workers report."""
        self.stack = contextlib.ExitStack()
        self.logs = self.stack.enter_context(capture_logs())
        self.loop = VirtualTime()
        self.seed = str(seed)
        self.records: dict[JobId, JobRecord] = {}
        self.behaviours: dict[JobId, Behaviour] = {}
        self.completed_s: dict[JobId, float] = {}
        self.cancelled_s: dict[JobId, float] = {}
        self.drained_s: dict[WorkerId, float] = {}
        # By data centre, when its evacuation was requested.
        self.evacuated_s: dict[str, float] = {}
        self.maxima: list[tuple[float, int]] = []
        self.sent_s: dict[tuple[TaskRef, int], float] = {}
        self.runs: dict[TaskRef, set[int]] = {}
        self.store_calm_s = 0.0
        self.found: list[str] = []
        self.engine = WatchedEngine(self.loop)
        self.outside = EngineStore(self.engine, waits=False)
        self.ended_revision = self.engine.revision
        self.engine.watchers.append(self.note_ended_jobs)
        self.store = VirtualStore(self.loop, self.engine, self.seed)
        self.hosts = [self.new_host(f"w{number}") for number in range(workers)]
        for host in self.hosts:
            self.register(host)
        self.lock_store = VirtualStore(self.loop, self.engine, f"{self.seed} lock")
        self.claim("m1")
        self.task = self.new_task()
        self.set_maximum(0)
        self.loop.spawn(self.task.run)
        self.loop.spawn(self.renew)
        self.run_for(1.0)

    def claim(self, member: str) -> None:
        """Claim the shard for a member."""
        self.authority = Authority(self.loop.clock.monotonic)
        self.lock = ShardLock(
            self.outside, MemberId(member), f"{member}:1", f"run-{member}"
        )
        view = self.lock.read(TIMEOUT_S)
        assert self.lock.claim(view, (), LEASE_TTL_S, TIMEOUT_S)
        self.lock.store = self.lock_store

    def new_task(self) -> SchedulerTask:
        """Build the task of the member that holds the shard."""
        return SchedulerTask(
            self.store,
            self.lock,
            self.authority,
            Timing(evacuation_s=5.0),
            AdvicePool(None, PeerClient(), self.loop.clock, self.loop),
            lambda entry: HostCalls(self.host(entry.worker)),
            lambda _key, value: msgspec.json.decode(value, type=Registration),
            REGISTRATIONS,
            Metrics(),
            predecessors=NO_PREDECESSORS,
            clock=self.loop.clock,
            threads=self.loop,
            evacuations=EVACUATIONS,
        )

    def replace_holder(self) -> None:
        """Let the holder stop, and another member take over at once."""
        self.task.stop()
        self.claim("m2")
        self.task = self.new_task()
        self.set_maximum(0)
        self.loop.spawn(self.task.run)

    def close(self) -> None:
        """End all threads."""
        self.loop.close()
        self.stack.close()

    def run_for(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_for(seconds)
        assert self.loop.failures == []

    def renew(self) -> None:
        """Renew the lease as the member does while it holds the shard."""
        while True:
            sent_s = self.loop.now_s
            lock, task, authority = self.lock, self.task, self.authority
            try:
                lock.renew_lease(LEASE_TTL_S, TIMEOUT_S)
            except ShardLostError:
                task.mark_shard_lost()
                if task is self.task:
                    return
            except StoreError:
                authority.not_confirmed(sent_s)
            else:
                authority.confirm(sent_s)
            self.loop.sleep(RENEWAL_S)

    # Workers.

    def new_host(self, name: str) -> Host:
        """Start a worker."""
        worker = WorkerId(name)
        return Host(
            self.loop,
            worker,
            Resources(HOST_CORES * CORE, 65_536, 0),
            self.plan,
            self.seed,
            self.run_started,
            lambda request: self.order_sent(worker, request),
        )

    def host(self, worker: WorkerId) -> Host:
        """Return a worker."""
        return next(each for each in self.hosts if each.worker == worker)

    def register(self, host: Host, is_draining: bool = False) -> None:
        """Write the registration of a worker."""
        entry = registration(
            host.worker,
            host.engine.capacity,
            is_draining=is_draining,
            remaining_s=20.0 if is_draining else None,
            born_ms=host.born_ms,
            data_centre=self.data_centre_of(host.worker),
        )
        self.write(f"{REGISTRATIONS}{host.worker}", msgspec.json.encode(entry))

    def data_centre_of(self, worker: WorkerId) -> str:
        """Return the data centre of a worker."""
        return DATA_CENTRES[int(worker.removeprefix("w")) % len(DATA_CENTRES)]

    def evacuate(self, name: str) -> None:
        """Request the evacuation of a data centre."""
        self.write(f"{EVACUATIONS}{name}", b"{}")
        self.evacuated_s.setdefault(name, self.loop.now_s)

    def take_back(self, name: str) -> None:
        """Withdraw the request to evacuate a data centre."""
        delete = Delete(f"{EVACUATIONS}{name}")
        self.outside.commit(Transaction((), (delete,)), TIMEOUT_S)
        self.evacuated_s.pop(name, None)

    def drain(self, host: Host) -> None:
        """Let a worker drain until its process starts again."""
        if not host.is_down and host.worker not in self.drained_s:
            self.drained_s[host.worker] = self.loop.now_s
            self.register(host, is_draining=True)

    def restart(self, host: Host, down_s: float) -> None:
        """End the process of a worker, and start another one under its id later."""
        if host.is_down:
            return
        host.crash()

        def start_again() -> None:
            self.drained_s.pop(host.worker, None)
            host.start_process(host.engine.capacity)
            self.register(host)

        self.loop.call_in(down_s, start_again)

    def plan(self, request: StartRequest) -> RunPlan:
        """Return the course of a run."""
        task = request.task
        behaviour = self.behaviours[task.job]
        spec = self.spec(task)
        earlier = {run for run in self.runs[task] if run < request.run}
        is_straggler = not earlier and task.number < behaviour.stragglers
        return RunPlan(
            behaviour.seconds,
            spec.allocation,
            fails=task.number == 0 and len(earlier) < behaviour.failing_runs,
            stalls_s=behaviour.stalls_s if is_straggler else 0.0,
            allows_copies=spec.is_speculative,
        )

    def spec(self, task: TaskRef) -> StepSpec:
        """Return the step of a task."""
        return self.records[task.job].work.steps[task.step]

    # The store.

    def disturb_store(
        self,
        seconds: float,
        *,
        is_down: bool = False,
        is_cut: bool = False,
        extra_s: float = 0.0,
    ) -> None:
        """Let the store be down, cut off or slow for a while."""
        self.store_calm_s = self.loop.now_s + seconds + CALM_AFTER_S
        self.set_store(is_down, is_cut, extra_s)
        until_s = self.store_calm_s

        def end() -> None:
            if self.store_calm_s == until_s:
                self.set_store(False, False, 0.0)

        self.loop.call_in(seconds, end)

    def set_store(self, is_down: bool, is_cut: bool, extra_s: float) -> None:
        """Set the state of the store."""
        for store in (self.store, self.lock_store):
            store.is_down = is_down
            store.network.is_cut = is_cut
            store.network.extra_s = extra_s

    def is_store_calm(self) -> bool:
        """Return True if the store has been undisturbed for a while."""
        return self.loop.now_s >= self.store_calm_s

    # Jobs and limits.

    def write(self, key: str, value: bytes) -> int:
        """Write to the store from outside, and return the revision."""
        transaction = Transaction((), (Put(key, value),))
        return int(self.outside.commit(transaction, TIMEOUT_S).revision)

    def submit(
        self,
        *steps: StepSpec,
        behaviour: Behaviour,
        queue_name: QueueName = SLOW,
        is_announced: bool = True,
    ) -> JobId:
        """Store a job, and announce it to the holder unless that gets lost."""
        job = JobId(f"j{len(self.records)}")
        work = WorkSpec(steps=steps)
        record = JobRecord(job, queue_name, TEAM, work, self.loop.now_s)
        self.records[job] = record
        self.behaviours[job] = behaviour
        revision = self.write(job_key(job), msgspec.json.encode(record))
        if is_announced:
            accepted = JobAccepted(record, revision)
            self.loop.call_in(0.005, lambda: self.task.job_accepted(accepted))
        return job

    def cancel(self, job: JobId) -> None:
        """Mark a job as cancelled, unless it has ended."""
        if self.outside.read(job_key(job), TIMEOUT_S) is None:
            return
        record = msgspec.structs.replace(self.records[job], is_cancelled=True)
        revision = self.write(job_key(job), msgspec.json.encode(record))
        self.cancelled_s.setdefault(job, self.loop.now_s)
        accepted = JobAccepted(record, revision)
        self.loop.call_in(0.005, lambda: self.task.job_accepted(accepted))

    def set_maximum(self, cores: int) -> None:
        """Set the limit of the team; 0 for none."""
        self.maxima.append((self.loop.now_s, cores))
        self.task.set_configuration(
            make_configuration(
                queue(URGENT, 0, attempts=ATTEMPTS),
                queue(SLOW, 2, attempts=ATTEMPTS),
                maximum=Resources(cores * CORE, 0, 0),
                version=len(self.maxima),
            )
        )

    def note_ended_jobs(self) -> None:
        """Note when each completed job is stored as such."""
        since = self.ended_revision + 1
        self.ended_revision = self.engine.revision
        batch = self.outside.read_batch(ENDED_PREFIX.encode(), since)
        for event in batch.events:
            if event.kind is EventKind.PUT:
                job = JobId(event.entry.key.removeprefix(ENDED_PREFIX))
                ended = msgspec.json.decode(event.entry.value, type=EndedJob)
                if ended.state is JobState.COMPLETED:
                    self.completed_s.setdefault(job, self.loop.now_s)

    def is_over(self, job: JobId) -> bool:
        """Return True if the end of a job is stored."""
        return self.outside.read(job_key(job), TIMEOUT_S) is None

    # Orders of several steps.

    def submit_stragglers(self, count: int, stalls_s: float, others: int = 4) -> JobId:
        """Submit a job of which ``count`` tasks stall, so that they may get copies."""
        step = StepSpec(count + others, task_resources(1), is_speculative=True)
        behaviour = Behaviour(0.3, count, stalls_s)
        return self.submit(step, behaviour=behaviour, queue_name=URGENT)

    def submit_burst(self, count: int) -> JobId:
        """Submit more tasks than the threads for commands can start together."""
        step = StepSpec(count, task_resources(1))
        return self.submit(step, behaviour=Behaviour(0.3), queue_name=URGENT)

    def silence_idle(self, count: int, for_s: float, busy_with: JobId) -> None:
        """Cut off workers for a while that run nothing of a job."""
        for host in self.hosts:
            is_busy = any(task.job == busy_with for task in host.engine.runs)
            if count and not is_busy:
                count -= 1
                host.network.is_cut = True
                self.loop.call_in(for_s, host.network.heal)

    def delay_orders(self, share: float, for_s: float) -> None:
        """Let orders to all workers be executed late for a while."""
        for host in self.hosts:
            host.network.late_share = share
            self.loop.call_in(for_s, host.network.heal)

    # What is noted for the checks.

    def order_sent(self, worker: WorkerId, request: StartRequest) -> None:
        """Note a start that leaves the holder."""
        self.sent_s[request.task, request.run] = self.loop.now_s
        self.runs.setdefault(request.task, set()).add(request.run)

    def run_started(self, request: StartRequest) -> None:
        """Note a run that has begun."""

    def spans(self) -> Iterator[tuple[float, RunSpan]]:
        """Return all runs so far, each with the start of its worker's process."""
        for host in self.hosts:
            if not host.is_down:
                host.engine.advance()
            for began_s, engine in zip(host.began_s, host.engines, strict=True):
                for span in engine.spans + engine.open_spans():
                    yield began_s, span

    def logged(self, event: str) -> int:
        """Return how often a line was logged."""
        return sum(each["event"] == event for each in self.logs)
