"""What workers report of jobs that the scheduler doesn't know.

Such a job has ended under a predecessor, or its record is on its way: a predecessor may
have started it after the successor had read the stored jobs. Until the store has shown
which, the job's ends are kept and not acknowledged, and its runs go on.
"""

from typing import NamedTuple

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.state import Worker
from gooseberrydeck_fleet.worker_calls import EndReport, RunReport

__all__ = ["ReportedEnd", "ReportedRun", "UnknownJobs"]


class ReportedEnd(NamedTuple):
    """An end of an unknown job, and when it was received in monotonic seconds."""

    worker: Worker
    born_ms: int
    end: EndReport
    received_s: float


class ReportedRun(NamedTuple):
    """A run of an unknown job that a worker has listed in its last reply."""

    worker: Worker
    report: RunReport
    received_s: float


class UnknownJobs:
    """The unknown jobs of which workers have reported ends or runs."""

    def __init__(self) -> None:
        """Start without reports."""
        self.ends: dict[JobId, list[ReportedEnd]] = {}
        self.runs: dict[JobId, list[ReportedRun]] = {}
        self.lookups_due: dict[JobId, None] = {}
        self.lookups_in_flight: set[JobId] = set()

    def __contains__(self, job: JobId) -> bool:
        """Return True if something was reported of a job."""
        return job in self.ends or job in self.runs

    def add_end(self, worker: Worker, end: EndReport, now_s: float) -> None:
        """Keep an end, which must not be acknowledged meanwhile."""
        reported = ReportedEnd(worker, worker.born_ms, end, now_s)
        self.ends.setdefault(end.task.job, []).append(reported)
        worker.unresolved_ends.add(end.number)
        self.request_lookup(end.task.job)

    def replace_runs(
        self, worker: Worker, reports: list[RunReport], now_s: float
    ) -> None:
        """Keep the runs of unknown jobs that a worker lists now."""
        for job, runs in list(self.runs.items()):
            kept = [each for each in runs if each.worker is not worker]
            if kept:
                self.runs[job] = kept
            else:
                del self.runs[job]
        for report in reports:
            run = ReportedRun(worker, report, now_s)
            self.runs.setdefault(report.task.job, []).append(run)
            self.request_lookup(report.task.job)

    def take(self, job: JobId) -> tuple[list[ReportedEnd], list[ReportedRun]]:
        """Remove and return the reports of a job, whose ends may be acknowledged."""
        self.lookups_due.pop(job, None)
        ends = self.ends.pop(job, [])
        for reported in ends:
            if reported.worker.born_ms == reported.born_ms:
                reported.worker.unresolved_ends.discard(reported.end.number)
        return ends, self.runs.pop(job, [])

    # Lookups in the store.

    def request_lookup(self, job: JobId) -> None:
        """Have a job looked up, unless that is under way."""
        if job not in self.lookups_in_flight:
            self.lookups_due[job] = None

    def take_lookups(self) -> list[JobId]:
        """Return the jobs to look up; each lookup has to be completed."""
        jobs = list(self.lookups_due)
        self.lookups_in_flight.update(jobs)
        self.lookups_due.clear()
        return jobs

    def lookup_completed(self, job: JobId) -> None:
        """Record that a lookup has succeeded or failed; a failed one is repeated."""
        self.lookups_in_flight.discard(job)
        if job in self:
            self.lookups_due[job] = None
