"""Reconciliation of the ledger with the runs and ends that workers report."""

from collections.abc import Container

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.losses import LossReason
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.start_permission import run_adopted
from gooseberrydeck_fleet.state import (
    LATE_CALL_S,
    MAX_TASK_LEASE_S,
    Run,
    RunState,
    StopReason,
    Worker,
)
from gooseberrydeck_fleet.unknown_jobs import UnknownJobs
from gooseberrydeck_fleet.worker_calls import PollReply, RunReport

__all__ = ["HELD_POLL_S", "OrphanedRun", "PollReplyHandler", "is_outdated"]

MAX_REPORTED_ENDS = 500
"""Maximum number of ends in one reply of a worker; a full list may hide more."""


SLOW_RUN_FACTOR = 1.5
"""A run counts as slow if it takes longer than this times the typical duration.

Its progress must also be below ``SLOW_RUN_MAX_PROGRESS_PERCENT``.
"""

SLOW_RUN_MAX_PROGRESS_PERCENT = 50
"""A run with at least this much progress doesn't count as slow."""


HELD_POLL_S = 1.7
"""Time after a worker's first reply in which it may still answer a predecessor's poll.

A poll is held for 1 s, and its answer counts for 0.7 s more.
"""


class OrphanedRun:
    """A reported run that belongs to no known task and has to be stopped."""

    __slots__ = ("report", "worker")

    def __init__(self, worker: Worker, report: RunReport) -> None:
        """Keep a run that ``worker`` has reported."""
        self.worker = worker
        self.report = report


