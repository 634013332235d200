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
from gooseberrydeck_member.shard_lock import mod_revision_equals

__all__ = ["JobStore"]

CALL_TIMEOUT_S = 0.9
"""For one call; leaves time for a second try before the caller gives up."""

INITIAL_RETRY_DELAY_S = 0.05
"""Pause before the second try of a call; it doubles with each further one."""

MAX_ATTEMPTS = 3
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
            (
                mod_revision_equals(key, ABSENT),
                mod_revision_equals(ended_key(record.id), ABSENT),
            ),
            (Put(key, msgspec.json.encode(record)),),
        )
        may_be_stored = False
        for attempt in itertools.count(1):
            is_last = attempt == MAX_ATTEMPTS or time.monotonic() >= deadline_s
            try:
                result = self.store.commit(transaction, call_timeout_s(deadline_s))
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
            back_off(attempt)
        raise AssertionError("the last try returns or raises")

    def cancel(self, job: JobId, deadline_s: float) -> JobState | None:
        """Mark a job as cancelled and return its state; None if there is no such job.

        A job that has ended stays as it is. Raise a ``StoreError`` if the cancellation
        may not be stored.
        """
        for attempt in itertools.count(1):
            is_last = attempt == MAX_ATTEMPTS or time.monotonic() >= deadline_s
            try:
                return self.cancel_once(job, deadline_s)
            except StoreError:
                if is_last:
                    raise
            back_off(attempt)
        raise AssertionError("the last try returns or raises")

    def cancel_once(self, job: JobId, deadline_s: float) -> JobState | None:
        """Mark a job as cancelled, unless it changes or ends meanwhile."""
        key = job_key(job)
        entry = self.store.read(key, call_timeout_s(deadline_s))
        if entry is None:
            return self.read_final_state(job, deadline_s)
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        cancelled = msgspec.structs.replace(record, is_cancelled=True)
        transaction = Transaction(
            (mod_revision_equals(key, entry.mod_revision),),
            (Put(key, msgspec.json.encode(cancelled)),),
        )
        if self.store.commit(transaction, call_timeout_s(deadline_s)).succeeded:
            return JobState.CANCELLED
        # The record is written once and cancelled once, so it is one of these now.
        if self.store.read(key, call_timeout_s(deadline_s)) is None:
            return self.read_final_state(job, deadline_s)
        return JobState.CANCELLED

    def state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return a job's state by the store; None if there is no such job."""
        entry = self.store.read(job_key(job), call_timeout_s(deadline_s))
        if entry is None:
            return self.read_final_state(job, deadline_s)
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        begun = self.store.read(progress_key(job), call_timeout_s(deadline_s))
        return JobState.QUEUED if begun is None else JobState.RUNNING

    def read_final_state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return the state in which a job has ended, or None."""
        entry = self.store.read(ended_key(job), call_timeout_s(deadline_s))
        if entry is None:
            return None
        return msgspec.json.decode(entry.value, type=EndedJob).state


def back_off(attempt: int) -> None:
    """Wait between two tries, longer each time."""
    time.sleep(INITIAL_RETRY_DELAY_S * 2 ** (attempt - 1))


def call_timeout_s(deadline_s: float) -> float:
    """Return the time-out of a call that has to end before a deadline."""
    return min(CALL_TIMEOUT_S, max(0.05, deadline_s - time.monotonic()))
