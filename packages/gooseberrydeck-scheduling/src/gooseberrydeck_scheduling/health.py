"""Tell workers that fail what others run from jobs that fail everywhere."""

from collections.abc import Iterator
from enum import Enum

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.learning import JobFamily
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["HealthTracker", "HealthChange"]

MAX_SET_ASIDE_SHARE = 0.25
MAX_DOUBLINGS = 20


class HealthChange(Enum):
    """How the trust in a worker has changed."""

    SLOWED = "slowed"
    SET_ASIDE = "set_aside"
    RESTORED = "restored"


class FailureHistory:
    """The jobs that failed on a worker since its last success."""

    __slots__ = ("attempts", "failures", "is_faulty", "jobs", "probe_s")

    def __init__(self) -> None:
        """Begin without failures."""
        self.jobs: dict[JobId, bool] = {}
        """Whether the job, or one of its kind, is known to succeed elsewhere."""
        self.failures = 0
        self.is_faulty = False
        self.attempts = 0
        self.probe_s = 0.0


class HealthTracker:
    """Outcomes by worker and by job.

    A failure speaks against a worker once the same job, or one of its family, has
    succeeded on another; enough of these set the worker aside. A worker on which a few
    tasks in a row have failed, whatever the reason, is slowed meanwhile: it gets one
    task at a time until one succeeds. That holds for a quarter of the workers at most,
    so that jobs that fail everywhere do not close the cell.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Begin with every worker trusted."""
        self.settings = settings
        self.histories: dict[HostName, FailureHistory] = {}
        self.set_aside: dict[HostName, FailureHistory] = {}
        self.failed_on: dict[JobId, set[HostName]] = {}
        self.succeeded_on: dict[JobFamily, HostName] = {}
        self.worker_count = 0
        self.changes: list[tuple[HostName, HealthChange]] = []

    def succeeded(
        self, host: HostName, job: JobId, family: JobFamily, now_s: float
    ) -> None:
        """Take in a success; it is a witness against where the job failed."""
        self.succeeded_on[family] = host
        self.histories.pop(host, None)
        if self.set_aside.pop(host, None) is not None:
            self.changes.append((host, HealthChange.RESTORED))
        for other in self.failed_on.get(job, ()):
            history = self.histories.get(other) or self.set_aside.get(other)
            if history is not None:
                history.jobs[job] = True
                self.evaluate(other, history, now_s)

    def failed(
        self, host: HostName, job: JobId, family: JobFamily, now_s: float
    ) -> None:
        """Take in a failure; it may slow the worker or set it aside."""
        self.failed_on.setdefault(job, set()).add(host)
        is_attributable = self.succeeded_on.get(family, host) != host
        history = self.set_aside.get(host)
        if history is None:
            history = self.histories.setdefault(host, FailureHistory())
        elif history.probe_s <= now_s:
            self.schedule_probe(history, now_s)
        history.failures += 1
        history.jobs[job] = history.jobs.get(job, False) or is_attributable
        self.evaluate(host, history, now_s)

    def evaluate(self, host: HostName, history: FailureHistory, now_s: float) -> None:
        """Set a worker aside or slow it, if the evidence suffices."""
        if history.is_faulty:
            return
        if sum(history.jobs.values()) >= self.settings.suspect_jobs:
            history.is_faulty = True
            history.attempts = 0
            self.restrict(host, history, HealthChange.SET_ASIDE, now_s)
        elif host not in self.set_aside and self.should_slow(history):
            self.restrict(host, history, HealthChange.SLOWED, now_s)

    def should_slow(self, history: FailureHistory) -> bool:
        """Tell whether to give a worker one task at a time."""
        if len(self.set_aside) + 1 > MAX_SET_ASIDE_SHARE * self.worker_count:
            return False
        return history.failures >= self.settings.slow_failures

    def restrict(
        self,
        host: HostName,
        history: FailureHistory,
        change: HealthChange,
        now_s: float,
    ) -> None:
        """Give a worker nothing until its next probe."""
        self.histories.pop(host, None)
        self.set_aside[host] = history
        self.schedule_probe(history, now_s)
        self.changes.append((host, change))

    def take_changes(self) -> list[tuple[HostName, HealthChange]]:
        """Return the verdicts since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def schedule_probe(self, history: FailureHistory, now_s: float) -> None:
        """Double the time until the next probe."""
        settings = self.settings
        first_s = settings.set_aside_s if history.is_faulty else settings.slow_s
        delay_s = first_s * 2.0 ** min(history.attempts, MAX_DOUBLINGS)
        history.attempts += 1
        history.probe_s = now_s + min(delay_s, settings.max_set_aside_s)

    def due_probes(self, now_s: float) -> Iterator[HostName]:
        """Yield the workers that may be given one task to show themselves."""
        for host, history in self.set_aside.items():
            if history.probe_s <= now_s:
                yield host

    def jobs_to_refund(self, host: HostName) -> tuple[JobId, ...]:
        """Return the jobs whose failures a worker that was set aside explains."""
        history = self.set_aside.get(host)
        return tuple(history.jobs) if history else ()

    def forget_job(self, job: JobId) -> None:
        """Drop what was noted of a job that has ended."""
        self.failed_on.pop(job, None)

    def forget_worker(self, host: HostName) -> None:
        """Drop what was noted of a worker that has been removed."""
        self.histories.pop(host, None)
        self.set_aside.pop(host, None)
