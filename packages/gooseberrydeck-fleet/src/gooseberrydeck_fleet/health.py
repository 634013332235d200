"""Quarantine of unhealthy workers, and pauses of those that are full.

Some workers fail, shed or stall the tasks they are given although they respond. Others
have less room than their registration shows.
"""

from gooseberrydeck_fleet.ids import WorkerId

__all__ = ["NO_ROOM_PAUSE_S", "HealthTracker"]

FAILURES_TO_QUARANTINE = 2
"""Failures in a row before a quarantine; a single one may be the task's own fault."""

FIRST_QUARANTINE_S = 1.5
"""Duration of the first quarantine, long enough for short faults to pass."""

MAX_QUARANTINE_S = 12.0
"""Maximum duration of a quarantine of a worker that keeps failing."""


NO_ROOM_PAUSE_S = 0.5
"""Pause of a worker that has refused a start for want of room, unless its registration
shows another capacity before."""


class WorkerHealth:
    """The recent failures of one worker and its quarantine."""

    __slots__ = ("failures", "next_quarantine_s", "until_s")

    def __init__(self) -> None:
        """Create the record of a healthy worker."""
        self.failures = 0
        self.next_quarantine_s = FIRST_QUARANTINE_S
        self.until_s = 0.0


class HealthTracker:
    """Quarantine failing workers, each time for longer, until a run succeeds."""

    def __init__(self) -> None:
        """Create a tracker that counts every worker as healthy."""
        self.workers: dict[WorkerId, WorkerHealth] = {}
        self.full_until_s: dict[WorkerId, float] = {}
        # Set whenever a quarantine or pause may have begun or ended.
        self.has_changed = False

    def is_usable(self, worker: WorkerId, now_s: float) -> bool:
        """Return True if a worker is neither quarantined nor paused."""
        if now_s < self.full_until_s.get(worker, 0.0):
            return False
        health = self.workers.get(worker)
        return health is None or health.until_s <= now_s

    def record_success(self, worker: WorkerId) -> None:
        """Record a success, which clears the worker's failures."""
        if self.workers.pop(worker, None) is not None:
            self.has_changed = True

    def record_failure(self, worker: WorkerId, now_s: float) -> None:
        """Record the failure of a task that has not failed on other workers."""
        health = self.workers.setdefault(worker, WorkerHealth())
        health.failures += 1
        if health.failures >= FAILURES_TO_QUARANTINE:
            self.quarantine(worker, now_s)

    def quarantine(self, worker: WorkerId, now_s: float) -> None:
        """Quarantine a worker, each time for twice as long, up to a maximum."""
        health = self.workers.setdefault(worker, WorkerHealth())
        if health.until_s > now_s:
            return
        self.has_changed = True
        health.until_s = now_s + health.next_quarantine_s
        health.next_quarantine_s = min(MAX_QUARANTINE_S, 2 * health.next_quarantine_s)

    def record_no_room(self, worker: WorkerId, now_s: float) -> None:
        """Pause a worker that has less room than is known."""
        self.full_until_s[worker] = now_s + NO_ROOM_PAUSE_S
        self.has_changed = True

    def capacity_changed(self, worker: WorkerId) -> None:
        """End the pause of a worker whose capacity is known again."""
        if self.full_until_s.pop(worker, None) is not None:
            self.has_changed = True

    def forget(self, worker: WorkerId) -> None:
        """Remove the record of a worker's previous incarnation."""
        self.capacity_changed(worker)
        if self.workers.pop(worker, None) is not None:
            self.has_changed = True
