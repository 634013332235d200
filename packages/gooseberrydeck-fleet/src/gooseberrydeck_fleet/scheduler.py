"""The scheduler of a fleet, a state machine that turns events into commands."""

import math

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, JobId, QueueName
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.advice_requests import AdviceRequests
from gooseberrydeck_fleet.changes import ChangeLog
from gooseberrydeck_fleet.closed_workers import ClosedWorkers
from gooseberrydeck_fleet.commands import Command, CommandQueue, RunCommand, StopRun
from gooseberrydeck_fleet.configuration import UNSERVED, FleetConfiguration
from gooseberrydeck_fleet.crashes import CrashReport, CrashTracker
from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.duration_samples import RunningSamples
from gooseberrydeck_fleet.evacuated_data_centres import EvacuatedDataCentres
from gooseberrydeck_fleet.evacuation import Evacuator
from gooseberrydeck_fleet.housekeeping import Housekeeper
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.job_intake import JobIntake
from gooseberrydeck_fleet.late_starts import LateStarts
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.losses import LossReason, LostRun, SilentWorker
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.poll_replies import (
    OrphanedRun,
    PollReplyHandler,
    is_outdated,
)
from gooseberrydeck_fleet.preemption import Preemptor, VictimOrder
from gooseberrydeck_fleet.progress import Progress
from gooseberrydeck_fleet.registration_age import RegistrationAge
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.send_permission import Obstacle, SendPermission
from gooseberrydeck_fleet.serving import LongWait, StepServer
from gooseberrydeck_fleet.settings import DurationUses, Timing
from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_fleet.share_returns import ShareReturner
from gooseberrydeck_fleet.shares import ShareTracker
from gooseberrydeck_fleet.speculation import Speculator
from gooseberrydeck_fleet.state import (
    MAX_TASK_LEASE_S,
    Job,
    Run,
    RunState,
    StopReason,
    Worker,
)
from gooseberrydeck_fleet.takeover import Takeover
from gooseberrydeck_fleet.team_use import TeamUse
from gooseberrydeck_fleet.unknown_jobs import UnknownJobs
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_fleet.worker_calls import PollReply, StartOutcome

__all__ = ["Scheduler"]

LEASE_MARGIN_S = 0.2
"""Margin between the requested lease and the longest lease that a worker grants."""

STOP_REPEAT_S = 0.7
"""Interval between stop requests for a run that its worker still reports."""

HOUSEKEEPING_S = 0.1
"""Interval between housekeeping passes over all workers and runs."""

ENDED_JOB_MARGIN_S = 5.0
"""Ended jobs are kept this much longer than ``Timing.status_s`` for status queries."""


