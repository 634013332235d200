"""The scheduler's model of jobs, steps, tasks, runs and workers."""

from collections.abc import Set
from enum import Enum

from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.advice import AdviceCache
from gooseberrydeck_fleet.configuration import UNSERVED, Queue
from gooseberrydeck_fleet.crash_records import CrashRecord
from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.expectations import Expectation
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.losses import LostRun
from gooseberrydeck_fleet.progress import Progress, StepProgress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.speeds import StepDurations
from gooseberrydeck_fleet.work import JobRecord, JobState, StepSpec

__all__ = [
    "LATE_CALL_S",
    "MAX_TASK_LEASE_S",
    "Job",
    "Run",
    "RunState",
    "Step",
    "StopReason",
    "Task",
    "Worker",
    "WorkerObstacle",
]

CLOCK_DRIFT = 0.02
"""How much slower than real time a worker's clock may run, as the platform promises."""


MIN_WORK_SHARE = 0.7
"""Share of its estimated work that a job needs at least.

Callers' estimates are off by up to half.
"""

LEARNED_WORK_SHARE = 0.9
"""The same, of learned durations: half of the tasks take at least this long."""

MAX_TASK_LEASE_S = 4.2
"""Longest lease of a task.

A long-running task must run again within 6 s after its worker becomes unreachable. The
lease with its clock drift, the advice requests and the new start have to fit in.
"""


LATE_CALL_S = 12.0
"""Time after which a call without a response is not executed any more.

The platform speaks of seconds.
"""


class RunState(Enum):
    """The scheduler's knowledge of a run.

    The start of an uncertain run was not answered: it may have started or may start
    later. A stopping run is one whose end the worker has not reported yet.
    """

    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


