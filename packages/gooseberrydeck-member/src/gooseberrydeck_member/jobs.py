"""Accepting, cancelling and looking up jobs in the store."""

import itertools
import time

import msgspec

from gooseberrydeck_coordination.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.store import Put, Store, Transaction
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState
from gooseberrydeck_member.keys import ended_key, job_key, progress_key
from gooseberrydeck_member.shard_lock import unchanged

__all__ = ["JobStore"]

CALL_TIMEOUT_S = 0.9
"""For one call; leaves time for a second try before the caller gives up."""

RETRY_PAUSE_S = 0.05
"""Pause before the second try of a call; it doubles with each further one."""

MAX_TRIES = 3
"""Tries before the caller turns to a peer: the store may turn only this host away."""

ABSENT = Revision(0)


class JobStore:
    """Durable changes of jobs; each method keeps to a monotonic deadline."""

    def __init__(self, store: Store) -> None:
        """Keep jobs in ``store``."""
        self.store = store

    def accept(self, record: JobRecord, deadline_s: float) -> Revision | None:
        """Store a job and return its revision; None if its id is in use already.

        Raise ``StoreUnavailableError`` only if the job was certainly not stored and
        never will be; ``StoreOutcomeUnknownError`` if it may be.
        """
        key = job_key(record.id)
        transaction = Transaction(
            (unchanged(key, ABSENT), unchanged(ended_key(record.id), ABSENT)),
            (Put(key, msgspec.json.encode(record)),),
        )
        may_be_stored = False
        for tries in itertools.count(1):
            is_last = tries == MAX_TRIES or time.monotonic() >= deadline_s
            try:
                result = self.store.commit(transaction, time_left(deadline_s))
            except StoreOutcomeUnknownError:
                may_be_stored = True
                if is_last:
                    raise
            except StoreUnavailableError as error:
                if not may_be_stored:
                    raise
                if is_last:
                    raise StoreOutcomeUnknownError(str(error)) from error
            else:
                return result.revision if result.succeeded else None
            pause(tries)
        raise AssertionError("the last try returns or raises")

    def cancel(self, job: JobId, deadline_s: float) -> JobState | None:
        """Mark a job as cancelled and return its state; None if there is no such job.

        A job that has ended stays as it is. Raise a ``StoreError`` if the cancellation
        may not be stored.
        """
        for tries in itertools.count(1):
            is_last = tries == MAX_TRIES or time.monotonic() >= deadline_s
            try:
                return self.try_cancel(job, deadline_s)
            except StoreError:
                if is_last:
                    raise
            pause(tries)
        raise AssertionError("the last try returns or raises")

    def try_cancel(self, job: JobId, deadline_s: float) -> JobState | None:
        """Mark a job as cancelled, unless it changes or ends meanwhile."""
        key = job_key(job)
        entry = self.store.read(key, time_left(deadline_s))
        if entry is None:
            return self.final_state(job, deadline_s)
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        cancelled = msgspec.structs.replace(record, is_cancelled=True)
        transaction = Transaction(
            (unchanged(key, entry.mod_revision),),
            (Put(key, msgspec.json.encode(cancelled)),),
        )
        if self.store.commit(transaction, time_left(deadline_s)).succeeded:
            return JobState.CANCELLED
        # The record is written once and cancelled once, so it is one of these now.
        if self.store.read(key, time_left(deadline_s)) is None:
            return self.final_state(job, deadline_s)
        return JobState.CANCELLED

    def state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return a job's state by the store; None if there is no such job."""
        entry = self.store.read(job_key(job), time_left(deadline_s))
        if entry is None:
            return self.final_state(job, deadline_s)
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        begun = self.store.read(progress_key(job), time_left(deadline_s))
        return JobState.QUEUED if begun is None else JobState.RUNNING

    def final_state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return the state in which a job has ended, or None."""
        entry = self.store.read(ended_key(job), time_left(deadline_s))
        if entry is None:
            return None
        return msgspec.json.decode(entry.value, type=EndedJob).state


def pause(tries: int) -> None:
    """Wait between two tries, longer each time."""
    time.sleep(RETRY_PAUSE_S * 2 ** (tries - 1))


def time_left(deadline_s: float) -> float:
    """Return the time-out of a call that has to end before a deadline."""
    return min(CALL_TIMEOUT_S, max(0.05, deadline_s - time.monotonic()))
