"""Tell workers that fail what others run from jobs that fail everywhere."""

from collections.abc import Iterator
from enum import Enum

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.learning import Family
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["HealthBook", "Verdict"]

MAX_SHARE_SET_ASIDE = 0.25
MAX_DOUBLINGS = 20


class Verdict(Enum):
    """How the trust in a worker has changed."""

    SLOWED = "slowed"
    SET_ASIDE = "set_aside"
    RESTORED = "restored"


class Suspicion:
    """The jobs that failed on a worker since its last success."""

    __slots__ = ("attempts", "failures", "is_convicted", "jobs", "probe_s")

    def __init__(self) -> None:
        """Begin without failures."""
        self.jobs: dict[JobId, bool] = {}
        """Whether the job, or one of its kind, is known to succeed elsewhere."""
        self.failures = 0
        self.is_convicted = False
        self.attempts = 0
        self.probe_s = 0.0


class HealthBook:
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
        self.suspicions: dict[HostName, Suspicion] = {}
        self.set_aside: dict[HostName, Suspicion] = {}
        self.failed_on: dict[JobId, set[HostName]] = {}
        self.succeeded_on: dict[Family, HostName] = {}
        self.workers = 0
        self.changes: list[tuple[HostName, Verdict]] = []

    def succeeded(
        self, host: HostName, job: JobId, family: Family, now_s: float
    ) -> None:
        """Take in a success; it is a witness against where the job failed."""
        self.succeeded_on[family] = host
        self.suspicions.pop(host, None)
        if self.set_aside.pop(host, None) is not None:
            self.changes.append((host, Verdict.RESTORED))
        for other in self.failed_on.get(job, ()):
            suspicion = self.suspicions.get(other) or self.set_aside.get(other)
            if suspicion is not None:
                suspicion.jobs[job] = True
                self.judge(other, suspicion, now_s)

    def failed(self, host: HostName, job: JobId, family: Family, now_s: float) -> None:
        """Take in a failure; it may slow the worker or set it aside."""
        self.failed_on.setdefault(job, set()).add(host)
        witness = self.succeeded_on.get(family, host) != host
        suspicion = self.set_aside.get(host)
        if suspicion is None:
            suspicion = self.suspicions.setdefault(host, Suspicion())
        elif suspicion.probe_s <= now_s:
            self.postpone(suspicion, now_s)
        suspicion.failures += 1
        suspicion.jobs[job] = suspicion.jobs.get(job, False) or witness
        self.judge(host, suspicion, now_s)

    def judge(self, host: HostName, suspicion: Suspicion, now_s: float) -> None:
        """Set a worker aside or slow it, if the evidence suffices."""
        if suspicion.is_convicted:
            return
        if sum(suspicion.jobs.values()) >= self.settings.suspect_jobs:
            suspicion.is_convicted = True
            suspicion.attempts = 0
            self.close(host, suspicion, Verdict.SET_ASIDE, now_s)
        elif host not in self.set_aside and self.is_slow(suspicion):
            self.close(host, suspicion, Verdict.SLOWED, now_s)

    def is_slow(self, suspicion: Suspicion) -> bool:
        """Tell whether to give a worker one task at a time."""
        if len(self.set_aside) + 1 > MAX_SHARE_SET_ASIDE * self.workers:
            return False
        return suspicion.failures >= self.settings.slow_failures

    def close(
        self, host: HostName, suspicion: Suspicion, verdict: Verdict, now_s: float
    ) -> None:
        """Give a worker nothing until its next probe."""
        self.suspicions.pop(host, None)
        self.set_aside[host] = suspicion
        self.postpone(suspicion, now_s)
        self.changes.append((host, verdict))

    def take_changes(self) -> list[tuple[HostName, Verdict]]:
        """Return the verdicts since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def postpone(self, suspicion: Suspicion, now_s: float) -> None:
        """Double the time until the next probe."""
        settings = self.settings
        first_s = settings.set_aside_s if suspicion.is_convicted else settings.slow_s
        delay_s = first_s * 2.0 ** min(suspicion.attempts, MAX_DOUBLINGS)
        suspicion.attempts += 1
        suspicion.probe_s = now_s + min(delay_s, settings.max_set_aside_s)

    def due_probes(self, now_s: float) -> Iterator[HostName]:
        """Yield the workers that may be given one task to show themselves."""
        for host, suspicion in self.set_aside.items():
            if suspicion.probe_s <= now_s:
                yield host

    def refunds(self, host: HostName) -> tuple[JobId, ...]:
        """Return the jobs whose failures a worker that was set aside explains."""
        suspicion = self.set_aside.get(host)
        return tuple(suspicion.jobs) if suspicion else ()

    def forget_job(self, job: JobId) -> None:
        """Drop what was noted of a job that has ended."""
        self.failed_on.pop(job, None)

    def forget_worker(self, host: HostName) -> None:
        """Drop what was noted of a worker that has been removed."""
        self.suspicions.pop(host, None)
        self.set_aside.pop(host, None)
