"""What a worker's lists say about the runs that it is believed to have."""

from gooseberrydeck_fleet.ends import EndHandler, LossReason
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import (
    MAX_TASK_LEASE_S,
    Run,
    RunState,
    StopReason,
    Worker,
)
from gooseberrydeck_fleet.worker_calls import HoldReply, RunReport

__all__ = ["HoldHandler", "StrayRun"]

MAX_LISTED_ENDS = 500
"""A worker lists at most this many ends at once; a full list may hide others."""


BEHIND_FACTOR = 1.5
"""A run that takes longer than this times the usual, and has not come far, is slow."""

BEHIND_PERCENT = 50
"""How far a run must have come not to be behind."""


class StrayRun:
    """A run that a worker lists of a job that is not known any more."""

    __slots__ = ("report", "worker")

    def __init__(self, worker: Worker, report: RunReport) -> None:
        """Keep what has to be stopped."""
        self.worker = worker
        self.report = report


class HoldHandler:
    """Compare a worker's lists with the ledger."""

    def __init__(self, ledger: Ledger, ends: EndHandler) -> None:
        """Act on one ledger."""
        self.ledger = ledger
        self.ends = ends

    def new_life(self, worker: Worker, born_ms: int) -> None:
        """Take in that a worker has restarted: what ran there is gone."""
        self.lose_runs(worker, LossReason.WORKER_GONE)
        worker.born_ms = born_ms
        worker.last_end_number = 0
        worker.lease_until_ms = 0
        self.ledger.health.forget(worker.id)
        self.ledger.speeds.forget(worker.id)

    def lose_runs(self, worker: Worker, reason: LossReason) -> list[Run]:
        """Count every run of a worker as ended."""
        runs = list(worker.runs.values())
        for run in runs:
            self.ends.lost(run, reason)
        return runs

    def answered(
        self, worker: Worker, reply: HoldReply, now_s: float
    ) -> tuple[list[Run], list[StrayRun]]:
        """Take in the lists; return the ended runs and those that nobody knows."""
        if is_overtaken(worker, reply):
            return [], []
        if worker.born_ms != reply.born_ms:
            if worker.born_ms:
                self.new_life(worker, reply.born_ms)
            worker.born_ms = reply.born_ms
        if not worker.is_adopted:
            # An earlier holder may have granted its leases just before this answer.
            worker.grant(reply.clock_ms + int(MAX_TASK_LEASE_S * 1000))
        worker.heard(reply.clock_ms, now_s)
        worker.is_reachable = True
        strays = self.take_runs(worker, reply, now_s)
        worker.has_strays = bool(strays)
        ended = self.take_ends(worker, reply, now_s)
        if len(reply.ends) < MAX_LISTED_ENDS:
            self.find_missing(worker, reply)
        worker.is_adopted = True
        return ended, strays

    def take_runs(
        self, worker: Worker, reply: HoldReply, now_s: float
    ) -> list[StrayRun]:
        """Update the runs that are listed, and adopt those of an earlier holder."""
        strays = []
        for report in reply.runs:
            run = worker.runs.get((report.task, report.run))
            if run is None:
                run = self.adopt(worker, report, now_s)
            if run is None:
                strays.append(StrayRun(worker, report))
                continue
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
            if report.progress != run.progress:
                run.progress = report.progress
                run.progress_changed_s = now_s
                self.learn_slowness(run, now_s)
            run.load = report.load
            run.checkpoint = report.checkpoint or run.checkpoint
            self.ledger.mark_begun(run.task.step.job)
        return strays

    def learn_slowness(self, run: Run, now_s: float) -> None:
        """Take a run that is far behind for what it will have taken in the end."""
        durations = run.task.step.durations
        typical_s = durations.typical_s()
        elapsed_s = now_s - run.started_s
        is_late = typical_s is not None and elapsed_s > BEHIND_FACTOR * typical_s
        if run.is_learned or not is_late or not 0 < run.progress < BEHIND_PERCENT:
            return
        # Once is enough: the end of the run would tell the same again.
        run.is_learned = True
        seconds = elapsed_s * 100 / run.progress
        worker = run.worker
        self.ledger.speeds.observe(worker.id, worker.entry.kind, seconds, durations)

    def adopt(self, worker: Worker, report: RunReport, now_s: float) -> Run | None:
        """Count a run that an earlier holder started."""
        task = self.ledger.find_task(report.task)
        if task is None:
            return None
        run = self.ledger.add_run(task, worker, report.run, now_s)
        run.state = RunState.RUNNING
        task.is_known = self.ledger.is_sole
        job = task.step.job
        if (
            job.state.is_final
            or task.is_done
            or (len(task.runs) > 1 and not task.step.spec.is_speculative)
        ):
            self.ends.request_stop(run, StopReason.SURPLUS)
        return run

    def take_ends(self, worker: Worker, reply: HoldReply, now_s: float) -> list[Run]:
        """Apply the ends that were not seen before."""
        ended = []
        for end in reply.ends:
            if end.number <= worker.last_end_number:
                continue
            worker.last_end_number = end.number
            run = self.ends.ended(worker.id, end, now_s)
            if run is not None:
                ended.append(run)
        return ended

    def find_missing(self, worker: Worker, reply: HoldReply) -> None:
        """Drop runs that the worker lists neither as running nor as ended.

        A start is refused once the worker's clock has passed the time until which it
        was granted, so a run that is missing after that time was never started.
        """
        listed = {(report.task, report.run) for report in reply.runs}
        for key, run in list(worker.runs.items()):
            if key in listed or reply.clock_ms <= run.start_until_ms:
                continue
            if run.state is RunState.STARTING:
                continue
            known = run.state is RunState.RUNNING or run.progress > 0
            reason = LossReason.NOT_LISTED if known else LossReason.NEVER_STARTED
            self.ends.lost(run, reason)


def is_overtaken(worker: Worker, reply: HoldReply) -> bool:
    """Tell whether a later answer of the worker, on another connection, came before."""
    return worker.born_ms == reply.born_ms and reply.clock_ms < worker.clock_ms