class StopReason(Enum):
    """Why a run is stopped."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    GANG_FAILED = "gang_failed"
    DRAINING = "draining"
    STALLED = "stalled"
    SURPLUS = "surplus"


class WorkerObstacle(Enum):
    """Why a worker accepts no new runs."""

    NOT_REPORTED = "worker_not_reported"
    NOT_RECORDED = "worker_not_recorded"
    HAS_ORPHANED_RUNS = "worker_has_orphaned_runs"
    UNREACHABLE = "worker_unreachable"
    UNREGISTERED = "worker_unregistered"
    ENTRY_UNREADABLE = "worker_entry_unreadable"
    RESTARTING = "worker_restarting"
    DRAINING = "worker_draining"
    EVACUATED = "worker_evacuated"
    CAPACITY_OUTDATED = "worker_capacity_outdated"


class Run:
    """One attempt to run a task on a worker.

    A run keeps its allocation until its worker reports its end or it counts as lost.
    ``allocation`` is what it takes of the worker's capacity, ``quota_usage`` what it
    counts against its team's limit.
    """

    __slots__ = (
        "allocation",
        "checkpoint",
        "expectation",
        "first_progress",
        "first_progress_s",
        "has_unanswered_start",
        "load",
        "number",
        "progress",
        "progress_changed_s",
        "quota_usage",
        "skip_duration_sample",
        "speed_percent",
        "speed_set_s",
        "start_until_ms",
        "started_s",
        "state",
        "stop_reason",
        "stop_sent_s",
        "task",
        "team",
        "was_partial_at_start",
        "worker",
    )

    def __init__(
        self,
        task: "Task",
        number: int,
        worker: "Worker",
        team: TeamName,
        allocation: Resources,
        quota_usage: Resources,
        now_s: float,
    ) -> None:
        """Create a run whose start request is being sent."""
        self.task = task
        self.number = number
        self.worker = worker
        self.team = team
        self.allocation = allocation
        self.quota_usage = quota_usage
        self.state = RunState.STARTING
        # A request to start it had no response, and may be executed late.
        self.has_unanswered_start = False
        self.started_s = now_s
        self.start_until_ms = 0
        self.progress = 0.0
        self.progress_changed_s = now_s
        # From where its pace is measured; None until the first report of a run that
        # resumes, or that a predecessor started.
        self.first_progress: float | None = None if task.checkpoint else 0.0
        self.first_progress_s = now_s
        self.load = 0.0
        self.speed_percent = 100
        # When its worker was last told the speed, if ever.
        self.speed_set_s: float | None = None
        self.checkpoint: str = ""
        self.stop_reason: StopReason | None = None
        self.stop_sent_s = 0.0
        # A run that resumes from a checkpoint doesn't show the duration of the whole
        # task, and one that begins on a cold worker is slower than later ones there.
        self.skip_duration_sample = bool(task.checkpoint) or worker.is_cold(now_s)
        # The same at the start: later, the run may have served as a sample already.
        self.was_partial_at_start = self.skip_duration_sample
        # What was expected of its duration, if it was started here.
        self.expectation: Expectation | None = None

    def report_progress(self, progress: float, now_s: float) -> None:
        """Apply new progress in percent, as of monotonic time ``now_s``."""
        if self.first_progress is None:
            self.first_progress, self.first_progress_s = progress, now_s
        self.progress = progress
        self.progress_changed_s = now_s

    @property
    def measured_percent(self) -> float:
        """The progress since which the pace is measured, in percent."""
        return (
            0.0 if self.first_progress is None else self.progress - self.first_progress
        )

    @property
    def seconds_per_percent(self) -> float | None:
        """The pace so far, or None if no progress shows it yet."""
        percent = self.measured_percent
        if percent <= 0:
            return None
        return (self.progress_changed_s - self.first_progress_s) / percent


class Task:
    """One task of a step; only speculative tasks may have several runs at once."""

    __slots__ = (
        "checkpoint",
        "crashes",
        "failed_on",
        "failures",
        "failures_by_runs",
        "is_done",
        "is_safe_to_start",
        "lost_run",
        "ref",
        "runs",
        "stalls",
        "step",
    )

    def __init__(self, step: "Step", index: int) -> None:
        """Create a task without runs."""
        self.step = step
        self.ref = TaskRef(step.ref.job, step.ref.occurrence, step.ref.step, index)
        self.runs: list[Run] = []
        self.is_done = False
        # True once no predecessor can have an unknown run of it, until unknown failures
        # may have used up its attempts.
        self.is_safe_to_start = False
        self.failures: set[int] = set()
        # How often it has failed at least, by the numbers of its runs.
        self.failures_by_runs = 0
        self.failed_on: dict[WorkerId, float] = {}
        # Runs that were, or may have been, lost with a crashed worker, by number.
        self.crashes: dict[int, CrashRecord] = {}
        # The last run that may have been on a worker, if its end was never listed.
        self.lost_run: LostRun | None = None
        self.checkpoint: str = ""
        # How many of its runs were stopped since they showed no new progress.
        self.stalls = 0

    @property
    def is_waiting(self) -> bool:
        """Return True if the task is not done and has no runs."""
        return not self.is_done and not self.runs

    @property
    def counting_task(self) -> "Task":
        """The task that counts the failures: all members of a gang share them."""
        return self.step.tasks[0] if self.step.spec.is_gang else self

    def record_failures(self, count: int) -> None:
        """Record how often the task has failed at least."""
        task = self.counting_task
        task.failures_by_runs = max(task.failures_by_runs, count)

    def count_failures(self) -> int:
        """Return how often the task has failed, also if not all ends are known."""
        task = self.counting_task
        return max(len(task.failures), task.failures_by_runs)


class Step:
    """One occurrence of a step of a job."""

    __slots__ = (
        "advice",
        "allocation",
        "dependencies_met",
        "durations",
        "is_open",
        "is_safe_to_start",
        "is_wait_reported",
        "job",
        "ready_s",
        "ref",
        "remaining_tasks",
        "spec",
        "speed_preference",
        "tasks",
        "tried_in_pass",
        "waits_since_s",
    )

    def __init__(self, job: "Job", occurrence: int, number: int) -> None:
        """Create a step with all its tasks waiting."""
        self.job = job
        self.spec: StepSpec = job.record.work.steps[number]
        self.allocation = self.spec.allocation
        self.ref = StepRef(job.id, occurrence, number)
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        self.remaining_tasks = self.spec.count
        self.advice = AdviceCache()
        self.is_open = False
        # How many of the steps that it waits for are known to be done, in their order.
        self.dependencies_met = 0
        # True once a dependency has ended that no predecessor can have seen end.
        self.is_safe_to_start = False
        self.ready_s: float | None = None
        self.durations = StepDurations()
        self.tried_in_pass = 0
        # When it last began to have tasks to start, and whether that was reported.
        self.waits_since_s: float | None = None
        self.is_wait_reported = False
        # How much it prefers fast workers, compared with others of its queue.
        self.speed_preference = 1.0

    @property
    def is_done(self) -> bool:
        """Return True if every task has succeeded."""
        return self.remaining_tasks == 0


class Job:
    """An accepted job whose end is not stored yet."""

    __slots__ = (
        "crashes_counted",
        "crashes_stored",
        "critical_paths_of",
        "critical_paths_s",
        "due_s",
        "durations",
        "estimated_s",
        "expected_generation",
        "expected_s",
        "failure",
        "has_learned",
        "id",
        "is_within_share",
        "late_starts",
        "may_have_unknown_runs",
        "next_occurrence",
        "open_steps",
        "predates_takeover",
        "progress_revision",
        "queue",
        "record",
        "returned_s",
        "revision",
        "runs",
        "state",
        "steps",
    )

    def __init__(
        self,
        record: JobRecord,
        queue: Queue,
        revision: int,
        durations: DurationLearner | None = None,
    ) -> None:
        """Create a queued job without open occurrences.

        Without ``durations``, its estimates are all that is known of its work.
        """
        self.id: JobId = record.id
        self.record = record
        self.queue = queue
        self.revision = revision
        self.state = JobState.QUEUED
        self.steps: dict[StepRef, Step] = {}
        self.open_steps: dict[StepRef, Step] = {}
        self.runs: dict[tuple[TaskRef, int], Run] = {}
        self.next_occurrence = 0
        self.progress_revision = 0
        self.may_have_unknown_runs = False
        # The tasks of all jobs that silent workers may start late for a predecessor.
        self.late_starts: Set[TaskRef] = frozenset()
        # True if a predecessor may have started the job: it was stored before this
        # scheduler took over, or workers reported it first.
        self.predates_takeover = False
        self.is_within_share = True
        # When a job beyond its team's share came to be within it, in Unix time.
        self.returned_s = 0.0
        # Crashes that its tasks were blamed for, and how many of them are stored.
        self.crashes_counted = 0
        self.crashes_stored = 0
        # Why the job has failed, if not by the failures of a task.
        self.failure = ""
        self.due_s = 0.0
        self.durations = durations or DurationLearner()
        # The durations of a task of each step, as estimated by the caller and as
        # expected, and when the latter were looked up.
        self.estimated_s = [step.estimate_s for step in record.work.steps]
        self.expected_s = self.estimated_s
        self.has_learned = False
        # The critical path from each step on, and the durations that it is of.
        self.critical_paths_s: list[float] = []
        self.critical_paths_of: list[float] | None = None
        self.expected_generation = -1
        if not self.refresh_expected():
            self.compute_due()

    @property
    def has_unconfigured_queue(self) -> bool:
        """Return True if the settings of the job's queue are not known yet."""
        return self.queue.service == UNSERVED

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run, at least once."""
        return max(1, self.record.work.occurrences)

    @property
    def is_periodic(self) -> bool:
        """Return True if the job's occurrences start at given times."""
        return self.record.work.occurrences > 0

    def refresh_expected(self) -> bool:
        """Look up the expected durations again if they may have changed.

        Returns True if the job has been given new ones, and a new due time with them.
        """
        durations = self.durations
        if not durations.is_learning:
            return False
        if durations.generation == self.expected_generation:
            return False
        self.expected_generation = durations.generation
        record = self.record
        expected_s = durations.expected_steps(
            record.queue, record.team, record.work.steps
        )
        self.has_learned = expected_s is not None
        self.expected_s = expected_s or self.estimated_s
        self.compute_due()
        return True

    def step_durations_s(self, use_learned: bool) -> list[float]:
        """Return the durations of a task of each step: as learned, or as estimated."""
        return self.expected_s if use_learned else self.estimated_s

    def allowance_s(self) -> float:
        """Return the longest duration of one occurrence that is still on time."""
        longest: list[float] = []
        seconds = self.step_durations_s(self.durations.uses.due_time)
        for number, step in enumerate(self.record.work.steps):
            before = max((longest[earlier] for earlier in step.after), default=0.0)
            longest.append(before + seconds[number])
        return self.queue.stretch * max(longest, default=0.0) + self.queue.slack_s

    def will_be_late(self, step: Step, wall_s: float) -> bool:
        """Return True if the job can't finish on time even if a step starts now.

        Estimates are rough, so a job counts as late only if ``MIN_WORK_SHARE`` of its
        remaining estimate already takes too long, or ``LEARNED_WORK_SHARE`` of what was
        learned of it. Long-running steps are never late.
        """
        late_from_s = self.late_from_s(step)
        return late_from_s is not None and wall_s > late_from_s

    def late_from_s(self, step: Step) -> float | None:
        """Return the Unix time after which the job is late if a step hasn't started.

        Returns None for long-running steps.
        """
        if step.spec.is_standing:
            return None
        is_learned = self.has_learned and self.durations.uses.lateness
        share = LEARNED_WORK_SHARE if is_learned else MIN_WORK_SHARE
        return self.due_s - share * self.critical_path_s(step)

    def critical_path_s(self, step: Step) -> float:
        """Return the expected duration of the critical path from a step on."""
        seconds = self.step_durations_s(self.durations.uses.lateness)
        if self.critical_paths_of is not seconds:
            self.critical_paths_of = seconds
            self.critical_paths_s = self.find_critical_paths(seconds)
        return self.critical_paths_s[step.ref.step]

    def find_critical_paths(self, seconds: list[float]) -> list[float]:
        """Return the duration of the critical path from each step on."""
        specs = self.record.work.steps
        after_s = [0.0] * len(specs)
        for number in range(len(specs) - 1, -1, -1):
            path_s = after_s[number] + seconds[number]
            for earlier in specs[number].after:
                after_s[earlier] = max(after_s[earlier], path_s)
        return [after_s[number] + seconds[number] for number in range(len(specs))]

    def occurrence_due_s(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may start."""
        if not self.is_periodic:
            return 0.0
        work = self.record.work
        return work.first_due_s + occurrence * work.interval_s

    def open_occurrence(self) -> list[Step]:
        """Create the steps of the next occurrence and return them."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        added = [
            Step(self, occurrence, number)
            for number in range(len(self.record.work.steps))
        ]
        for step in added:
            self.steps[step.ref] = step
        self.compute_due()
        return added

    def compute_due(self) -> None:
        """Set when the newest occurrence is due to end, by the queue's settings."""
        self.due_s = self.begins_s() + self.allowance_s()

    def begins_s(self) -> float:
        """Return the Unix time from which the newest occurrence may start."""
        if self.is_periodic and self.next_occurrence:
            return self.occurrence_due_s(self.next_occurrence - 1)
        return self.record.accepted_s

    def return_share(self, at_s: float) -> None:
        """Count a job as within its team's share from a Unix time on."""
        self.is_within_share = True
        self.returned_s = at_s

    def ranked_due_s(self) -> float:
        """Return the due time by which the job's steps are ordered.

        A job that came to be within its team's share later than it was accepted ranks
        as if it had been accepted then. Otherwise, a team's burst would go before all
        later jobs of teams that keep to their shares.
        """
        if not self.returned_s:
            return self.due_s
        return self.due_s + max(0.0, self.returned_s - self.begins_s())

    def is_complete(self) -> bool:
        """Return True if every task of every occurrence has succeeded."""
        return self.next_occurrence == self.occurrences and all(
            step.is_done for step in self.steps.values()
        )

    def to_progress(self) -> Progress:
        """Return the progress to store."""
        steps = []
        for step in self.steps.values():
            done = sum(1 << task.ref.number for task in step.tasks if task.is_done)
            failures = {
                task.ref.number: sorted(task.failures)
                for task in step.tasks
                if task.failures and not task.is_done
            }
            checkpoints = {
                task.ref.number: task.checkpoint
                for task in step.tasks
                if task.checkpoint and not task.is_done
            }
            crashes = {
                task.ref.number: list(task.crashes.values())
                for task in step.tasks
                if task.crashes and not task.is_done
            }
            if done or failures or checkpoints or crashes:
                ref = step.ref
                steps.append(
                    StepProgress(
                        ref.occurrence, ref.step, done, failures, checkpoints, crashes
                    )
                )
        return Progress(steps)