class PollReplyHandler:
    """Apply the replies of workers to the ledger."""

    def __init__(
        self,
        ledger: Ledger,
        ends: RunEndHandler,
        unknown_jobs: UnknownJobs,
        max_lease_s: float,
    ) -> None:
        """Create a handler that keeps reports of unknown jobs in ``unknown_jobs``.

        ``max_lease_s`` is the longest lease that workers grant.
        """
        self.ledger = ledger
        self.ends = ends
        self.unknown_jobs = unknown_jobs
        self.max_lease_s = max_lease_s

    def worker_restarted(self, worker: Worker, reply: PollReply) -> None:
        """Reset the state of a worker by the first conclusive reply of a new process.

        The runs of the former process are lost. The new process may have executed start
        requests to the former one, and lists those; it executes no more of them.
        """
        listed = {(report.task, report.run) for report in reply.runs}
        listed.update((end.task, end.run) for end in reply.ends)
        are_all_ends_listed = len(reply.ends) < MAX_REPORTED_ENDS
        for key, run in list(worker.runs.items()):
            run.start_until_ms = 0
            if key not in listed and are_all_ends_listed:
                self.ends.run_lost(run, LossReason.WORKER_GONE)
        worker.last_end_number = 0
        worker.unresolved_ends.clear()
        # A deadline on the former process' clock grants the longest lease. A successor
        # has to know that before anything starts.
        worker.lease_until_ms = reply.clock_ms + int(self.max_lease_s * 1000)
        worker.longest_lease_until_ms = worker.lease_until_ms
        worker.may_hold_longest_lease = True
        worker.is_recorded = False
        self.ledger.health.forget(worker.id)
        self.ledger.speeds.forget(worker.id)
        # Steps need new tickets for the worker.
        self.ledger.freed[worker.id] = worker

    def lose_runs(
        self, worker: Worker, reason: LossReason, kept: Container[Run] = ()
    ) -> list[Run]:
        """Record the runs of a worker except ``kept`` as lost, and return them."""
        self.unknown_jobs.replace_runs(worker, [], 0.0)
        worker.has_orphaned_runs = False
        runs = [run for run in worker.runs.values() if run not in kept]
        for run in runs:
            self.ends.run_lost(run, reason)
        return runs

    def handle_reply(
        self, worker: Worker, reply: PollReply, now_s: float
    ) -> tuple[list[Run], list[OrphanedRun]]:
        """Apply a reply; return the runs that ended and the orphaned runs."""
        if is_outdated(worker, reply):
            return [], []
        if worker.born_ms != reply.born_ms:
            if worker.born_ms:
                self.worker_restarted(worker, reply)
            worker.born_ms = reply.born_ms
        if not worker.has_reported or not worker.last_reply_s:
            # A predecessor may have extended the leases just before this reply.
            lease_s = MAX_TASK_LEASE_S
            if self.may_hold_longest_lease(worker, reply):
                lease_s = max(lease_s, self.max_lease_s)
                if not worker.may_hold_longest_lease:
                    # A successor has to know that before anything starts.
                    worker.may_hold_longest_lease = True
                    worker.is_recorded = False
                worker.longest_lease_until_ms = reply.clock_ms + int(lease_s * 1000)
            worker.grant(reply.clock_ms + int(lease_s * 1000))
            if self.ledger.may_predecessor_act:
                worker.fenced_from_s = now_s + HELD_POLL_S
        elif 0 < worker.longest_lease_until_ms < reply.clock_ms:
            # The record needn't say so at once: a successor only waits longer.
            worker.may_hold_longest_lease = False
            worker.longest_lease_until_ms = 0
        worker.record_reply(reply.clock_ms, now_s)
        if not worker.is_reachable:
            worker.is_reachable = True
            worker.has_lapsed = False
            worker.answers_since_s = now_s
        worker.is_restarting = False
        orphaned_runs = self.update_runs(worker, reply, now_s)
        ended = self.apply_ends(worker, reply, now_s)
        if len(reply.ends) < MAX_REPORTED_ENDS:
            self.remove_missing_runs(worker, reply)
            worker.has_reported = True
        return ended, orphaned_runs

    def may_hold_longest_lease(self, worker: Worker, reply: PollReply) -> bool:
        """Return True if a late call to a former process may have extended the leases.

        The worker's clock, which starts with its process, rules that out after a while.
        """
        is_young = reply.clock_ms < (LATE_CALL_S + self.max_lease_s) * 1000
        has_new_process = worker.may_have_restarted and is_young
        return worker.may_hold_longest_lease or has_new_process

    def update_runs(
        self, worker: Worker, reply: PollReply, now_s: float
    ) -> list[OrphanedRun]:
        """Update reported runs, adopt a predecessor's, and return the orphaned ones.

        Runs of unknown jobs are neither; they are kept until the job is known.
        """
        orphaned_runs = []
        unknown = []
        for report in reply.runs:
            run = worker.runs.get((report.task, report.run))
            if run is None and not self.ledger.knows(report.task.job):
                unknown.append(report)
                continue
            if run is None:
                run = self.adopt(worker, report, now_s)
            if run is None:
                orphaned_runs.append(OrphanedRun(worker, report))
                continue
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
            if report.progress != run.progress:
                run.report_progress(report.progress, now_s)
                self.observe_slow_run(run, now_s)
            run.load = report.load
            run.checkpoint = report.checkpoint or run.checkpoint
            self.ledger.mark_running(run.task.step.job)
        self.unknown_jobs.replace_runs(worker, unknown, now_s)
        worker.has_orphaned_runs = bool(orphaned_runs or unknown)
        return orphaned_runs

    def observe_slow_run(self, run: Run, now_s: float) -> None:
        """Use the projected duration of a run that is far behind as a sample of speed.

        A slow worker is thus recognized before its run ends.
        """
        durations = run.task.step.durations
        typical_s = durations.typical_s()
        elapsed_s = now_s - run.started_s
        is_late = typical_s is not None and elapsed_s > SLOW_RUN_FACTOR * typical_s
        if (
            run.skip_duration_sample
            or not is_late
            or not 0 < run.progress < SLOW_RUN_MAX_PROGRESS_PERCENT
        ):
            return
        # One sample is enough: the end of the run would only repeat it.
        run.skip_duration_sample = True
        seconds = elapsed_s * 100 / run.progress
        worker = run.worker
        self.ledger.speeds.observe(worker.id, worker.entry.kind, seconds, durations)

    def adopt(self, worker: Worker, report: RunReport, now_s: float) -> Run | None:
        """Add a run that a predecessor started; return None if its task is unknown."""
        self.ledger.open_reported(report.task)
        task = self.ledger.find_task(report.task)
        if task is None:
            return None
        run = self.ledger.add_run(task, worker, report.run, now_s)
        run.state = RunState.RUNNING
        run.first_progress = None
        run_adopted(self.ledger, run, now_s)
        job = task.step.job
        self.ledger.touch(job)
        self.ledger.finished.pop(job.id, None)
        if (
            job.state.is_final
            or task.is_done
            or (len(task.runs) > 1 and not task.step.spec.is_speculative)
        ):
            self.ends.request_stop(run, StopReason.SURPLUS)
        return run

    def apply_ends(self, worker: Worker, reply: PollReply, now_s: float) -> list[Run]:
        """Apply the ends that were not seen before, and return the known runs."""
        ended = []
        for end in reply.ends:
            if end.number <= worker.last_end_number:
                continue
            worker.last_end_number = end.number
            if not self.ledger.knows(end.task.job):
                self.unknown_jobs.add_end(worker, end, now_s)
                continue
            self.ledger.open_reported(end.task)
            run = self.ends.run_ended(worker.id, end, now_s)
            if run is not None:
                ended.append(run)
        return ended

    def apply_unknown(self, job: JobId) -> None:
        """Apply the reports of a job that has just become known."""
        ends, runs = self.unknown_jobs.take(job)
        for reported in runs:
            worker = reported.worker
            if self.ledger.workers.get(worker.id) is worker:
                self.adopt(worker, reported.report, reported.received_s)
        for each in ends:
            self.ledger.open_reported(each.end.task)
            self.ends.run_ended(each.worker.id, each.end, each.received_s)

    def drop_unknown(self, job: JobId) -> list[OrphanedRun]:
        """Forget the reports of a job that has ended, and return its runs."""
        _, runs = self.unknown_jobs.take(job)
        return [OrphanedRun(each.worker, each.report) for each in runs]

    def remove_missing_runs(self, worker: Worker, reply: PollReply) -> None:
        """Remove runs that a worker reports neither as running nor as ended.

        A worker refuses a start once its clock has passed ``start_until_ms``, so a run
        that is missing after that time can't start any more.
        """
        listed = {(report.task, report.run) for report in reply.runs}
        for key, run in list(worker.runs.items()):
            if key in listed or reply.clock_ms <= run.start_until_ms:
                continue
            if run.state is RunState.STARTING:
                continue
            known = run.state is RunState.RUNNING or run.progress > 0
            reason = LossReason.NOT_LISTED if known else LossReason.NEVER_STARTED
            self.ends.run_lost(run, reason)


def is_outdated(worker: Worker, reply: PollReply) -> bool:
    """Return True if a later reply came first, over another connection.

    Of two replies of the same millisecond, the one with the newer end is the later one.
    """
    if worker.born_ms != reply.born_ms or reply.clock_ms > worker.clock_ms:
        return False
    last_end = max((end.number for end in reply.ends), default=0)
    return reply.clock_ms < worker.clock_ms or last_end < worker.last_end_number
