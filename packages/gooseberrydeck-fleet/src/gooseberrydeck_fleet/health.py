"""Which workers to leave alone for a while.

Answers workers that fail, shed or stall what they are given while they look healthy.
"""

from gooseberrydeck_fleet.ids import WorkerId

__all__ = ["HealthTracker"]

FAILURES_TO_QUARANTINE = 2
"""Ends in a row that failed; one alone is as likely the task's own fault."""

FIRST_QUARANTINE_S = 1.5
"""How long a worker is left alone at first; long enough for short faults to pass."""

MAX_QUARANTINE_S = 12.0
"""The longest pause between two probes of a worker that goes on failing."""


class WorkerHealth:
    """The recent ends of one worker."""

    __slots__ = ("failures", "next_quarantine_s", "until_s")

    def __init__(self) -> None:
        """Begin healthy."""
        self.failures = 0
        self.next_quarantine_s = FIRST_QUARANTINE_S
        self.until_s = 0.0


class HealthTracker:
    """Set workers aside, each time for longer, until they end something well."""

    def __init__(self) -> None:
        """Begin with every worker healthy."""
        self.workers: dict[WorkerId, WorkerHealth] = {}

    def is_usable(self, worker: WorkerId, now_s: float) -> bool:
        """Tell whether a worker may be given work."""
        health = self.workers.get(worker)
        return health is None or health.until_s <= now_s

    def record_success(self, worker: WorkerId) -> None:
        """Take in that a run ended well."""
        self.workers.pop(worker, None)

    def record_failure(self, worker: WorkerId, now_s: float) -> None:
        """Take in that a run failed which has not failed elsewhere."""
        health = self.workers.setdefault(worker, WorkerHealth())
        health.failures += 1
        if health.failures >= FAILURES_TO_QUARANTINE:
            self.quarantine(worker, now_s)

    def quarantine(self, worker: WorkerId, now_s: float) -> None:
        """Leave a worker alone, longer than the last time."""
        health = self.workers.setdefault(worker, WorkerHealth())
        if health.until_s > now_s:
            return
        health.until_s = now_s + health.next_quarantine_s
        health.next_quarantine_s = min(MAX_QUARANTINE_S, 2 * health.next_quarantine_s)

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker's former life."""
        self.workers.pop(worker, None)