class Worker:
    """A worker with its free capacity, its runs and the state of their leases."""

    __slots__ = (
        "answers_since_s",
        "available_until_s",
        "born_ms",
        "clock_ms",
        "clock_read_s",
        "closed_revision",
        "cold_until_s",
        "entry",
        "fenced_from_s",
        "free",
        "has_lapsed",
        "has_orphaned_runs",
        "has_readable_entry",
        "has_reported",
        "id",
        "inherited_starts",
        "is_capacity_outdated",
        "is_evacuated",
        "is_reachable",
        "is_recorded",
        "is_registered",
        "is_restarting",
        "largest_capacity",
        "last_end_number",
        "last_reply_s",
        "lease_expiry_s",
        "lease_until_ms",
        "longest_lease_until_ms",
        "may_have_restarted",
        "may_hold_longest_lease",
        "predecessor_born_ms",
        "preemptible_runs",
        "recorded_late_starts",
        "runs",
        "unanswered_starts",
        "unreachable_since_s",
        "unresolved_ends",
    )

    def __init__(self, entry: Registration, lease_expiry_s: float) -> None:
        """Create a worker whose unknown runs, if any, end by ``lease_expiry_s``."""
        self.id = entry.worker
        self.entry = entry
        self.free = entry.capacity
        # The largest capacity it is known to have had: its runs may use as much.
        self.largest_capacity = entry.capacity
        self.runs: dict[tuple[TaskRef, int], Run] = {}
        self.preemptible_runs: dict[Run, None] = {}
        # Runs of which a start request had no response, and may be executed late.
        self.unanswered_starts: dict[Run, None] = {}
        # Tasks of which it may execute a predecessor's start request late.
        self.inherited_starts: frozenset[TaskRef] = frozenset()
        # The tasks that it may start late, as stored for a successor.
        self.recorded_late_starts: frozenset[TaskRef] = frozenset()
        self.born_ms = 0
        # The process that a predecessor has recorded, or 0 if that is not known.
        self.predecessor_born_ms = 0
        self.has_reported = False
        self.is_reachable = False
        self.unreachable_since_s = 0.0
        self.is_recorded = False
        self.has_orphaned_runs = False
        # While nothing starts on it, the highest revision of a job that may run there.
        self.closed_revision: int | None = None
        # True from when all leases have expired on a silent worker until it answers.
        self.has_lapsed = False
        self.is_registered = True
        # False while its entry names no worker, which doesn't say that it has left.
        self.has_readable_entry = True
        self.is_restarting = False
        # True while an evacuation of its data centre is requested.
        self.is_evacuated = False
        # True while it may have shrunk unseen.
        self.is_capacity_outdated = False
        self.last_reply_s = 0.0
        # When it answered after its last silence.
        self.answers_since_s = 0.0
        self.clock_ms = 0
        self.clock_read_s = 0.0
        self.lease_until_ms = 0
        self.lease_expiry_s = lease_expiry_s
        # True if the worker was known before, so that calls to a former process may be
        # on their way.
        self.may_have_restarted = False
        # True if a call to a former process may have extended the leases further than
        # this process' calls do.
        self.may_hold_longest_lease = False
        # When that lease ends at the latest, on the clock of a process that refuses
        # all calls to former ones; 0 if there is none.
        self.longest_lease_until_ms = 0
        # From then on, no predecessor learns of ends on the worker.
        self.fenced_from_s = 0.0
        self.last_end_number = 0
        # Numbers of ends whose job is not known.
        self.unresolved_ends: set[int] = set()
        self.available_until_s = 0.0
        # Until then, in monotonic seconds, it is slow after its start.
        self.cold_until_s = 0.0

    def is_cold(self, now_s: float) -> bool:
        """Return True if the worker is still slow after its start."""
        return now_s < self.cold_until_s

    @property
    def called_born_ms(self) -> int:
        """Return the start of the process that calls to the worker were meant for.

        The registration may already be that of a later one.
        """
        return self.born_ms or self.predecessor_born_ms or self.entry.born_ms

    @property
    def has_unseen_restart(self) -> bool:
        """Return True if a process is registered that no holder is known to have met.

        It may have executed calls of a predecessor that were meant for another one.
        """
        if self.last_reply_s > 0 or not self.predecessor_born_ms:
            return False
        return self.entry.born_ms not in (0, self.predecessor_born_ms)

    @property
    def acknowledgeable_end(self) -> int:
        """Return the number of the newest end such that all up to it have counted."""
        if self.unresolved_ends:
            return min(self.unresolved_ends) - 1
        return self.last_end_number

    @property
    def can_start(self) -> bool:
        """Return True if new runs may start on the worker."""
        return self.find_obstacle() is None

    def find_obstacle(self) -> WorkerObstacle | None:
        """Return why no new runs may start on the worker, or None if they may.

        The allocation of an orphaned run is unknown, so nothing starts beside one.
        """
        if self.entry.is_draining:
            return WorkerObstacle.DRAINING
        if self.is_evacuated:
            return WorkerObstacle.EVACUATED
        if not self.is_registered:
            return WorkerObstacle.UNREGISTERED
        if not self.has_readable_entry:
            return WorkerObstacle.ENTRY_UNREADABLE
        if self.is_restarting:
            return WorkerObstacle.RESTARTING
        if not self.is_reachable:
            return WorkerObstacle.UNREACHABLE
        if not self.has_reported:
            return WorkerObstacle.NOT_REPORTED
        if not self.is_recorded:
            return WorkerObstacle.NOT_RECORDED
        if self.has_orphaned_runs:
            return WorkerObstacle.HAS_ORPHANED_RUNS
        if self.is_capacity_outdated:
            return WorkerObstacle.CAPACITY_OUTDATED
        return None

    def close(self, revision: int) -> None:
        """Start nothing until the worker is open and recorded so.

        Jobs that were stored at a higher ``revision`` can't run on it.
        """
        self.closed_revision = revision
        self.is_recorded = False

    def open(self) -> None:
        """Let runs start once a record is stored that doesn't show it as closed.

        It isn't known whether a write without a response has shown it so.
        """
        self.closed_revision = None
        self.is_recorded = False

    def has_had(self, capacity: Resources) -> None:
        """Record a capacity of the worker; a larger one has to be stored.

        Until then, nothing more starts there: a successor that can't reach the worker
        wouldn't know how much may run.
        """
        largest = self.largest_capacity.largest(capacity)
        if largest != self.largest_capacity:
            self.largest_capacity = largest
            self.is_recorded = False

    def unknown_usage(self) -> Resources:
        """Return what unknown runs may use: what the known ones left at its largest."""
        known = self.entry.capacity - self.free
        left = self.largest_capacity - known
        return left.largest(NO_RESOURCES)

    def clock_at(self, now_s: float) -> int:
        """Return the worker's clock at ``now_s``, in milliseconds.

        Of a slow clock, it is too high by the drift since the last reply.
        """
        return int(self.clock_ms + (now_s - self.clock_read_s) * 1000)

    def record_reply(self, clock_ms: int, now_s: float) -> None:
        """Record a reply and the worker's clock that it carries."""
        self.clock_ms = clock_ms
        self.clock_read_s = now_s
        self.last_reply_s = now_s
        self.update_lease_expiry()

    def grant(self, lease_until_ms: int) -> None:
        """Record that a lease until a time on the worker's clock is being sent."""
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)
        self.update_lease_expiry()

    def grant_longest(self, lease_s: float, now_s: float) -> None:
        """Record that a process whose clock isn't known has granted ``lease_s``.

        That is the longest lease there is. A successor has to know of it before
        anything starts.
        """
        self.may_hold_longest_lease = True
        self.longest_lease_until_ms = 0
        self.is_recorded = False
        expiry_s = now_s + lease_s / (1 - CLOCK_DRIFT)
        self.lease_expiry_s = max(self.lease_expiry_s, expiry_s)

    def update_lease_expiry(self) -> None:
        """Compute when all leases have certainly expired, on the local clock."""
        left_ms = max(0, self.lease_until_ms - self.clock_ms)
        self.lease_expiry_s = self.clock_read_s + left_ms / 1000 / (1 - CLOCK_DRIFT)

    def add(self, run: Run) -> None:
        """Add a run and reserve its allocation."""
        self.runs[run.task.ref, run.number] = run
        self.free = self.free - run.allocation
        spec = run.task.step.spec
        if spec.saves_progress and not spec.is_gang and not spec.is_standing:
            self.preemptible_runs[run] = None

    def remove(self, run: Run) -> None:
        """Remove a run and free its allocation."""
        if self.runs.pop((run.task.ref, run.number), None) is not None:
            self.free = self.free + run.allocation
            self.preemptible_runs.pop(run, None)
            self.unanswered_starts.pop(run, None)

    def start_unanswered(self, run: Run) -> None:
        """Record that a request to start a run was sent and had no response."""
        run.has_unanswered_start = True
        self.unanswered_starts[run] = None
