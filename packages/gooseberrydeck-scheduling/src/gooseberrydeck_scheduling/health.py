"""Detection of faulty workers, as opposed to jobs that fail on every worker."""

from collections.abc import Iterator
from enum import Enum

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.learning import JobFamily
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["HealthChange", "HealthTracker"]

MAX_RESTRICTED_SHARE = 0.25
"""Largest share of restricted workers up to which further ones are slowed."""

MAX_DOUBLINGS = 20
"""Maximum exponent of the backoff between probes."""


class HealthChange(Enum):
    """A change in the health of a worker."""

    SLOWED = "slowed"
    SET_ASIDE = "set_aside"
    RESTORED = "restored"


class FailureHistory:
    """The jobs that failed on a worker since its last success.

    ``jobs`` tells for each job whether it, or another job of its family, is known to
    succeed on other workers. A worker is faulty once enough of its jobs do.
    """

    __slots__ = ("attempts", "failures", "is_faulty", "jobs", "next_probe_s")

    def __init__(self) -> None:
        """Create a history without failures."""
        self.jobs: dict[JobId, bool] = {}
        self.failures = 0
        self.is_faulty = False
        self.attempts = 0
        self.next_probe_s = 0.0


class HealthTracker:
    """Successes and failures of tasks by worker and by job.

    A failure is attributed to the worker once the same job, or another job of its
    family, has succeeded on another worker. A worker with enough such failures is set
    aside. A worker with several failures in a row, whatever their cause, is slowed: it
    gets one task at a time until one succeeds. No more workers are slowed once a
    quarter of them is restricted, so that jobs that fail on every worker do not close
    the cell.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Create a tracker that considers every worker healthy."""
        self.settings = settings
        self.histories: dict[HostName, FailureHistory] = {}
        self.restricted: dict[HostName, FailureHistory] = {}
        self.failed_on: dict[JobId, set[HostName]] = {}
        self.succeeded_on: dict[JobFamily, HostName] = {}
        self.worker_count = 0
        self.changes: list[tuple[HostName, HealthChange]] = []

    def succeeded(
        self, host: HostName, job: JobId, family: JobFamily, now_s: float
    ) -> None:
        """Record a success.

        It restores the worker, and attributes earlier failures of the job to the
        workers on which they occurred.
        """
        self.succeeded_on[family] = host
        self.histories.pop(host, None)
        if self.restricted.pop(host, None) is not None:
            self.changes.append((host, HealthChange.RESTORED))
        for other in self.failed_on.get(job, ()):
            history = self.histories.get(other) or self.restricted.get(other)
            if history is not None:
                history.jobs[job] = True
                self.evaluate(other, history, now_s)

    def failed(
        self, host: HostName, job: JobId, family: JobFamily, now_s: float
    ) -> None:
        """Record a failure, after which the worker may be slowed or set aside."""
        self.failed_on.setdefault(job, set()).add(host)
        is_attributable = self.succeeded_on.get(family, host) != host
        history = self.restricted.get(host)
        if history is None:
            history = self.histories.setdefault(host, FailureHistory())
        elif history.next_probe_s <= now_s:
            self.schedule_probe(history, now_s)
        history.failures += 1
        history.jobs[job] = history.jobs.get(job, False) or is_attributable
        self.evaluate(host, history, now_s)

    def evaluate(self, host: HostName, history: FailureHistory, now_s: float) -> None:
        """Set aside or slow a worker if its failures require it."""
        if history.is_faulty:
            return
        if sum(history.jobs.values()) >= self.settings.suspect_jobs:
            history.is_faulty = True
            history.attempts = 0
            self.restrict(host, history, HealthChange.SET_ASIDE, now_s)
        elif host not in self.restricted and self.should_slow(history):
            self.restrict(host, history, HealthChange.SLOWED, now_s)

    def should_slow(self, history: FailureHistory) -> bool:
        """Return whether to limit a worker to one task at a time."""
        if len(self.restricted) + 1 > MAX_RESTRICTED_SHARE * self.worker_count:
            return False
        return history.failures >= self.settings.slow_failures

    def restrict(
        self,
        host: HostName,
        history: FailureHistory,
        change: HealthChange,
        now_s: float,
    ) -> None:
        """Close a worker to new tasks until its next probe."""
        self.histories.pop(host, None)
        self.restricted[host] = history
        self.schedule_probe(history, now_s)
        self.changes.append((host, change))

    def take_changes(self) -> list[tuple[HostName, HealthChange]]:
        """Return the health changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def schedule_probe(self, history: FailureHistory, now_s: float) -> None:
        """Schedule the next probe of a worker with exponential backoff."""
        settings = self.settings
        first_s = settings.set_aside_s if history.is_faulty else settings.slow_s
        delay_s = first_s * 2.0 ** min(history.attempts, MAX_DOUBLINGS)
        history.attempts += 1
        history.next_probe_s = now_s + min(delay_s, settings.max_set_aside_s)

    def due_probes(self, now_s: float) -> Iterator[HostName]:
        """Yield the restricted workers that may be given one task as a probe."""
        for host, history in self.restricted.items():
            if history.next_probe_s <= now_s:
                yield host

    def jobs_to_refund(self, host: HostName) -> tuple[JobId, ...]:
        """Return the jobs that failed on a worker that was set aside."""
        history = self.restricted.get(host)
        return tuple(history.jobs) if history else ()

    def forget_job(self, job: JobId) -> None:
        """Discard the failures of a job that has ended."""
        self.failed_on.pop(job, None)

    def forget_worker(self, host: HostName) -> None:
        """Discard the failures of a removed worker."""
        self.histories.pop(host, None)
        self.restricted.pop(host, None)
