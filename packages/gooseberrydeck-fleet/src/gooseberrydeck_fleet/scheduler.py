"""The scheduler of a fleet, a state machine that turns events into commands."""

from collections.abc import Iterable

from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.advice_requests import AdviceRequests
from gooseberrydeck_fleet.changes import ChangeLog
from gooseberrydeck_fleet.commands import (
    Command,
    StartRun,
    StopRun,
    ThrottleRun,
)
from gooseberrydeck_fleet.configuration import FleetConfiguration, Queue
from gooseberrydeck_fleet.evacuation import Evacuator
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.poll_replies import OrphanedRun, PollReplyHandler
from gooseberrydeck_fleet.preemption import Preemptor
from gooseberrydeck_fleet.progress import Progress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.run_ends import LossReason, RunEndHandler
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.shares import ShareTracker
from gooseberrydeck_fleet.speculation import Speculator
from gooseberrydeck_fleet.state import (
    MAX_TASK_LEASE_S,
    Job,
    Run,
    RunState,
    Step,
    StopReason,
    Task,
    Worker,
)
from gooseberrydeck_fleet.throttling import Throttler
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_fleet.worker_calls import PollReply, StartOutcome, StartRequest

__all__ = ["Scheduler"]

START_VALID_S = 1.5
"""Validity of a start request.

A worker refuses a start that arrives later, so the outcome of an unanswered start
becomes certain after this time.
"""

LEASE_MARGIN_S = 0.2
"""Margin between the requested lease and the longest lease that a worker grants."""

LEASE_EXPIRY_MARGIN_S = 0.2
"""Extra wait after the computed expiry of all leases of an unreachable worker."""

STOP_REPEAT_S = 0.7
"""Interval between stop requests for a run that its worker still reports."""

HOUSEKEEPING_S = 0.1
"""Interval between housekeeping passes over all workers and runs."""

STALL_S = 2.5
"""A run that reports no new progress for longer than this counts as stalled."""

ENDED_JOB_MARGIN_S = 5.0
"""Ended jobs are kept this much longer than ``Timing.status_s`` for status queries."""


