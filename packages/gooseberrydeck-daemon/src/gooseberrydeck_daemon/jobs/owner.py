"""Run the jobs of one shard on behalf of its owner."""

from collections import Counter
from collections.abc import Callable, Iterable

from gooseberrydeck_coordination.adoption import AdoptionState
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import HostName, JobId, TeamName
from gooseberrydeck_coordination.ownership import OwnedShard
from gooseberrydeck_daemon.jobs.calls import Runner, WorkerCalls
from gooseberrydeck_daemon.jobs.links import WorkerLink
from gooseberrydeck_daemon.jobs.record_table import JobWriteResult, RecordTable
from gooseberrydeck_daemon.jobs.units import ShardUnits
from gooseberrydeck_platform.workers import TaskStart
from gooseberrydeck_scheduling import (
    Decision,
    End,
    JobRecord,
    JobRefusedError,
    JobState,
    Preempt,
    Refuse,
    Scheduler,
    Start,
    Stop,
    task_index,
)

__all__ = ["ATTEMPTS_PER_EPOCH", "ShardJobs"]


ATTEMPTS_PER_EPOCH = 1_000_000
JOB_RETENTION_S = 3_600.0
"""How long the record of an ended job is kept."""

CLEANUP_INTERVAL_S = 10.0


class ShardJobs:
    """Schedule and supervise the jobs of one owned shard. Not thread-safe.

    Task starts are not written to the store: after a takeover, the new owner learns the
    running tasks from the workers. An ended task is acknowledged to its worker only
    once its end is stored. Until every worker has been adopted or can no longer run
    tasks, tasks that may still be running there are not started elsewhere.
    """

    def __init__(
        self,
        owned: OwnedShard,
        scheduler: Scheduler,
        record_table: RecordTable,
        runner: Runner,
        clock: Clock,
        lease_s: float,
        hosts: Callable[[], Iterable[HostName]],
        units: ShardUnits,
    ) -> None:
        """Create the state of a shard without records or workers.

        ``scheduler`` must be new. ``hosts`` returns all hosts of the shard, including
        those without a link yet.
        """
        self.owned = owned
        self.scheduler = scheduler
        self.record_table = record_table
        self.clock = clock
        self.lease_s = lease_s
        self.calls = WorkerCalls(
            scheduler, record_table, runner, clock, lease_s, self.now_s
        )
        self.hosts = hosts
        self.units = units
        self.wall_offset_s = clock.wall() - clock.monotonic()
        self.links = self.calls.links
        self.last_cleanup_s = clock.monotonic()
        self.is_loaded = False
        # When the newest read of the shard's records began, in monotonic seconds.
        self.read_s = float("-inf")
        self.early_records: list[JobRecord] = []
        """Jobs bound to the shard before its records were loaded."""
        self.is_superseded = False

    def now_s(self) -> float:
        """Return the wall-clock time in seconds, unaffected by later clock adjustments.

        It is the monotonic clock plus the offset measured when the shard was taken
        over.
        """
        return self.wall_offset_s + self.clock.monotonic()

    def load(self, records: Iterable[JobRecord]) -> None:
        """Add the records stored at the takeover; their tasks may be running."""
        now_s = self.now_s()
        for record in records:
            if self.record_table.add(record) and not record.state.is_final:
                self.scheduler.recover(record, now_s)
        self.is_loaded = True
        for record in self.early_records:
            self.accept(record)
        self.early_records.clear()

    def accept(self, record: JobRecord) -> None:
        """Add a job that was bound to the shard after the takeover.

        Jobs that arrive before the stored records are loaded are kept until then. A job
        that the scheduler refuses is recorded as refused.
        """
        if not self.is_loaded:
            self.early_records.append(record)
            return
        if not self.record_table.add(record):
            return
        if record.state.is_final:
            return
        try:
            self.scheduler.submit(record, self.now_s())
        except JobRefusedError as error:
            record.state = JobState.REFUSED
            record.reason = error.detail
            record.ended_s = self.now_s()
            self.record_table.mark_changed(record.spec.id)

    def cancel(self, jobs: Iterable[JobId]) -> int:
        """Cancel jobs and return how many were active.

        The cancellation is recorded immediately, before the running tasks have stopped.
        """
        known = [job for job in jobs if job in self.scheduler.state.jobs]
        count = self.scheduler.cancel(known, self.now_s())
        for job in known:
            self.record_table.mark_changed(job)
        return count

    def add_worker(self, link: WorkerLink) -> None:
        """Register a worker of the shard, to be adopted in the next step."""
        self.links.setdefault(link.host, link)

    def update(self, owned: OwnedShard) -> None:
        """Apply a newer view of the shard, including its workers' quarantine."""
        self.owned = owned
        for link in self.links.values():
            link.adoption.quarantine = owned.quarantine

    def step(self) -> None:
        """Adopt workers, renew leases, apply scheduling decisions and write records."""
        if self.is_superseded or not self.is_loaded:
            return
        now_s = self.now_s()
        self.remove_expired_workers(now_s)
        self.resolve_unconfirmed(now_s)
        slices = self.scheduler.state.slices
        slices.set_units(self.units.allowances())
        for decision in self.scheduler.tick(now_s):
            self.apply_decision(decision)
        self.units.reconcile(slices.running, slices.unconfirmed)
        for link in self.links.values():
            if not link.is_busy:
                self.calls.call_next(link)
        self.record_table.flush(self.clock.monotonic())
        if self.clock.monotonic() - self.last_cleanup_s >= CLEANUP_INTERVAL_S:
            self.last_cleanup_s = self.clock.monotonic()
            self.record_table.delete_ended_before(now_s - JOB_RETENTION_S)
        self.is_superseded = self.record_table.is_superseded

    def report_demand(self) -> None:
        """Report how many tasks of each team are pending beyond its slice."""
        state = self.scheduler.state
        waiting: Counter[TeamName] = Counter()
        for job in state.jobs.values():
            waiting[job.spec.team] += len(job.pending)
        lacking = {
            team: tasks - state.slices.remaining(team)
            for team, tasks in waiting.items()
        }
        self.units.record_demand(
            {team: tasks for team, tasks in lacking.items() if tasks > 0}
        )

    def remove_expired_workers(self, now_s: float) -> None:
        """Remove the workers on which no task can be running any more.

        The scheduler treats their tasks as lost.
        """
        cell = self.scheduler.state.cell
        for link in self.links.values():
            if link.host in cell.workers and link.adoption.may_replace_tasks:
                changed = {
                    running.job for running in cell.workers[link.host].tasks.values()
                }
                self.calls.discard_unsent(link)
                self.scheduler.worker_removed(link.host, now_s)
                for job in changed & self.record_table.records.keys():
                    self.record_table.mark_changed(job)

    def resolve_unconfirmed(self, now_s: float) -> None:
        """Release unconfirmed tasks once no unreached worker can be running them."""
        if not self.all_hosts_linked():
            return
        adoptions = [link.adoption for link in self.links.values()]
        if all(
            adoption.state is AdoptionState.ADOPTED or adoption.may_replace_tasks
            for adoption in adoptions
        ):
            is_exact = all(
                adoption.state is AdoptionState.ADOPTED for adoption in adoptions
            )
            had_owner = self.owned.quarantine.has_predecessor
            self.scheduler.resolve_unconfirmed(now_s, had_owner and not is_exact)

    def all_workers_adopted(self) -> bool:
        """Return True if the records are loaded and every worker is adopted."""
        return (
            self.is_loaded
            and self.all_hosts_linked()
            and all(
                link.adoption.state is AdoptionState.ADOPTED
                for link in self.links.values()
            )
        )

    def all_hosts_linked(self) -> bool:
        """Return True if no unlinked host of the shard can be running tasks.

        This also holds once all task leases granted by the predecessor have expired.
        """
        if self.clock.monotonic() >= self.owned.quarantine.leases_expired_s:
            return True
        return all(host in self.links for host in self.hosts())

    def apply_decision(self, decision: Decision) -> None:
        """Queue the command for a worker, or mark the job's record as changed."""
        match decision:
            case Start():
                self.start(decision)
            case Stop():
                self.links[decision.host].stops.append(decision.task)
            case Preempt():
                self.links[decision.host].checkpoints.append(decision.task)
            case End() | Refuse():
                self.record_table.mark_changed(decision.job)

    def start(self, start: Start) -> None:
        """Queue the start of a task, or requeue it if a request has taken its unit."""
        if self.units.admit(start.team):
            self.links[start.host].starts.append(self.build_task_start(start))
        else:
            self.calls.requeue_task(start.task, is_broken=False)

    def build_task_start(self, start: Start) -> TaskStart:
        """Return the start command of a task."""
        record = self.record_table.records[start.job]
        task = record.tasks[task_index(start.task)]
        return TaskStart(
            start.task,
            start.team,
            start.resources,
            self.lease_s,
            record.spec.payload,
            task.checkpoint,
        )

    def handle_write_result(self, result: JobWriteResult) -> None:
        """Apply the result of a write and acknowledge the recorded task ends."""
        if result.is_deletion:
            self.record_table.record_delete_result(result)
            return
        for host, task in self.record_table.record_write_result(
            result, self.clock.monotonic()
        ):
            self.calls.acknowledge(host, task)
