"""A scheduler with in-memory workers, driven by a manual clock."""

import contextlib
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import (
    DataCentre,
    Epoch,
    JobId,
    QueueName,
    Rack,
    ServiceName,
    TeamName,
)
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.commands import (
    AskAdvice,
    Changes,
    Command,
    StartRun,
    StopRun,
)
from gooseberrydeck_fleet.configuration import (
    AdvicePolicy,
    FleetConfiguration,
    Queue,
    QueueSettings,
    Team,
)
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.progress import decode_progress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.settings import DurationUses, Timing
from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_fleet.work import (
    EndedJob,
    JobRecord,
    JobState,
    StepSpec,
    WorkSpec,
)
from gooseberrydeck_fleet.worker_calls import (
    StartOutcome,
    StartRequest,
    WorkerFencedError,
)
from gooseberrydeck_member.shard_lock import TOKENS_PER_CLAIM
from gooseberrydeck_member.worker_polling import WorkerPollState, worker_token
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine, RunPlan
from gooseberrydeck_standins.gangs import GangRegistry
from gooseberrydeck_standins.run_spans import (
    RunSpan,
    find_duplicate_runs,
    find_starts_after_end,
    find_starts_beyond_attempts,
)

SERVICE = ServiceName("desk")
TEAM = TeamName("editors")
URGENT = QueueName("urgent")
SLOW = QueueName("slow")
CORE = 1_000
HOST = Resources(32 * CORE, 65_536, 0)
STEP_S = 0.05
CRASH_S = 3.5
"""How long a worker that has crashed is down."""


def task_resources(cores: float = 1.0, memory_mib: int = 100) -> Resources:
    """Return the resources of a task."""
    return Resources(int(cores * CORE), memory_mib, 0)


def queue(
    name: QueueName,
    priority: int,
    advice: AdvicePolicy | None = None,
    attempts: int = 3,
) -> Queue:
    """Return a queue of the test service."""
    return Queue(
        name,
        "desk.example",
        f"/{name}/",
        SERVICE,
        0.25,
        1.5,
        priority,
        attempts,
        advice,
        False,
    )


def make_configuration(
    *queues: Queue,
    maximum: Resources = NO_RESOURCES,
    version: int = 1,
    shares: Mapping[TeamName, float] = MappingProxyType({TEAM: 1.0}),
) -> FleetConfiguration:
    """Return a configuration; ``shares`` maps teams to their share, zero for none."""
    teams = tuple(
        Team(name, frozenset({f"{name}-key"}), share, maximum)
        for name, share in shares.items()
    )
    return FleetConfiguration(
        version, queues or (queue(URGENT, 0), queue(SLOW, 2)), teams
    )


def registration(
    name: str,
    capacity: Resources = HOST,
    rack: str = "r1",
    is_draining: bool = False,
    labels: frozenset[str] = frozenset({"a"}),
    remaining_s: float | None = None,
    born_ms: int = 0,
    address: str = "",
    may_hold_longest_lease: bool = False,
    data_centre: str = "centre",
    cold_s: float = 0.0,
) -> Registration:
    """Return the registration of a worker, by default at an address of its own."""
    return Registration(
        WorkerId(name),
        SERVICE,
        HttpAddress(address or f"{name}.example", 1),
        DataCentre(data_centre),
        Rack(rack),
        labels,
        "a",
        capacity,
        is_draining,
        remaining_s,
        born_ms,
        may_hold_longest_lease,
        cold_s=cold_s,
    )


class Rebirth(Enum):
    """How a worker that has crashed comes back."""

    SAME_ID = "same_id"
    SAME_ADDRESS = "same_address"
    """Under a new id."""
    ELSEWHERE = "elsewhere"
    """Under a new id at a new address; its registration has been removed."""
    NEVER = "never"


class StartUnderWay(NamedTuple):
    """A start request that the network delays, and when it was sent."""

    worker: WorkerId
    request: StartRequest
    token: Epoch
    sent_s: float