class Scheduler:
    """Decide which tasks run on which workers.

    The scheduler performs no I/O and reads no clock: ``now_s`` is monotonic time and
    ``wall_s`` is Unix time. It assumes that the caller executes every command returned
    by ``decide``. The caller reports the outcomes through the event methods, such as
    ``start_answered`` and ``start_unanswered``.
    """

    def __init__(self, token: int, timing: Timing) -> None:
        """Create a scheduler without jobs or workers, for the given fencing token."""
        self.timing = timing
        self.ledger = Ledger(token)
        self.ends = RunEndHandler(self.ledger)
        self.poll_replies = PollReplyHandler(self.ledger, self.ends)
        self.placer = Placer(self.ledger)
        self.preemptor = Preemptor(self.placer, self.ends, timing.task_stop_s)
        self.throttler = Throttler()
        self.changes = ChangeLog(self.ledger)
        self.advice_requests = AdviceRequests(self.placer)
        self.speculator = Speculator(self.placer)
        self.shares = ShareTracker()
        self.evacuator = Evacuator(self.placer, self.ends, timing.task_stop_s)
        self.queues: dict[QueueName, Queue] = {}
        self.orphaned_runs: list[OrphanedRun] = []
        self.commands: list[Command] = []
        self.next_housekeeping_s = 0.0
        self.predecessor_acts_until_s = 0.0

    # Configuration and membership.

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a version of the configuration.

        Jobs of a queue that is no longer configured keep that queue's old settings.
        """
        self.queues = {queue.name: queue for queue in configuration.queues}
        maximum = {team.name: team.maximum for team in configuration.teams}
        self.ledger.quotas.set_limits(maximum)
        self.shares.set_rates({team.name: team.weight for team in configuration.teams})
        for job in self.ledger.jobs.values():
            job.queue = self.queues.get(job.record.queue, job.queue)

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
        worker = self.ledger.workers.get(entry.worker)
        if worker is None:
            worker = Worker(entry, max(now_s, unknown_until_s))
            worker.available_until_s = now_s + (entry.remaining_s or 0.0)
            self.ledger.workers[entry.worker] = worker
            return True
        if entry.is_draining != worker.entry.is_draining:
            # Stored again, since a successor has to know that the worker may leave.
            worker.is_recorded = False
        worker.available_until_s = now_s + (entry.remaining_s or 0.0)
        if entry.capacity != worker.entry.capacity:
            worker.free = worker.free + (entry.capacity - worker.entry.capacity)
        worker.entry = entry
        worker.is_registered = True
        return False

    def worker_unregistered(self, worker_id: WorkerId) -> None:
        """Mark a worker as no longer registered; its tasks may still run."""
        worker = self.ledger.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False

    def predecessor_may_act(self, until_s: float) -> None:
        """Mark a predecessor as possibly commanding workers until ``until_s``."""
        self.ledger.is_sole_scheduler = False
        self.predecessor_acts_until_s = until_s

    def become_sole_scheduler(self) -> None:
        """Mark this scheduler as the only active one.

        Tasks whose runs are known now can have no other runs, and jobs accepted since
        the takeover have no runs that this scheduler doesn't know.
        """
        self.ledger.is_sole_scheduler = True
        for worker in self.ledger.workers.values():
            for run in worker.runs.values():
                run.task.is_safe_to_start = True
        for job in self.ledger.jobs.values():
            job.may_have_unknown_runs = (
                job.may_have_unknown_runs and job.predates_takeover
            )

    def predecessor_stopped(self, lease_expiry_s: float) -> None:
        """Mark the predecessor as stopped, which also limits its leases.

        The leases of all runs that it started expire by ``lease_expiry_s``.
        """
        self.become_sole_scheduler()
        for worker in self.ledger.workers.values():
            if not worker.has_reported:
                worker.lease_expiry_s = min(worker.lease_expiry_s, lease_expiry_s)

    # Jobs.

    def accept(
        self, record: JobRecord, revision: int, predates_takeover: bool = False
    ) -> bool:
        """Add or update a stored job; return False if its queue is not configured.

        A job that predates the takeover may have runs that are unknown until every
        worker has reported. The same holds for a new job while a predecessor is still
        active, because the predecessor is notified of it too.
        """
        if record.id in self.changes.ended:
            # The notification may be older than the stored end of the job.
            return True
        known = self.ledger.jobs.get(record.id)
        if known is not None:
            self.update(known, record, revision)
            return True
        queue = self.queues.get(record.queue)
        if queue is None:
            return False
        job = Job(record, queue, revision)
        job.predates_takeover = predates_takeover
        job.is_within_share = self.shares.admits(record.team, record.accepted_s)
        is_safe = self.ledger.is_sole_scheduler and not predates_takeover
        job.may_have_unknown_runs = not is_safe and not self.have_all_reported()
        self.ledger.jobs[record.id] = job
        if not job.is_periodic:
            self.open_steps(job.open_occurrence())
        if record.is_cancelled:
            self.ends.finish(job, JobState.CANCELLED)
        return True

    def update(self, job: Job, record: JobRecord, revision: int) -> None:
        """Apply a changed job record; cancellation is the only possible change."""
        job.record = record
        job.revision = revision
        if record.is_cancelled and not job.state.is_final:
            self.ends.finish(job, JobState.CANCELLED)

    def restore(self, job_id: JobId, progress: Progress, revision: int) -> None:
        """Restore the progress of a job that a predecessor stored."""
        job = self.ledger.jobs.get(job_id)
        if job is None:
            return
        job.progress_revision = revision
        for stored in progress.steps:
            while job.next_occurrence <= stored.occurrence:
                self.open_steps(job.open_occurrence())
            step = job.steps[StepRef(job_id, stored.occurrence, stored.step)]
            for task in step.tasks:
                index = task.ref.number
                task.failures.update(stored.failures.get(index, ()))
                task.checkpoint = stored.checkpoints.get(index, "")
                if stored.done >> index & 1 and not task.is_done:
                    task.is_done = True
                    step.remaining_tasks -= 1
                if len(task.failures) >= job.queue.max_attempts:
                    self.ends.finish(job, JobState.FAILED)
            self.ledger.mark_running(job)
        self.ends.finish_if_complete(job)
        self.ledger.changed.pop(job_id, None)

    def open_steps(self, steps: Iterable[Step]) -> None:
        """Add steps to the open steps, which start once their dependencies are done."""
        for step in steps:
            step.job.open_steps[step.ref] = step

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
        is lost, so the computed lease expiry would be postponed forever.
        """
        if not worker.is_reachable:
            return None
        lease_s = min(MAX_TASK_LEASE_S, self.timing.task_lease_s - LEASE_MARGIN_S)
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
        ended, orphaned_runs = self.poll_replies.handle_reply(worker, reply, now_s)
        self.orphaned_runs.extend(orphaned_runs)
        self.release_held_jobs()
        return ended

    def worker_silent(self, worker_id: WorkerId) -> None:
        """Mark a worker as unreachable; it gets no new runs until it replies."""
        worker = self.ledger.workers.get(worker_id)
        if worker is not None:
            worker.is_reachable = False

    def has_left(self, worker_id: WorkerId, now_s: float) -> bool:
        """Return True if an unreachable worker has drained, but may still have runs.

        A worker's registration is removed once it has left, and by then all its runs
        have ended.
        """
        worker = self.ledger.workers.get(worker_id)
        return (
            worker is not None
            and worker.entry.is_draining
            and now_s >= worker.available_until_s
            and not worker.is_registered
            and not worker.is_reachable
            and (bool(worker.runs) or not worker.has_reported)
        )

    def worker_gone(self, worker_id: WorkerId, now_s: float) -> list[Run]:
        """Record all runs of a worker whose process ended as lost, and return them."""
        worker = self.ledger.workers.get(worker_id)
        if worker is None:
            return []
        lost = self.poll_replies.lose_runs(worker, LossReason.WORKER_GONE)
        worker.is_reachable = False
        worker.has_reported = True
        worker.lease_expiry_s = now_s
        worker.lease_until_ms = 0
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
        self.ends.run_lost(run, LossReason.NEVER_STARTED)

    def start_unanswered(
        self, worker_id: WorkerId, task_ref: TaskRef, number: int, was_sent: bool
    ) -> None:
        """Mark a run as uncertain after an unanswered start, or lost if not sent."""
        run = self.find_run(worker_id, task_ref, number)
        if run is None:
            return
        if not was_sent and run.state is RunState.STARTING:
            self.ends.run_lost(run, LossReason.NEVER_STARTED)
        elif run.state is RunState.STARTING:
            run.state = RunState.UNCERTAIN

    def find_run(self, worker_id: WorkerId, task: TaskRef, number: int) -> Run | None:
        """Return a run recorded on a worker, or None."""
        worker = self.ledger.workers.get(worker_id)
        return None if worker is None else worker.runs.get((task, number))

    def release_held_jobs(self) -> None:
        """Let all jobs start tasks if every worker has reported its runs."""
        if not self.have_all_reported():
            return
        for job in self.ledger.jobs.values():
            job.may_have_unknown_runs = False

    def have_all_reported(self) -> bool:
        """Return True if every worker has reported its runs."""
        return all(worker.has_reported for worker in self.ledger.workers.values())

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

    # Decisions.

    def decide(self, now_s: float, wall_s: float) -> list[Command]:
        """Return the commands to execute now."""
        self.placer.begin_pass()
        if now_s >= self.next_housekeeping_s:
            self.next_housekeeping_s = now_s + HOUSEKEEPING_S
            self.run_housekeeping(now_s)
        self.open_due_occurrences(wall_s)
        self.serve_steps(now_s, wall_s)
        self.send_stops(now_s)
        commands = self.commands
        self.commands = []
        return commands

    def run_housekeeping(self, now_s: float) -> None:
        """Act on everything that depends on time alone, such as expired leases."""
        self.placer.expire(now_s)
        self.expire_workers(now_s)
        self.forget_departed()
        if not self.ledger.is_sole_scheduler and now_s >= self.predecessor_acts_until_s:
            self.become_sole_scheduler()
        self.changes.forget_ended(now_s - self.timing.status_s - ENDED_JOB_MARGIN_S)
        self.stop_stalled(now_s)
        self.evacuate(now_s)
        self.throttle_runs(now_s)

    def expire_workers(self, now_s: float) -> None:
        """Count runs as lost on unreachable workers whose leases have expired."""
        for worker in list(self.ledger.workers.values()):
            if (
                worker.is_reachable
                or now_s < worker.lease_expiry_s + LEASE_EXPIRY_MARGIN_S
            ):
                continue
            if worker.runs or not worker.has_reported:
                self.poll_replies.lose_runs(worker, LossReason.LEASE_LAPSED)
                worker.has_reported = True
                self.release_held_jobs()
            if not worker.is_registered:
                del self.ledger.workers[worker.id]

    def forget_departed(self) -> None:
        """Remove workers that have left and have no runs."""
        for worker in list(self.ledger.workers.values()):
            if (
                not worker.is_registered
                and not worker.is_reachable
                and worker.has_reported
                and not worker.runs
            ):
                del self.ledger.workers[worker.id]

    def open_due_occurrences(self, wall_s: float) -> None:
        """Open the occurrences of periodic jobs that are due."""
        for job in self.ledger.jobs.values():
            while (
                job.is_periodic
                and not job.state.is_final
                and job.next_occurrence < job.occurrences
                and job.occurrence_due_s(job.next_occurrence) <= wall_s
            ):
                self.open_steps(job.open_occurrence())

    def evacuate(self, now_s: float) -> None:
        """Move runs off draining workers, requesting advice for those with no place."""
        for worker in self.ledger.workers.values():
            if worker.entry.is_draining and worker.runs and worker.is_reachable:
                for step in self.evacuator.evacuate(worker, now_s):
                    self.ask(step, 1, now_s)

    def stop_stalled(self, now_s: float) -> None:
        """Stop stalled runs, so that they restart on other workers."""
        for worker in self.ledger.workers.values():
            if not worker.is_reachable:
                continue
            for run in worker.runs.values():
                if is_stalled(run, now_s):
                    self.ends.request_stop(run, StopReason.STALLED)
                    self.ledger.health.quarantine(worker.id, now_s)

    def serve_steps(self, now_s: float, wall_s: float) -> None:
        """Start tasks of ready steps, in order of urgency."""
        blocked: dict[TeamName, int] = {}
        for step in self.steps_in_order(now_s, wall_s):
            waiting = step.waiting_tasks()
            if not waiting:
                if step.spec.is_speculative and step.job.queue.priority == 0:
                    self.start_copies(step, now_s)
                continue
            team = step.job.record.team
            # Once a step has reached its team's limit, less urgent steps of the team
            # must not take what remains of the limit.
            if step.job.queue.priority > blocked.get(team, step.job.queue.priority):
                continue
            allowed = self.ledger.quotas.count_allowed(
                team, step.spec.resources, len(waiting)
            )
            if allowed < len(waiting):
                if step.job.queue.priority == 0:
                    self.preemptor.free_quota(step, len(waiting) - allowed)
                lowest = blocked.get(team, step.job.queue.priority)
                blocked[team] = min(lowest, step.job.queue.priority)
            if step.spec.is_gang:
                if allowed == step.spec.count and len(waiting) == allowed:
                    self.serve_gang(step, now_s)
            elif allowed:
                self.serve(step, waiting[:allowed], now_s)

    def steps_in_order(self, now_s: float, wall_s: float) -> list[Step]:
        """Return the ready steps, ordered by priority, share and due time.

        Jobs that can still finish on time go before jobs that can't. In plain order of
        due times, a burst would make every job after it late as well.
        """
        found: list[tuple[int, bool, bool, float, StepRef, Step]] = []
        for job in self.ledger.jobs.values():
            if job.state.is_final:
                continue
            for ref, step in list(job.open_steps.items()):
                if step.is_done:
                    del job.open_steps[ref]
                elif is_ready(step):
                    if step.ready_s is None:
                        step.ready_s = now_s
                    exceeds_share = not job.is_within_share
                    is_late = job.will_be_late(step, wall_s)
                    rank = job.queue.priority, exceeds_share, is_late, job.due_s
                    found.append((*rank, ref, step))
        found.sort(key=lambda entry: entry[:5])
        return [entry[5] for entry in found]

    def serve(self, step: Step, waiting: list[Task], now_s: float) -> None:
        """Start waiting tasks of a step on permitted workers with free capacity."""
        permitted = self.placer.permitted(step, now_s)
        candidates = self.placer.choose_rack(permitted, step, len(waiting))
        left = []
        for task in waiting:
            worker = self.placer.choose(candidates, task, now_s)
            if worker is None:
                left.append(task)
                continue
            self.start(task, worker, self.ledger.run_numbers.next(), now_s)
        if not left:
            return
        if step.job.queue.priority == 0 and step.job.is_within_share and permitted:
            self.preemptor.make_room(step, permitted, len(left), now_s)
        self.ask(step, len(left), now_s)

    def start_copies(self, step: Step, now_s: float) -> None:
        """Start speculative copies of straggling runs."""
        for run in self.speculator.stragglers(step, now_s):
            worker = self.speculator.choose(run, now_s)
            if worker is None:
                self.ask(step, 1, now_s)
            elif self.ledger.quotas.allows(run.team, run.quota_usage):
                self.start(run.task, worker, self.ledger.run_numbers.next(), now_s)

    def serve_gang(self, step: Step, now_s: float) -> None:
        """Start all tasks of a gang together, or none of them."""
        permitted = self.placer.permitted(step, now_s)
        candidates = self.placer.choose_rack(permitted, step, step.spec.count)
        if sum(self.placer.slots(each, step) for each in candidates) < step.spec.count:
            self.ask(step, step.spec.count, now_s)
            return
        number = self.ledger.run_numbers.next()
        for task in step.tasks:
            worker = self.placer.choose(candidates, task, now_s)
            if worker is None:
                # No worker is left besides those on which this member failed; the gang
                # doesn't wait for another one.
                task.failed_on.clear()
                worker = self.placer.choose(candidates, task, now_s)
            if worker is not None:
                self.start(task, worker, number, now_s)

    def start(self, task: Task, worker: Worker, number: int, now_s: float) -> None:
        """Record a new run and queue its start command."""
        run = self.ledger.add_run(task, worker, number, now_s)
        self.placer.consume_reservation(worker, task.step)
        until_ms = worker.clock_at(now_s) + int(START_VALID_S * 1000)
        run.start_until_ms = until_ms
        worker.grant(until_ms)
        ticket = None
        if task.step.job.queue.advice is not None:
            ticket = task.step.advice.ticket(worker.id, worker.born_ms, now_s)
        request = StartRequest(
            task.ref,
            number,
            task.step.job.record.work.payload,
            until_ms,
            task.checkpoint,
            ticket or "",
        )
        self.commands.append(StartRun(worker.id, request))

    def ask(self, step: Step, wanted: int, now_s: float) -> None:
        """Request advice for a step if a reply could help to start it now."""
        request = self.advice_requests.ask(step, wanted, now_s)
        if request is not None:
            self.commands.append(request)

    def throttle_runs(self, now_s: float) -> None:
        """Throttle best-effort runs where they endanger a latency target."""
        for worker in self.ledger.workers.values():
            if worker.is_reachable:
                for run, percent in self.throttler.adjust(worker, now_s):
                    self.commands.append(
                        ThrottleRun(worker.id, run.task.ref, run.number, percent)
                    )

    def send_stops(self, now_s: float) -> None:
        """Queue stop commands, and repeat those that had no effect so far."""
        for run in self.ledger.stopping:
            if now_s - run.stop_sent_s >= STOP_REPEAT_S:
                run.stop_sent_s = now_s
                reason = run.stop_reason or StopReason.SURPLUS
                self.commands.append(
                    StopRun(run.worker.id, run.task.ref, run.number, reason)
                )
        for orphan in self.orphaned_runs:
            report = orphan.report
            self.commands.append(
                StopRun(orphan.worker.id, report.task, report.run, StopReason.SURPLUS)
            )
        self.orphaned_runs.clear()


def is_ready(step: Step) -> bool:
    """Return True if all steps that a step depends on are done."""
    ref = step.ref
    return all(
        step.job.steps[StepRef(ref.job, ref.occurrence, earlier)].is_done
        for earlier in step.spec.after
    )


def is_stalled(run: Run, now_s: float) -> bool:
    """Return True if a run should have reported progress recently but hasn't.

    Best-effort runs and gang members are exempt, and so are long-running tasks that
    report full progress.
    """
    spec = run.task.step.spec
    if run.state is not RunState.RUNNING or spec.uses_leftover or spec.is_gang:
        return False
    if spec.is_standing and run.progress >= 100:
        return False
    return now_s - run.progress_changed_s > STALL_S