class Scheduler:
    """Decide which tasks run on which workers.

    The scheduler performs no I/O and reads no clock: ``now_s`` is monotonic time and
    ``wall_s`` is Unix time. It assumes that the caller executes every command returned
    by ``decide``, but for those with an obstacle at the moment of sending. The caller
    reports the outcomes through the event methods, such as ``start_answered`` and
    ``start_unanswered``.
    """

    def __init__(
        self,
        token: int,
        timing: Timing,
        uses: DurationUses | None = None,
        share_policy: SharePolicy | None = None,
    ) -> None:
        """Create a scheduler without jobs or workers, for the given fencing token.

        ``uses`` says what learned durations are used for; by default, nothing.
        """
        self.timing = timing
        self.ledger = Ledger(token, DurationLearner(uses))
        self.running_samples = RunningSamples(self.ledger)
        self.ends = RunEndHandler(self.ledger)
        self.crashes = CrashTracker(self.ledger, self.ends)
        self.unknown_jobs = UnknownJobs()
        self.poll_replies = PollReplyHandler(
            self.ledger, self.ends, self.unknown_jobs, timing.task_lease_s
        )
        self.placer = Placer(self.ledger)
        self.evacuated = EvacuatedDataCentres(self.ledger, self.placer)
        self.send_permission = SendPermission(self.ledger, self.placer)
        self.shares = ShareTracker(share_policy)
        self.team_use = TeamUse(self.ledger, self.placer, self.shares)
        by_share = self.shares.policy.preempts_by_share
        self.preemptor = Preemptor(
            self.placer,
            self.ends,
            timing.task_stop_s,
            VictimOrder(self.team_use.levels if by_share else None),
        )
        self.changes = ChangeLog(self.ledger)
        self.advice_requests = AdviceRequests(self.placer)
        self.takeover = Takeover(self.ledger, token, timing.task_lease_s)
        self.late_starts = LateStarts(self.ledger, timing.task_lease_s)
        self.closed_workers = ClosedWorkers(self.ledger)
        self.registration_age = RegistrationAge(self.ledger, timing)
        self.intake = JobIntake(
            self.ledger,
            self.ends,
            self.changes,
            self.takeover,
            self.shares,
            self.poll_replies,
            self.crashes,
        )
        self.commands = CommandQueue()
        self.server = StepServer(
            self.ledger,
            self.placer,
            self.preemptor,
            self.advice_requests,
            Speculator(self.placer),
            self.commands,
        )
        self.share_returner = ShareReturner(
            self.ledger, self.shares, self.server.waiting
        )
        self.housekeeper = Housekeeper(
            self.ledger,
            self.placer,
            self.ends,
            self.poll_replies,
            self.takeover,
            self.late_starts,
            Evacuator(self.placer, self.ends, timing.task_stop_s),
            self.server.ask,
            self.commands,
        )
        self.orphaned_runs: list[OrphanedRun] = []
        # Workers that have been registered here, also those that are forgotten.
        self.former_workers: set[WorkerId] = set()
        self.long_waits: list[LongWait] = []
        self.next_housekeeping_s = 0.0

    # Configuration and membership.

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a version of the configuration."""
        maximum = {team.name: team.maximum for team in configuration.teams}
        self.ledger.quotas.set_limits(maximum)
        self.intake.set_configuration(configuration)
        self.server.limits_changed()

    def set_max_advice_requests(self, max_in_flight: int) -> None:
        """Set how many advice requests may be in flight at once, at least one."""
        self.advice_requests.max_in_flight = max(1, max_in_flight)

    def worker_registered(
        self, entry: Registration, now_s: float, unknown_until_s: float = 0.0
    ) -> bool:
        """Add or update a registered worker and return True if it is new.

        Until ``unknown_until_s``, or until its first reply, a new worker may run tasks
        that a predecessor started and that this scheduler doesn't know.
        """
        cold_until_s = now_s + entry.cold_s
        if entry.cold_s:
            # It counts down with each registration, which is no change of the worker.
            entry = msgspec.structs.replace(entry, cold_s=0.0)
        worker = self.ledger.workers.get(entry.worker)
        if worker is None:
            self.ledger.have_workers_changed = True
            worker = Worker(entry, max(now_s, unknown_until_s))
            worker.cold_until_s = cold_until_s
            worker.unreachable_since_s = now_s
            worker.available_until_s = now_s + (entry.remaining_s or 0.0)
            self.ledger.workers[entry.worker] = worker
            worker.may_have_restarted = entry.worker in self.former_workers
            self.former_workers.add(entry.worker)
            self.crashes.worker_registered(entry, now_s)
            self.evacuated.apply(worker)
            return True
        if entry.is_draining != worker.entry.is_draining:
            # Stored again, since a successor has to know that the worker may leave.
            worker.is_recorded = False
        worker.available_until_s = now_s + (entry.remaining_s or 0.0)
        worker.cold_until_s = cold_until_s
        is_back = not (worker.is_registered and worker.has_readable_entry)
        if entry != worker.entry or is_back:
            self.ledger.have_workers_changed = True
            self.ledger.freed[worker.id] = worker
        worker.has_had(entry.capacity)
        if entry.capacity != worker.entry.capacity:
            worker.free = worker.free + (entry.capacity - worker.entry.capacity)
            self.ledger.health.capacity_changed(worker.id)
        worker.entry = entry
        if worker.has_unseen_restart:
            self.takeover.may_hold_longest_lease(worker)
        worker.is_registered = worker.has_readable_entry = True
        self.evacuated.apply(worker)
        return False

    def set_evacuated(self, data_centres: frozenset[DataCentre], now_s: float) -> None:
        """Start nothing more on the workers of the given data centres.

        The workers of data centres that are left out accept runs again.
        """
        self.evacuated.replace(data_centres, now_s)

    def worker_recorded(self, entry: Registration, now_s: float) -> None:
        """Apply a predecessor's record of a worker."""
        worker = self.ledger.workers.get(entry.worker)
        if worker is not None:
            worker.has_had(entry.capacity)
            worker.may_have_restarted = True
            worker.closed_revision = entry.closed_revision
            worker.predecessor_born_ms = entry.born_ms
            if entry.may_hold_longest_lease or worker.has_unseen_restart:
                self.takeover.may_hold_longest_lease(worker)
            self.late_starts.recorded(worker, entry.late_starts, now_s)

    def worker_unregistered(self, worker_id: WorkerId) -> None:
        """Mark a worker as no longer registered; its tasks may still run."""
        worker = self.ledger.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            self.ledger.have_workers_changed = True

    def worker_unreadable(self, worker_id: WorkerId) -> None:
        """Start nothing more on a worker until its entry can be read again."""
        worker = self.ledger.workers.get(worker_id)
        if worker is not None and worker.has_readable_entry:
            worker.has_readable_entry = False
            self.ledger.have_workers_changed = True

    def registrations_confirmed(self, asked_s: float) -> None:
        """Record that all registrations stored up to ``asked_s`` are known."""
        self.registration_age.confirmed(asked_s)

    def predecessor_may_act(self, until_s: float) -> None:
        """Mark a predecessor as possibly commanding workers until ``until_s``."""
        self.takeover.predecessor_may_act(until_s)

    def predecessor_stopped(self, lease_expiry_s: float) -> None:
        """Mark the predecessor as stopped; its leases expire by ``lease_expiry_s``."""
        self.takeover.predecessor_stopped(lease_expiry_s)

    def sole_holder_recorded(self, revision: int) -> None:
        """Record that at a revision of the store no predecessor could act any more."""
        self.closed_workers.sole_holder_recorded(revision)

    def authority_confirmed(self, at_s: float) -> None:
        """Record that this scheduler had no successor at a monotonic time.

        A later successor may extend the leases of workers that don't answer here.
        """
        self.ledger.authority_confirmed_s = at_s

    def limit_leases(self, until_s: float) -> None:
        """Let no lease last longer than a monotonic time."""
        self.ledger.lease_limit_s = until_s

    def release_held_jobs(self) -> None:
        """Let all jobs start tasks if every worker has reported its runs."""
        self.takeover.release_held_jobs()

    # Jobs.

    def accept(
        self, record: JobRecord, revision: int, predates_takeover: bool = False
    ) -> bool:
        """Add or update a stored job; return False if its queue is not configured."""
        return self.intake.accept(record, revision, predates_takeover)

    @property
    def jobs_revision(self) -> int:
        """The revision up to which all stored jobs have been read or watched."""
        return self.intake.jobs_revision

    def jobs_read(self, revision: int) -> None:
        """Record that all jobs stored up to a revision have been read or watched."""
        self.intake.jobs_revision = max(self.intake.jobs_revision, revision)

    def accept_announced(self, record: JobRecord, revision: int) -> bool:
        """Add a job that a member announces; return False if that tells nothing new."""
        return self.intake.accept_announced(record, revision)

    def is_queue_known(self, record: JobRecord) -> bool:
        """Return True if a job's queue is configured, or was stored with the job."""
        return self.intake.queue_of(record).service != UNSERVED

    def jobs_without_queue(self) -> list[Job]:
        """Return the jobs whose queue is not configured."""
        return [job for job in self.ledger.jobs.values() if job.has_unconfigured_queue]

    def restore(self, job_id: JobId, progress: Progress, revision: int) -> None:
        """Restore the progress of a job that a predecessor stored."""
        self.intake.restore(job_id, progress, revision)

    # Jobs that only workers have reported.

    def take_lookups(self) -> list[JobId]:
        """Return the unknown jobs to look up in the store now.

        The caller answers each with ``job_found``, ``job_absent`` or ``lookup_failed``.
        """
        return self.unknown_jobs.take_lookups()

    def job_found(
        self,
        record: JobRecord,
        revision: int,
        progress: Progress | None,
        progress_revision: int,
    ) -> None:
        """Add a job that was looked up, unless it has become known meanwhile."""
        self.unknown_jobs.lookup_completed(record.id)
        if self.ledger.knows(record.id):
            return
        self.accept(record, revision, predates_takeover=True)
        if progress is not None:
            self.restore(record.id, progress, progress_revision)

    def job_absent(self, job: JobId, state: JobState | None, now_s: float) -> None:
        """Stop the runs and forget the ends of a job that is not in the store.

        ``state`` is how the job has ended, or None if that is not stored any more.
        """
        self.unknown_jobs.lookup_completed(job)
        if self.ledger.knows(job):
            return
        self.ledger.ended[job] = (state, now_s)
        self.orphaned_runs.extend(self.poll_replies.drop_unknown(job))

    def lookup_failed(self, job: JobId) -> None:
        """Have a job looked up again."""
        self.unknown_jobs.lookup_completed(job)

    def state_of(self, job_id: JobId) -> JobState | None:
        """Return the stored state of a job, or None if the job is unknown.

        A completed or failed job counts as running until its final state is stored.
        """
        job = self.ledger.jobs.get(job_id)
        if job is None:
            ended = self.changes.ended.get(job_id)
            return None if ended is None else ended[0]
        is_stored = self.changes.is_stored(job_id)
        if job.state.is_final and not is_stored and not job.record.is_cancelled:
            return JobState.RUNNING
        return job.state

    def count_waiting(self) -> dict[QueueName, int]:
        """Return the number of queued jobs by queue."""
        counts: dict[QueueName, int] = {}
        for job in self.ledger.jobs.values():
            if job.state is JobState.QUEUED:
                counts[job.record.queue] = counts.get(job.record.queue, 0) + 1
        return counts

    # Replies of workers.

    def lease_until_ms(self, worker: Worker, now_s: float) -> int | None:
        """Grant a lease and return its end on the worker's clock, in milliseconds.

        Returns None for an unreachable worker: the call may arrive although its reply
        is lost, so the computed lease expiry would be postponed forever. The clock of a
        restarting worker's present process is not known yet. An idle worker needs none,
        and gets none while a successor wouldn't know that its next process may hold it.
        """
        if not worker.is_reachable or worker.is_restarting:
            return None
        is_idle = not worker.runs and not worker.has_orphaned_runs
        if is_idle and not worker.is_recorded:
            return None
        lease_s = min(
            MAX_TASK_LEASE_S,
            self.timing.task_lease_s - LEASE_MARGIN_S,
            self.ledger.lease_limit_s - now_s,
        )
        if lease_s <= 0:
            return None
        until_ms = worker.clock_at(now_s) + int(lease_s * 1000)
        worker.grant(until_ms)
        return until_ms

    def poll_answered(
        self, worker_id: WorkerId, reply: PollReply, now_s: float
    ) -> list[Run]:
        """Apply a worker's reply to a poll and return the runs that ended."""
        worker = self.ledger.workers.get(worker_id)
        if worker is None:
            return []
        self.ledger.now_s = now_s
        could_start = worker.can_start
        if not is_outdated(worker, reply):
            self.crashes.worker_answered(worker, reply.born_ms, now_s)
        ended, orphaned_runs = self.poll_replies.handle_reply(worker, reply, now_s)
        self.orphaned_runs.extend(orphaned_runs)
        if worker.can_start != could_start:
            self.ledger.have_workers_changed = True
        self.release_held_jobs()
        return ended

    def worker_silent(
        self, worker_id: WorkerId, now_s: float, has_timed_out: bool = False
    ) -> None:
        """Mark a worker as unreachable; it gets no new runs until it replies.

        After a call that has timed out, it may have been so since its last reply.
        """
        worker = self.ledger.workers.get(worker_id)
        if worker is not None and worker.is_reachable:
            from_s = worker.last_reply_s if has_timed_out else now_s
            self.crashes.worker_silent(worker, now_s, from_s)
            worker.is_reachable = False
            worker.unreachable_since_s = now_s
            self.ledger.have_workers_changed = True

    def worker_restarting(self, worker_id: WorkerId) -> None:
        """Record that a worker's process was started again under its id.

        Until the next reply, nothing starts there, and the runs of the former process
        don't count as lost.
        """
        worker = self.ledger.workers.get(worker_id)
        if worker is not None and not worker.is_restarting:
            worker.is_restarting = True
            self.ledger.have_workers_changed = True

    def start_answered_by_next_process(self, worker_id: WorkerId, now_s: float) -> None:
        """Record that a start was answered by a later process than it was meant for.

        Its deadline on the former process' clock has granted the longest lease.
        """
        worker = self.ledger.workers.get(worker_id)
        if worker is not None:
            worker.grant_longest(self.poll_replies.max_lease_s, now_s)
            self.worker_restarting(worker_id)

    def worker_gone(self, worker_id: WorkerId, now_s: float) -> list[Run]:
        """Record all runs of a worker whose process ended as lost, and return them."""
        worker = self.ledger.workers.get(worker_id)
        if worker is None:
            return []
        self.ledger.now_s = now_s
        if not worker.entry.is_draining:
            self.crashes.worker_replaced(worker, now_s)
        lost = self.poll_replies.lose_runs(worker, LossReason.WORKER_GONE)
        self.ledger.have_workers_changed = True
        worker.is_reachable = False
        worker.unreachable_since_s = now_s
        worker.has_reported = True
        worker.lease_expiry_s = now_s
        worker.lease_until_ms = 0
        self.late_starts.release(worker)
        if not worker.is_registered:
            del self.ledger.workers[worker_id]
        self.release_held_jobs()
        return lost

    def start_answered(
        self,
        worker_id: WorkerId,
        task_ref: TaskRef,
        number: int,
        outcome: StartOutcome,
        now_s: float,
        is_repeat: bool = False,
    ) -> None:
        """Update a run by its worker's reply to the start request.

        The refusal of a repeated request doesn't mean that nothing ran: the first
        request may have started the run.
        """
        run = self.find_run(worker_id, task_ref, number)
        if run is None:
            return
        if is_repeat:
            run.worker.start_unanswered(run)
        if outcome is StartOutcome.STARTED:
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
                run.started_s = run.progress_changed_s = now_s
            self.ledger.mark_running(run.task.step.job)
            return
        if is_repeat or run.state is not RunState.STARTING:
            self.start_unanswered(worker_id, task_ref, number, was_sent=True)
            return
        step = run.task.step
        if outcome is StartOutcome.BAD_TICKET:
            step.advice.drop(worker_id)
        if outcome is StartOutcome.SHED:
            self.ledger.health.quarantine(worker_id, now_s)
        if outcome is StartOutcome.NO_ROOM:
            self.ledger.health.record_no_room(worker_id, now_s)
        self.crashes.never_started(run)
        self.ends.run_lost(run, LossReason.NEVER_STARTED)

    def start_repeated(self, worker_id: WorkerId, task: TaskRef, number: int) -> None:
        """Record that a start had no response and is to be sent once more."""
        run = self.find_run(worker_id, task, number)
        if run is not None:
            run.worker.start_unanswered(run)

    def throttle_withdrawn(
        self, worker_id: WorkerId, task: TaskRef, number: int
    ) -> None:
        """Have a run's speed set again, since the last command was not sent."""
        run = self.find_run(worker_id, task, number)
        if run is not None:
            run.speed_set_s = -math.inf

    def start_unanswered(
        self, worker_id: WorkerId, task_ref: TaskRef, number: int, was_sent: bool
    ) -> None:
        """Mark a run as uncertain after an unanswered start, or lost if not sent."""
        run = self.find_run(worker_id, task_ref, number)
        if run is None:
            return
        if was_sent:
            run.worker.start_unanswered(run)
        is_pending = run.state in (RunState.STARTING, RunState.STOPPING)
        if is_pending and not run.has_unanswered_start:
            self.crashes.never_started(run)
            self.ends.run_lost(run, LossReason.NEVER_STARTED)
        elif run.state is RunState.STARTING:
            run.state = RunState.UNCERTAIN

    def start_refused(
        self,
        worker_id: WorkerId,
        task_ref: TaskRef,
        number: int,
        job_state: JobState | None,
    ) -> None:
        """Drop a run whose start was not sent, since its task or job has ended.

        ``job_state`` is the stored state of the job if the job has ended. Otherwise the
        task has succeeded. Either is recorded, and stored again.
        """
        run = self.find_run(worker_id, task_ref, number)
        if run is not None:
            self.crashes.never_started(run)
            self.ends.run_lost(run, LossReason.NEVER_STARTED)
        task = self.ledger.find_task(task_ref)
        if task is None:
            return
        if job_state is None:
            self.ends.task_succeeded(task)
        elif not task.step.job.state.is_final:
            self.ends.finish(task.step.job, job_state)

    def find_run(self, worker_id: WorkerId, task: TaskRef, number: int) -> Run | None:
        """Return a run recorded on a worker, or None."""
        worker = self.ledger.workers.get(worker_id)
        return None if worker is None else worker.runs.get((task, number))

    # Advice.

    def advice_answered(
        self, ref: StepRef, advice: Advice | None, asked_s: float, now_s: float
    ) -> None:
        """Record the reply to an advice request; ``advice`` is None on failure."""
        self.advice_requests.completed(ref)
        job = self.ledger.jobs.get(ref.job)
        step = job.steps.get(ref) if job is not None else None
        if step is None:
            return
        self.advice_requests.record_response(step, advice, asked_s, now_s)
        self.server.advice_answered(step)

    # Decisions.

    def decide(self, now_s: float, wall_s: float) -> list[Command]:
        """Return the commands to execute now."""
        self.set_time(now_s, wall_s)
        self.registration_age.review(now_s)
        is_review_due = now_s >= self.next_housekeeping_s
        self.update_shares(is_review_due)
        if is_review_due:
            self.next_housekeeping_s = now_s + HOUSEKEEPING_S
            self.changes.forget_ended(now_s - self.timing.status_s - ENDED_JOB_MARGIN_S)
            self.housekeeper.run(now_s)
            self.crashes.review(now_s)
            self.running_samples.advance(now_s)
            self.closed_workers.review(now_s)
        self.intake.open_due_occurrences(wall_s)
        # After all that changes which runs may be unknown, before anything starts.
        self.takeover.update_unknown_usage()
        if is_review_due:
            self.review_use(now_s, wall_s)
            self.server.review(now_s)
            self.long_waits += self.server.take_long_waits(now_s)
        self.server.run(now_s, wall_s)
        self.send_stops(now_s)
        return self.commands.take_all()

    def set_time(self, now_s: float, wall_s: float) -> None:
        """Set the relation between the clocks, also before the first decision."""
        self.ledger.now_s = now_s
        self.crashes.set_time(now_s, wall_s)
        self.shares.set_time(now_s, wall_s)

    def update_shares(self, is_review_due: bool) -> None:
        """Return shares to waiting jobs, and give what is left to those that arrived.

        Jobs that wait go before those that arrive, whenever a token becomes available.
        """
        has_returns = is_review_due or self.shares.arrivals
        if self.shares.policy.returns_shares and has_returns:
            self.share_returner.run()
        self.shares.admit_arrivals()

    def review_use(self, now_s: float, wall_s: float) -> None:
        """Rank the steps of teams again whose level of use has changed."""
        changed = self.team_use.update(now_s)
        if self.shares.policy.ranks_by_use:
            for team in changed:
                level = self.team_use.levels[team]
                self.server.waiting.set_level(team, level, wall_s)

    def find_send_obstacle(self, command: RunCommand, now_s: float) -> Obstacle | None:
        """Return what forbids to send a command that was decided on, or None."""
        self.registration_age.review(now_s)
        return self.send_permission.find_obstacle(command, now_s)

    @property
    def has_backlog(self) -> bool:
        """Return True if ``decide`` should be called again without a pause."""
        return self.server.has_backlog

    def take_long_waits(self) -> list[LongWait]:
        """Return the steps that have waited long since the last call, each once."""
        waits, self.long_waits = self.long_waits, []
        return waits

    def take_lost_runs(self) -> list[LostRun]:
        """Return the runs that were lost since the last call, each once."""
        lost, self.ends.lost_runs = self.ends.lost_runs, []
        return lost

    def take_silent_workers(self) -> list[SilentWorker]:
        """Return the unreported workers whose leases expired since the last call."""
        keeper = self.housekeeper
        silent, keeper.silent_workers = keeper.silent_workers, []
        return silent

    def take_crash_reports(self) -> list[CrashReport]:
        """Return the crashes of workers since the last call, each once."""
        return self.crashes.take_reports()

    def send_stops(self, now_s: float) -> None:
        """Queue stop commands, and repeat those that had no effect so far.

        A command to a silent worker is dropped, so it is repeated at the next answer.
        """
        for run in self.ledger.stopping:
            is_dropped = run.stop_sent_s < run.worker.answers_since_s
            if is_dropped or now_s - run.stop_sent_s >= STOP_REPEAT_S:
                run.stop_sent_s = now_s
                reason = run.stop_reason or StopReason.SURPLUS
                self.commands.add(
                    StopRun(run.worker.id, run.task.ref, run.number, reason)
                )
        for orphan in self.orphaned_runs:
            report = orphan.report
            self.commands.add(
                StopRun(orphan.worker.id, report.task, report.run, StopReason.SURPLUS)
            )
        self.orphaned_runs.clear()