class Fleet:
    """A scheduler, its workers, and a simulated network and store between them."""

    def __init__(
        self,
        workers: int = 4,
        capacity: Resources = HOST,
        uses: DurationUses | None = None,
        share_policy: SharePolicy | None = None,
    ) -> None:
        """Create a configured scheduler and idle workers that have reported."""
        self.uses = uses
        self.share_policy = share_policy
        self.clock = ManualClock()
        self.timing = Timing()
        self.capacity = capacity
        self.engines: dict[WorkerId, FleetWorkerEngine] = {}
        self.crashed_engines: list[FleetWorkerEngine] = []
        self.gangs = GangRegistry()
        self.unreachable: set[WorkerId] = set()
        self.lost_start_replies: set[WorkerId] = set()
        self.delayed_starts: set[WorkerId] = set()
        self.starts_under_way: list[StartUnderWay] = []
        self.plans: dict[JobId, Callable[[StartRequest], RunPlan]] = {}
        self.specs: dict[JobId, WorkSpec] = {}
        self.teams: dict[JobId, TeamName] = {}
        self.records: dict[JobId, JobRecord] = {}
        self.revisions: dict[JobId, int] = {}
        self.progress: dict[JobId, bytes] = {}
        self.ended: dict[JobId, EndedJob] = {}
        # Since when each completed job is stored, and shown, as such.
        self.completed_s: dict[JobId, float] = {}
        self.workers_record: list[Registration] = []
        self.poll_states: dict[WorkerId, WorkerPollState] = {}
        self.starts: list[tuple[float, TaskRef, WorkerId]] = []
        self.stops: list[tuple[float, TaskRef, str]] = []
        self.starts_beyond_maximum: list[str] = []
        self.advice_requests: list[AskAdvice] = []
        self.crashes: list[tuple[float, WorkerId, tuple[TaskRef, ...]]] = []
        self.down: dict[WorkerId, float] = {}
        self.rebirth = Rebirth.SAME_ID
        self.allowed: Callable[[WorkerId], bool] = lambda _worker: True
        self.token = 0
        self.is_store_available = True
        self.can_look_up_jobs = True
        self.wall_offset_s = 0.0
        self.configuration = make_configuration()
        self.scheduler = self.new_scheduler()
        for number in range(workers):
            self.add_worker(f"w{number}")
        self.run_for(0.2)

    @property
    def now_s(self) -> float:
        """Return the time of the manual clock."""
        return self.clock.now_s

    def new_scheduler(self) -> Scheduler:
        """Return an empty scheduler with the next token."""
        self.token += TOKENS_PER_CLAIM
        scheduler = Scheduler(self.token, self.timing, self.uses, self.share_policy)
        scheduler.set_configuration(self.configuration)
        scheduler.set_max_advice_requests(6)
        return scheduler

    def add_worker(self, name: str, **entry: object) -> WorkerId:
        """Add an idle worker."""
        worker = WorkerId(name)
        capacity = entry.setdefault("capacity", self.capacity)
        assert isinstance(capacity, Resources)
        self.engines[worker] = FleetWorkerEngine(
            self.clock, capacity, self.plan, gangs=self.gangs
        )
        self.poll_states[worker] = WorkerPollState()
        self.scheduler.worker_registered(
            registration(name, **entry),
            self.now_s,  # type: ignore[arg-type]
        )
        return worker

    def restart_worker(self, worker: WorkerId, born_ms: int = 0) -> None:
        """Replace a worker's process by a new one that knows nothing.

        Without ``born_ms``, it starts a millisecond after the former one.

        The poll that the former process held open fails.
        """
        former = self.engines[worker]
        former.crash()
        self.crashed_engines.append(former)
        self.engines[worker] = FleetWorkerEngine(
            self.clock,
            former.capacity,
            self.plan,
            born_ms=born_ms or former.born_ms + 1,
            gangs=self.gangs,
        )
        self.poll_failed(worker)

    def crash_worker(self, worker: WorkerId) -> None:
        """Let a worker's process end, and start again after a while."""
        engine = self.engines[worker]
        self.crashes.append((self.now_s, worker, tuple(engine.runs)))
        engine.crash()
        self.crashed_engines.append(engine)
        self.unreachable.add(worker)
        self.down[worker] = self.now_s + CRASH_S
        self.poll_failed(worker)

    def crash_and_restart_workers(self) -> None:
        """Crash the workers whose runs do that, and start those whose time has come."""
        for worker, engine in list(self.engines.items()):
            if worker not in self.down and engine.is_crash_due():
                self.crash_worker(worker)
        for worker, restart_s in list(self.down.items()):
            if self.now_s >= restart_s:
                del self.down[worker]
                self.start_again(worker)

    def resize_worker(self, worker: WorkerId, cores: float) -> None:
        """Change a worker's capacity, which its registration shows at once."""
        capacity = Resources(int(cores * CORE), HOST.memory_mib, 0)
        self.engines[worker].resize(capacity)
        entry = self.scheduler.ledger.workers[worker].entry
        changed = msgspec.structs.replace(entry, capacity=capacity)
        self.scheduler.worker_registered(changed, self.now_s)

    def start_again(self, worker: WorkerId) -> None:
        """Start the process of a worker that has crashed."""
        if self.rebirth is not Rebirth.SAME_ID:
            del self.engines[worker]
            if self.rebirth is Rebirth.SAME_ADDRESS:
                address = worker.partition("-")[0] + ".example"
                self.add_worker(f"{worker}-", address=address)
                self.scheduler.worker_gone(worker, self.now_s)
            elif self.rebirth is Rebirth.ELSEWHERE:
                self.add_worker(f"{worker}-")
            self.scheduler.worker_unregistered(worker)
            return
        former = self.engines[worker]
        born_ms = former.born_ms + 1
        self.engines[worker] = FleetWorkerEngine(
            self.clock, former.capacity, self.plan, born_ms=born_ms, gangs=self.gangs
        )
        self.unreachable.discard(worker)

    def plan(self, request: StartRequest) -> RunPlan:
        """Return the simulated course of a run."""
        task = request.task
        plan = self.plans[task.job](request)
        allows_copies = self.specs[task.job].steps[task.step].is_speculative
        return msgspec.structs.replace(plan, allows_copies=allows_copies)

    def submit(
        self,
        name: str,
        *steps: StepSpec,
        queue_name: QueueName = SLOW,
        seconds: float = 1.0,
        plan: Callable[[StartRequest], RunPlan] | None = None,
        work: WorkSpec | None = None,
        team: TeamName = TEAM,
        queue_settings: QueueSettings | None = None,
    ) -> JobId:
        """Store a job whose tasks take ``seconds`` each, and announce it."""
        record = self.store(
            name,
            *steps,
            queue_name=queue_name,
            seconds=seconds,
            plan=plan,
            work=work,
            team=team,
            queue_settings=queue_settings,
        )
        self.scheduler.accept(record, self.revisions[record.id])
        assert record.id in self.scheduler.ledger.jobs
        return record.id

    def store(
        self,
        name: str,
        *steps: StepSpec,
        queue_name: QueueName = SLOW,
        seconds: float = 1.0,
        plan: Callable[[StartRequest], RunPlan] | None = None,
        work: WorkSpec | None = None,
        team: TeamName = TEAM,
        holder_token: int | None = None,
        queue_settings: QueueSettings | None = None,
    ) -> JobRecord:
        """Store a job that the scheduler doesn't learn of yet.

        Without ``holder_token``, its member knows the current holder. Without
        ``queue_settings``, it is a member of a version that doesn't store them.
        """
        job = JobId(name)
        spec = work or WorkSpec(steps=steps)

        def healthy(request: StartRequest) -> RunPlan:
            step = spec.steps[request.task.step]
            gang = step.count if step.is_gang else 0
            return RunPlan(
                seconds, step.allocation, is_standing=step.is_standing, gang_size=gang
            )

        self.plans[job] = plan or healthy
        self.specs[job] = spec
        self.teams[job] = team
        token = Epoch(self.token if holder_token is None else holder_token)
        self.records[job] = JobRecord(
            job,
            queue_name,
            team,
            spec,
            self.clock.wall(),
            holder_token=token,
            queue_settings=queue_settings,
        )
        self.revisions[job] = len(self.revisions) + 1
        return self.records[job]

    def run_for(self, seconds: float) -> None:
        """Advance the clock in small steps and run the scheduler after each."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.step()

    def step(self) -> None:
        """Poll every worker, execute the scheduler's commands and store changes."""
        self.expire_leases()
        self.crash_and_restart_workers()
        self.poll_all()
        if self.can_look_up_jobs and self.is_store_available:
            self.answer_lookups()
        wall_s = self.clock.wall() + self.wall_offset_s
        if self.is_store_available:
            self.scheduler.authority_confirmed(self.now_s)
        commands = self.scheduler.decide(self.now_s, wall_s)
        self.check_obstacles(commands)
        for command in commands:
            self.execute(command)
        self.commit()

    def poll_all(self) -> None:
        """Poll every worker."""
        for worker in list(self.engines):
            self.poll(worker)

    def answer_lookups(self) -> None:
        """Answer the lookups of unknown jobs that are due."""
        for job in self.scheduler.take_lookups():
            self.look_up(job)

    def look_up(self, job: JobId) -> None:
        """Answer a lookup of an unknown job from the store."""
        record = self.records.get(job)
        if record is None:
            self.scheduler.job_absent(job, None, self.now_s)
            return
        progress = self.progress.get(job)
        decoded = None if progress is None else decode_progress(progress)
        self.scheduler.job_found(record, 1, decoded, 1)

    def expire_leases(self) -> None:
        """End the runs of workers whose leases have expired, polled or not."""
        for engine in self.engines.values():
            if engine.runs and engine.lease_until_s <= engine.now_s():
                engine.advance()

    def worker_token(self, worker: WorkerId) -> Epoch:
        """Return the token of calls that are sent to a worker now."""
        return worker_token(Epoch(self.token), self.poll_states[worker].restarts)

    def delay_poll(
        self, worker_id: WorkerId, acknowledges: bool = False
    ) -> Callable[[], None]:
        """Send a poll that is under way until the returned function is called.

        The process that the worker has then executes it. With ``acknowledges``, it is
        one that carried the number of the last acknowledged end.
        """
        worker = self.scheduler.ledger.workers[worker_id]
        token = self.worker_token(worker_id)
        poll_state = self.poll_states[worker_id]
        last_seen = poll_state.last_seen(worker.entry.born_ms)
        if acknowledges:
            last_seen = poll_state.acknowledged
        until_ms = self.scheduler.lease_until_ms(worker, self.now_s)

        def deliver() -> None:
            with contextlib.suppress(WorkerFencedError):
                self.engines[worker_id].poll(token, last_seen, until_ms)

        return deliver

    def deliver_starts(self) -> None:
        """Let the start requests arrive that are under way."""
        for worker, request, token, sent_s in self.starts_under_way:
            with contextlib.suppress(WorkerFencedError):
                self.engines[worker].start(request, token, sent_s)
        self.starts_under_way.clear()

    def poll(self, worker_id: WorkerId) -> None:
        """Poll a worker; the poll fails if it is unreachable."""
        worker = self.scheduler.ledger.workers.get(worker_id)
        if worker is None:
            return
        until_ms = self.scheduler.lease_until_ms(worker, self.now_s)
        if worker_id in self.unreachable:
            self.poll_failed(worker_id)
            return
        poll_state = self.poll_states[worker_id]
        last_seen = poll_state.last_seen(worker.entry.born_ms)
        poll_state.poll_sent(self.now_s)
        try:
            token = self.worker_token(worker_id)
            reply = self.engines[worker_id].poll(token, last_seen, until_ms)
        except WorkerFencedError:
            return
        poll_state.poll_succeeded()
        is_newest = token == self.worker_token(worker_id)
        if not poll_state.reply_received(reply.born_ms, is_newest, self.now_s):
            self.scheduler.worker_restarting(worker_id)
            return
        poll_state.ends_listed(min((end.number for end in reply.ends), default=0))
        self.scheduler.poll_answered(worker_id, reply, self.now_s)

    def poll_failed(self, worker_id: WorkerId) -> None:
        """Let a poll of a worker fail."""
        poll_state = self.poll_states[worker_id]
        poll_state.poll_sent(self.now_s)
        poll_state.poll_failed(self.now_s, is_refused=False)
        self.scheduler.worker_silent(worker_id, self.now_s)

    def check_obstacles(self, commands: list[Command]) -> None:
        """Check that each start may be sent at once; else it would be decided again."""
        for command in commands:
            if isinstance(command, StartRun):
                obstacle = self.scheduler.find_send_obstacle(command, self.now_s)
                assert obstacle is None, (command, obstacle)

    def execute(self, command: Command) -> None:
        """Execute a command; advice is answered immediately."""
        if isinstance(command, StartRun):
            self.starts.append((self.now_s, command.request.task, command.worker))
            token = self.worker_token(command.worker)
            self.send_start(command, token, self.scheduler)
        elif isinstance(command, StopRun):
            self.stops.append((self.now_s, command.task, command.reason.value))
            self.send_stop(command, self.worker_token(command.worker))
        elif isinstance(command, AskAdvice):
            self.advice_requests.append(command)
            tickets = {each: "t" for each in command.workers if self.allowed(each)}
            self.scheduler.advice_answered(
                command.step, Advice(tickets, 2.5), self.now_s, self.now_s
            )

    def send_stop(self, command: StopRun, token: Epoch) -> None:
        """Send a stop request."""
        if command.worker not in self.unreachable:
            engine = self.engines[command.worker]
            engine.stop(command.task, command.run, token)

    def send_start(self, command: StartRun, token: Epoch, scheduler: Scheduler) -> None:
        """Send a start request of a scheduler, whose reply may be lost."""
        worker, request = command.worker, command.request
        if worker in self.unreachable | self.delayed_starts:
            if worker in self.delayed_starts:
                sent_s = self.clock.wall()
                self.starts_under_way.append(
                    StartUnderWay(worker, request, token, sent_s)
                )
            scheduler.start_unanswered(worker, request.task, request.run, True)
            return
        outcome, _ = self.engines[worker].start(request, token)
        if outcome is StartOutcome.STARTED:
            self.check_maximum(request.task)
        if worker in self.lost_start_replies:
            scheduler.start_unanswered(worker, request.task, request.run, True)
        else:
            scheduler.start_answered(
                worker, request.task, request.run, outcome, self.now_s
            )

    def check_maximum(self, started: TaskRef) -> None:
        """Record a start that brought its team above its maximum."""
        team_name = self.teams[started.job]
        used = self.team_usage(team_name)
        for team in self.configuration.teams:
            maximum = team.maximum
            if team.name != team_name or maximum == NO_RESOURCES:
                continue
            if not used.fits_in(
                Resources(
                    maximum.cpu_millis or used.cpu_millis,
                    maximum.memory_mib or used.memory_mib,
                    maximum.accelerators or used.accelerators,
                )
            ):
                self.starts_beyond_maximum.append(
                    f"{started} brought {team_name} to {used} of {maximum}"
                )

    def team_usage(self, team: TeamName) -> Resources:
        """Return what the runs of a team use on all workers, known or not."""
        used = NO_RESOURCES
        for engine in self.engines.values():
            engine.advance()
            for task in engine.runs:
                if self.teams[task.job] == team:
                    used = used + self.specs[task.job].steps[task.step].resources
        return used

    def starts_beyond_attempts(self, attempts: int) -> list[str]:
        """Return the starts after a task, or its gang, had failed often enough."""
        return find_starts_beyond_attempts(self.spans(), attempts)

    def commit(self) -> None:
        """Store the scheduler's changes, unless the store is unavailable."""
        if not self.is_store_available:
            return
        changes = self.take_changes()
        self.store_changes(changes)
        self.confirm_changes(changes)
        self.record_workers()

    def take_changes(self) -> Changes:
        """Return the scheduler's changes to store now."""
        return self.scheduler.changes.take_batch(100, self.clock.wall())

    def store_changes(self, changes: Changes) -> None:
        """Write changes to the store."""
        for write in changes.progress:
            self.progress[write.job] = write.value
        for ending in changes.endings:
            self.records.pop(ending.job, None)
            self.progress.pop(ending.job, None)
            self.ended[ending.job] = ending.ended
            if ending.ended.state is JobState.COMPLETED:
                self.completed_s.setdefault(ending.job, self.clock.wall())

    def confirm_changes(self, changes: Changes) -> None:
        """Tell the scheduler that changes are stored."""
        acknowledged = self.scheduler.changes.commit_succeeded(changes, {}, self.now_s)
        for worker, (born_ms, number) in acknowledged.items():
            self.poll_states[worker].ends_stored(born_ms, number)

    def record_workers(self) -> None:
        """Store which workers a successor has to poll."""
        entries = self.scheduler.changes.workers_to_record()
        if entries is not None:
            self.workers_record = entries
            self.scheduler.changes.workers_recorded(entries)

    def take_over(self, quarantine_s: float = 4.3) -> None:
        """Replace the scheduler by a successor with the next token.

        The successor starts from the stored state and polls the workers, whose unknown
        runs end within ``quarantine_s``.
        """
        former = self.scheduler
        self.scheduler = self.new_scheduler()
        recorded = {entry.worker for entry in self.workers_record}
        for worker in former.ledger.workers.values():
            until_s = self.now_s + quarantine_s if worker.id in recorded else 0.0
            self.scheduler.worker_registered(worker.entry, self.now_s, until_s)
            if not worker.is_registered:
                self.scheduler.worker_unregistered(worker.id)
            self.poll_states[worker.id] = WorkerPollState()
        for entry in self.workers_record:
            self.scheduler.worker_recorded(entry, self.now_s)
        self.scheduler.jobs_read(len(self.revisions))
        for job, record in self.records.items():
            revision = self.revisions[job]
            self.scheduler.accept(record, revision, predates_takeover=True)
        for job, value in self.progress.items():
            self.scheduler.restore(job, decode_progress(value), 1)

    def state(self, job: JobId) -> JobState | None:
        """Return a job's state as published to callers."""
        return self.scheduler.state_of(job)

    def running(self, job: JobId) -> list[TaskRef]:
        """Return the tasks of a job that are running on workers."""
        return [
            task
            for engine in self.engines.values()
            for task in engine.runs
            if task.job == job
        ]

    def all_engines(self) -> list[FleetWorkerEngine]:
        """Return each worker process that there has been, also one that is down."""
        engines = [*self.engines.values(), *self.crashed_engines]
        return list(dict.fromkeys(engines))

    def spans(self) -> list[RunSpan]:
        """Return the spans of all runs so far, those in progress included."""
        engines = self.all_engines()
        for engine in engines:
            engine.advance()
        return [span for each in engines for span in each.spans + each.open_spans()]

    def violations(self) -> list[str]:
        """Return the violated guarantees that the workers observed."""
        spans = self.spans()
        return [
            *(found for each in self.all_engines() for found in each.violations),
            *find_duplicate_runs(spans),
            *find_starts_after_end(spans, self.completed_s),
            *self.starts_beyond_maximum,
        ]
