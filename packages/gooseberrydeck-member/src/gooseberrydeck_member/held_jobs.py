"""Log lines and metrics for jobs that a successor holds back.

A predecessor may have started any task of a job that it knew, on a worker that doesn't
answer. Until such workers have answered, or their leases have expired, tasks without a
known run are not started.
"""

import structlog

from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.takeover import ReleasedJob
from gooseberrydeck_member.observability import Metrics

__all__ = ["HeldJobsReporter"]

log = structlog.get_logger(__name__)

REPORTED_AFTER_S = 0.5
"""Workers that are alive have answered a successor by then."""

MAX_LISTED_WORKERS = 10
"""Workers named in a line; the others are counted."""


class HeldJobsReporter:
    """Report that jobs are held, for which workers, and what was not found after it."""

    def __init__(self, scheduler: Scheduler, metrics: Metrics) -> None:
        """Report the jobs that ``scheduler`` holds."""
        self.takeover = scheduler.takeover
        self.metrics = metrics
        self.held_since_s: float | None = None
        self.is_reported = False
        self.released: list[ReleasedJob] = []

    def report(self, now_s: float) -> None:
        """Log that jobs are held, once, and what they lack when they are released."""
        self.released += self.takeover.take_released()
        if self.takeover.held:
            if self.held_since_s is None:
                self.held_since_s = now_s
            if not self.is_reported and now_s - self.held_since_s >= REPORTED_AFTER_S:
                self.is_reported = True
                self.report_hold(now_s)
        elif self.released:
            since_s = now_s if self.held_since_s is None else self.held_since_s
            self.report_release(now_s - since_s)
            self.held_since_s, self.is_reported, self.released = None, False, []

    def report_hold(self, now_s: float) -> None:
        """Log which workers jobs are held for, and until when at the latest."""
        workers = self.takeover.silent_workers()
        expiry_s = max((worker.lease_expiry_s for worker in workers), default=now_s)
        log.warning(
            "jobs held",
            jobs=len(self.takeover.held),
            workers=len(workers),
            open_workers=sum(worker.closed_revision is None for worker in workers),
            closed_workers=sum(
                worker.closed_revision is not None for worker in workers
            ),
            worker_ids=[worker.id for worker in workers[:MAX_LISTED_WORKERS]],
            expires_in_s=round(expiry_s - now_s, 3),
        )

    def report_release(self, held_s: float) -> None:
        """Log the end of the wait, and the long-running tasks that have no run."""
        self.metrics.held_jobs_seconds.observe(held_s)
        seconds = round(held_s, 3)
        log.info("held jobs released", jobs=len(self.released), seconds=seconds)
        for job, missing in self.released:
            if missing:
                tasks = [task[1:] for task in missing]
                log.info("runs not found", job=job, tasks=tasks)
