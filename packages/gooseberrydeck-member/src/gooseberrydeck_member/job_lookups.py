"""Lookups in the store of jobs that only workers have reported."""

from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_fleet.progress import Progress
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState
from gooseberrydeck_member.keys import ended_key, job_key, progress_key
from gooseberrydeck_member.records import decode_progress_record
from gooseberrydeck_member.threads import SYSTEM_THREADS, Threads

__all__ = ["JobAbsent", "JobFound", "JobLookups", "LookupFailed"]

log = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

RETRY_DELAY_S = 0.15
"""Delay after a failed lookup, which keeps a failing store from being overloaded."""

CONCURRENT_LOOKUPS = 4
"""After a takeover workers may list ends of a hundred ended jobs."""


class JobFound(msgspec.Struct, frozen=True):
    """A stored job that has not ended, with its progress if it has any."""

    record: JobRecord
    revision: int
    progress: Progress | None = None
    progress_revision: int = 0


class JobAbsent(msgspec.Struct, frozen=True):
    """A job that has ended in ``state``, or None if that is not stored any more."""

    job: JobId
    state: JobState | None


class LookupFailed(msgspec.Struct, frozen=True):
    """A lookup that the store did not answer."""

    job: JobId


class JobLookups:
    """Look up jobs in an executor.

    While the shard is held only the holder stores progress and ends, so what is read of
    a job that it doesn't know can't change meanwhile.
    """

    def __init__(
        self,
        store: Store,
        post: Callable[[object], None],
        threads: Threads = SYSTEM_THREADS,
    ) -> None:
        """Create the executor; ``post`` receives the result of each lookup."""
        self.store = store
        self.post = post
        self.closed = threads.event()
        self.executor = threads.executor(CONCURRENT_LOOKUPS, "lookup")

    def look_up(self, job: JobId) -> None:
        """Look up a job in the background."""
        self.executor.submit(self.run, job)

    def run(self, job: JobId) -> None:
        """Look up a job and post the result."""
        try:
            result: JobFound | JobAbsent = self.read(job)
        except StoreError as error:
            reason = f"{type(error).__name__}: {error}"
            log.warning("job not looked up", job=job, reason=reason)
            self.closed.wait(RETRY_DELAY_S)
            self.post(LookupFailed(job))
        else:
            self.post(result)

    def read(self, job: JobId) -> JobFound | JobAbsent:
        """Read a job; raise a ``StoreError`` if that fails or a record is unreadable.

        The end is read first: it is stored in the transaction that removes the job, so
        a job without either had no run that the reports could be of.
        """
        ended = self.store.read(ended_key(job), CALL_TIMEOUT_S)
        if ended is not None:
            return JobAbsent(job, decode_entry(ended, EndedJob).shown_state)
        entry = self.store.read(job_key(job), CALL_TIMEOUT_S)
        if entry is None:
            return JobAbsent(job, None)
        record = decode_entry(entry, JobRecord)
        stored = self.store.read(progress_key(job), CALL_TIMEOUT_S)
        if stored is None:
            return JobFound(record, int(entry.mod_revision))
        return JobFound(
            record,
            int(entry.mod_revision),
            decode_progress_record(stored),
            int(stored.mod_revision),
        )

    def close(self) -> None:
        """Drop queued lookups; those in flight run to their end."""
        self.closed.set()
        self.executor.shutdown(wait=False, cancel_futures=True)
