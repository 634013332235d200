"""Stateful property test of the scheduler."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from gooseberrydeck_coordination.ids import (
    DataCentre,
    HostName,
    JobId,
    QueueName,
    Rack,
    TaskId,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling import (
    AdoptedTask,
    EndKind,
    JobRecord,
    JobRefusedError,
    JobSpec,
    OrderPolicy,
    QueueRules,
    Scheduler,
    Start,
    TaskEnd,
    WorkerInfo,
    decode_record,
    encode_record,
    new_record,
)

TEAMS = tuple(TeamName(name) for name in ("press", "radio"))
SLICES = dict(zip(TEAMS, (5, 3), strict=True))
QUEUES = tuple(
    QueueRules(QueueName(policy.value), policy, max_attempts=2)
    for policy in OrderPolicy
)
HOSTS = tuple(HostName(f"host-{number}") for number in range(4))
CAPACITY = Resources(4_000, 4_096, 1)
ATTEMPTS_PER_EPOCH = 1_000

sizes = st.builds(
    Resources,
    st.sampled_from((500, 1_000, 3_000, 5_000)),
    st.sampled_from((256, 2_048, 4_096)),
    st.sampled_from((0, 0, 1)),
)


def worker_info(host: HostName) -> WorkerInfo:
    """Return a worker on the host, with two hosts in each rack."""
    rack = Rack(f"rack-{HOSTS.index(host) // 2}")
    return WorkerInfo(host, CAPACITY, rack, DataCentre("lima-1"))


class SchedulerMachine(RuleBasedStateMachine):
    """Simulate a shard with changing owners, workers and jobs.

    ``running`` is what is actually running on each worker. An unreachable worker keeps
    running its tasks, and reports them when it is adopted again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0
        self.epoch = 0
        self.jobs: dict[JobId, JobRecord] = {}
        self.running: dict[HostName, dict[TaskId, Start]] = {}
        self.unreachable: set[HostName] = set()
        self.started: set[TaskId] = set()
        self.scheduler = self.make_scheduler()

    def make_scheduler(self) -> Scheduler:
        scheduler = Scheduler(QUEUES, first_attempt=self.epoch * ATTEMPTS_PER_EPOCH)
        scheduler.set_slices(SLICES)
        scheduler.set_team_limits(SLICES)
        return scheduler

    def adopt(self, host: HostName) -> None:
        held = [
            AdoptedTask(start.task, start.team, start.resources)
            for start in self.running[host].values()
        ]
        self.scheduler.worker_added(worker_info(host), self.now_s, held)

    @rule(host=st.sampled_from(HOSTS))
    def add_worker(self, host: HostName) -> None:
        if host not in self.running:
            self.running[host] = {}
            self.adopt(host)

    @rule(
        team=st.sampled_from(TEAMS),
        queue=st.sampled_from(QUEUES),
        tasks=st.integers(1, 4),
        resources=sizes,
        is_gang=st.booleans(),
        is_standing=st.booleans(),
        priority=st.integers(0, 2),
    )
    def submit(
        self,
        team: TeamName,
        queue: QueueRules,
        tasks: int,
        resources: Resources,
        is_gang: bool,
        is_standing: bool,
        priority: int,
    ) -> None:
        spec = JobSpec(
            JobId(f"job-{len(self.jobs)}"),
            team,
            queue.name,
            tasks,
            resources,
            is_gang,
            is_standing and not is_gang,
            priority=priority,
        )
        record = new_record(spec, self.now_s)
        try:
            self.scheduler.submit(record, self.now_s)
        except JobRefusedError:
            return
        self.jobs[spec.id] = record

    @rule(seconds=st.sampled_from((0.1, 1.0, 5.0, 200.0)))
    def tick(self, seconds: float) -> None:
        self.now_s += seconds
        before = self.running_by_job()
        starts: Counter[JobId] = Counter()
        for decision in self.scheduler.tick(self.now_s):
            if isinstance(decision, Start):
                self.record_start(decision)
                starts[decision.job] += 1
        for job, count in starts.items():
            self.check_gang(job, before[job], count)

    def record_start(self, start: Start) -> None:
        assert start.task not in self.started, "a task id was started twice"
        assert start.host not in self.unreachable
        self.started.add(start.task)
        self.running[start.host][start.task] = start

    def check_gang(self, job: JobId, before: int, count: int) -> None:
        record = self.jobs[job]
        if not record.spec.is_gang:
            return
        assert before == 0, "a gang was started in parts"
        assert count == sum(not task.state.is_final for task in record.tasks)

    def running_by_job(self) -> Counter[JobId]:
        return Counter(
            start.job for tasks in self.running.values() for start in tasks.values()
        )

    def reachable_tasks(self) -> list[Start]:
        return [
            start
            for host, tasks in self.running.items()
            if host not in self.unreachable
            for start in tasks.values()
        ]

    @precondition(lambda self: self.reachable_tasks())
    @rule(data=st.data(), kind=st.sampled_from(EndKind))
    def end_task(self, data: st.DataObject, kind: EndKind) -> None:
        start = data.draw(st.sampled_from(self.reachable_tasks()))
        del self.running[start.host][start.task]
        self.scheduler.task_ended(TaskEnd(start.task, kind, 1.0), self.now_s)

    @precondition(lambda self: self.reachable_tasks())
    @rule(data=st.data(), is_broken=st.booleans())
    def refuse_start(self, data: st.DataObject, is_broken: bool) -> None:
        start = data.draw(st.sampled_from(self.reachable_tasks()))
        del self.running[start.host][start.task]
        self.scheduler.start_refused(start.task, is_broken, self.now_s)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job = data.draw(st.sampled_from(sorted(self.jobs)))
        self.scheduler.cancel([job], self.now_s)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def lose_contact(self, data: st.DataObject) -> None:
        host = data.draw(st.sampled_from(sorted(self.running)))
        if host not in self.unreachable:
            self.scheduler.worker_quarantined(host)
            self.unreachable.add(host)

    @precondition(lambda self: self.unreachable)
    @rule(data=st.data(), is_gone=st.booleans())
    def end_quarantine(self, data: st.DataObject, is_gone: bool) -> None:
        host = data.draw(st.sampled_from(sorted(self.unreachable)))
        self.unreachable.discard(host)
        if not is_gone:
            self.adopt(host)
            return
        del self.running[host]
        if host in self.scheduler.state.cell.workers:
            self.scheduler.worker_removed(host, self.now_s)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def drain_worker(self, data: st.DataObject) -> None:
        host = data.draw(st.sampled_from(sorted(self.running)))
        if host not in self.unreachable:
            self.scheduler.worker_leaving(host, self.now_s)

    @rule(is_fleet_reachable=st.booleans())
    def take_over(self, is_fleet_reachable: bool) -> None:
        """Recover the records and adopt the reachable workers as a new owner."""
        self.epoch += 1
        self.scheduler = self.make_scheduler()
        for job, record in self.jobs.items():
            if record.state.is_final:
                continue
            self.jobs[job] = decode_record(encode_record(record))
            self.scheduler.recover(self.jobs[job], self.now_s)
        if is_fleet_reachable:
            self.unreachable.clear()
        for host in self.running:
            if host not in self.unreachable:
                self.adopt(host)

    @rule()
    def end_leases(self) -> None:
        """Expire the task leases of unreachable workers, which ends their tasks."""
        for host in self.unreachable:
            self.running[host].clear()
            if host in self.scheduler.state.cell.workers:
                self.scheduler.worker_removed(host, self.now_s)
        self.running = {
            host: tasks
            for host, tasks in self.running.items()
            if host not in self.unreachable
        }
        self.unreachable.clear()
        self.scheduler.resolve_unconfirmed(self.now_s)

    @invariant()
    def no_worker_is_over_capacity(self) -> None:
        for tasks in self.running.values():
            used = sum((start.resources for start in tasks.values()), Resources())
            assert used.fits_in(CAPACITY)

    @invariant()
    def no_team_is_over_its_slice(self) -> None:
        teams = Counter(
            start.team for tasks in self.running.values() for start in tasks.values()
        )
        for team, count in teams.items():
            assert count <= SLICES[team]

    @invariant()
    def no_task_runs_in_two_places(self) -> None:
        places = Counter(
            start.task.rsplit("/", 1)[0]
            for tasks in self.running.values()
            for start in tasks.values()
        )
        assert all(count == 1 for count in places.values())

    @invariant()
    def nothing_accepted_is_lost(self) -> None:
        known = self.scheduler.state.jobs
        for job, record in self.jobs.items():
            assert record.state.is_final or job in known

    def teardown(self) -> None:
        """Check that every job ends once all workers are back and tasks succeed."""
        self.end_leases()
        for host in HOSTS:
            self.running.setdefault(host, {})
            self.adopt(host)
        for job, record in self.jobs.items():
            if record.spec.is_standing:
                self.scheduler.cancel([job], self.now_s)
        for _ in range(60):
            self.tick(20.0)
            for start in self.reachable_tasks():
                del self.running[start.host][start.task]
                end = TaskEnd(start.task, EndKind.SUCCEEDED, 1.0)
                self.scheduler.task_ended(end, self.now_s)
            if all(record.state.is_final for record in self.jobs.values()):
                return
        raise AssertionError("a job did not end")


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)
