"""Tell workers that fail what others run from jobs that fail everywhere."""

from collections.abc import Iterator
from enum import Enum

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_scheduling.learning import Family
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["HealthBook", "Verdict"]

WEAK_EVIDENCE_FACTOR = 4
MAX_SHARE_SET_ASIDE = 0.25
SMOOTHING = 0.02


class Verdict(Enum):
    """How the trust in a worker has changed."""

    SET_ASIDE = "set_aside"
    RESTORED = "restored"


class Suspicion:
    """The jobs that failed on a worker since its last success."""

    __slots__ = ("attempts", "jobs", "probe_s")

    def __init__(self) -> None:
        """Begin without failures."""
        self.jobs: dict[JobId, bool] = {}
        """Whether the job, or one of its kind, is known to succeed elsewhere."""
        self.attempts = 0
        self.probe_s = 0.0


class HealthBook:
    """Outcomes by worker and by job.

    A failure speaks against a worker once the same job, or one of its family, has
    succeeded on another. Failures without such a witness count only in number, and
    only while most tasks of the cell succeed.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Begin with every worker trusted."""
        self.settings = settings
        self.suspicions: dict[HostName, Suspicion] = {}
        self.set_aside: dict[HostName, Suspicion] = {}
        self.failed_on: dict[JobId, set[HostName]] = {}
        self.succeeded_on: dict[Family, HostName] = {}
        self.success_share = 1.0
        self.workers = 0
        self.changes: list[tuple[HostName, Verdict]] = []

    def succeeded(
        self, host: HostName, job: JobId, family: Family, now_s: float
    ) -> None:
        """Take in a success; it is a witness against where the job failed."""
        self.success_share += SMOOTHING * (1.0 - self.success_share)
        self.succeeded_on[family] = host
        self.suspicions.pop(host, None)
        if self.set_aside.pop(host, None) is not None:
            self.changes.append((host, Verdict.RESTORED))
        for other in self.failed_on.get(job, ()):
            suspicion = self.suspicions.get(other)
            if suspicion is not None:
                suspicion.jobs[job] = True
                self.judge(other, now_s)

    def failed(self, host: HostName, job: JobId, family: Family, now_s: float) -> None:
        """Take in a failure; it may set the worker aside."""
        self.success_share -= SMOOTHING * self.success_share
        self.failed_on.setdefault(job, set()).add(host)
        probed = self.set_aside.get(host)
        if probed is not None:
            self.postpone(probed, now_s)
            return
        suspicion = self.suspicions.setdefault(host, Suspicion())
        witness = self.succeeded_on.get(family, host) != host
        suspicion.jobs[job] = suspicion.jobs.get(job, False) or witness
        self.judge(host, now_s)

    def judge(self, host: HostName, now_s: float) -> None:
        """Set a worker aside if the evidence suffices."""
        suspicion = self.suspicions[host]
        if not self.is_convicted(suspicion):
            return
        del self.suspicions[host]
        self.set_aside[host] = suspicion
        self.postpone(suspicion, now_s)
        self.changes.append((host, Verdict.SET_ASIDE))

    def take_changes(self) -> list[tuple[HostName, Verdict]]:
        """Return the verdicts since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def is_convicted(self, suspicion: Suspicion) -> bool:
        """Tell whether the failures speak against the worker."""
        strong = sum(suspicion.jobs.values())
        if strong >= self.settings.suspect_jobs:
            return True
        if len(self.set_aside) + 1 > MAX_SHARE_SET_ASIDE * self.workers:
            return False
        weak_bound = self.settings.suspect_jobs * WEAK_EVIDENCE_FACTOR
        return len(suspicion.jobs) >= weak_bound and self.success_share > 0.5

    def postpone(self, suspicion: Suspicion, now_s: float) -> None:
        """Double the time until the next probe."""
        settings = self.settings
        delay_s = settings.set_aside_s * 2.0**suspicion.attempts
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
