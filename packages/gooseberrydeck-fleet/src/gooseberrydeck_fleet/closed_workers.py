"""Workers on which nothing starts until their record says that it may again.

A successor that can't reach such a worker knows which jobs may run there: those that
were stored when the worker was closed. Later jobs don't have to wait for it.
"""

from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Worker

__all__ = ["CLOSE_AFTER_S", "ClosedWorkers"]

CLOSE_AFTER_S = 1.0
"""Time since the first call without a response after which a worker is closed.

Most silences are shorter, and a closed worker that answers again has to wait for a
write to the store."""

MAX_STORE_AGE_S = 1.5
"""Age of the store's last confirmation above which no worker is closed. A closed worker
that answers again couldn't be used until the store responds. The holder's lease is
renewed each 0.4 s, by a slow store within 0.3 s."""


class ClosedWorkers:
    """Close workers that accept no starts, and open them when they do again.

    Starts under way to a worker, or waiting to be sent, are of jobs that are known when
    it is closed, and a worker's next process executes no others. Jobs that only a
    predecessor knew were stored before it stopped acting, thus before the mark of this
    holder: before that is stored, nothing is closed.
    """

    def __init__(self, ledger: Ledger) -> None:
        """Start without closing workers."""
        self.ledger = ledger
        # The store's revision when no predecessor could act any more, if that is known.
        self.sole_revision = 0

    def sole_holder_recorded(self, revision: int) -> None:
        """Record that at a revision of the store no predecessor could act any more."""
        self.sole_revision = revision

    def review(self, now_s: float) -> None:
        """Open the workers that accept starts, and close those that don't."""
        closing: list[Worker] = []
        for worker in self.ledger.workers.values():
            is_draining = worker.entry.is_draining
            if worker.closed_revision is not None:
                if worker.is_reachable and not is_draining:
                    worker.open()
                    self.ledger.have_workers_changed = True
            elif is_draining or self.is_silent(worker, now_s):
                closing.append(worker)
        if closing and self.may_close(now_s):
            revision = self.highest_revision()
            for worker in closing:
                worker.close(revision)
            self.ledger.have_workers_changed = True

    def is_silent(self, worker: Worker, now_s: float) -> bool:
        """Return True if a worker hasn't been reached for long."""
        silent_s = now_s - worker.unreachable_since_s
        return not worker.is_reachable and silent_s > CLOSE_AFTER_S

    def may_close(self, now_s: float) -> bool:
        """Return True if it is known which jobs may run on workers.

        A job without a revision can't be compared with those that are stored later.
        """
        store_age_s = now_s - self.ledger.authority_confirmed_s
        if not self.sole_revision or store_age_s > MAX_STORE_AGE_S:
            return False
        return all(job.revision > 0 for job in self.ledger.jobs.values())

    def highest_revision(self) -> int:
        """Return the highest revision of a job that may run anywhere now."""
        revisions = (job.revision for job in self.ledger.jobs.values())
        return max(self.sole_revision, *revisions, 0)
