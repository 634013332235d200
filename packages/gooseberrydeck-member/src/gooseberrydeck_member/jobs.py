"""Submission, cancellation and lookup of jobs in the store."""

import itertools
import time

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_coordination.store import Entry, Put, Store, Transaction
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState
from gooseberrydeck_member.keys import ended_key, job_key, progress_key
from gooseberrydeck_member.shard_lock import mod_revision_equals

__all__ = ["JobStore"]

log = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 0.9
"""Timeout of one store call; leaves time for a retry before the caller gives up."""

INITIAL_RETRY_DELAY_S = 0.05
"""Delay before the first retry; it doubles with each further retry."""

MAX_ATTEMPTS = 3
"""Attempts before the call is relayed to a peer: the store may be refusing only this
host."""

ABSENT_REVISION = Revision(0)


class JobStore:
    """Read and change jobs in the store.

    Each ``deadline_s`` is a monotonic time.
    """

    def __init__(self, store: Store) -> None:
        """Use ``store`` for all jobs."""
        self.store = store

    def accept(self, record: JobRecord, deadline_s: float) -> Revision | None:
        """Store a job and return its revision, or None if its id is already in use.

        The id of a job that was cancelled before its submission is in use; the job is
        then shown as cancelled.

        Raises ``StoreOutcomeUnknownError`` if the job may be stored, now or later, and
        another ``StoreError`` only if it certainly isn't.
        """
        key = job_key(record.id)
        transaction = Transaction(
            (
                mod_revision_equals(key, ABSENT_REVISION),
                mod_revision_equals(ended_key(record.id), ABSENT_REVISION),
            ),
            (Put(key, msgspec.json.encode(record)),),
        )
        outcome = Outcome.NOT_RUN
        for attempt in itertools.count(1):
            is_last = attempt == MAX_ATTEMPTS or time.monotonic() >= deadline_s
            try:
                result = self.store.commit(transaction, call_timeout_s(deadline_s))
                if attempt > 1 or not result.succeeded:
                    log.info(
                        "job stored" if result.succeeded else "job id in use",
                        job=record.id,
                        attempt=attempt,
                    )
                if result.succeeded:
                    return result.revision
                # A refusal would be untrue from here on: the job may be stored.
                outcome = Outcome.UNKNOWN
                self.record_submission(record.id, deadline_s)
            except StoreError as error:
                outcome = outcome.followed_by(error.outcome)
                if outcome is Outcome.NOT_RUN:
                    raise
                if is_last:
                    raise StoreOutcomeUnknownError(str(error)) from error
            else:
                return None
            back_off(attempt)
        raise AssertionError("the last attempt returns or raises")

    def record_submission(self, job: JobId, deadline_s: float) -> None:
        """Show a job as cancelled that was cancelled before its submission arrived.

        Raises a ``StoreError`` if that is not certain.
        """
        key = ended_key(job)
        entry = self.read(key, deadline_s)
        if entry is None:
            return
        ended = decode_entry(entry, EndedJob)
        if ended.was_submitted:
            return
        log.info("submitted job was cancelled before", job=job)
        submitted = msgspec.structs.replace(ended, was_submitted=True)
        transaction = Transaction(
            (mod_revision_equals(key, entry.mod_revision),),
            (Put(key, msgspec.json.encode(submitted)),),
        )
        if not self.store.commit(transaction, call_timeout_s(deadline_s)).succeeded:
            raise StoreOutcomeUnknownError(f"{key} was changed meanwhile")

    def cancel(self, job: JobId, deadline_s: float) -> JobState | None:
        """Mark a job as cancelled and return its state, or None if it does not exist.

        A job that has ended keeps its state. One that does not exist can't be stored
        later either: its submission may still be on its way, or be repeated. Raises
        ``StoreOutcomeUnknownError`` if the job may be marked, now or later, and another
        ``StoreError`` only if it certainly isn't.
        """
        outcome = Outcome.NOT_RUN
        for attempt in itertools.count(1):
            is_last = attempt == MAX_ATTEMPTS or time.monotonic() >= deadline_s
            try:
                return self.cancel_once(job, deadline_s)
            except StoreError as error:
                outcome = outcome.followed_by(error.outcome)
                if is_last and outcome is Outcome.NOT_RUN:
                    raise
                if is_last:
                    raise StoreOutcomeUnknownError(str(error)) from error
            back_off(attempt)
        raise AssertionError("the last attempt returns or raises")

    def cancel_once(self, job: JobId, deadline_s: float) -> JobState | None:
        """Make one attempt to mark a job as cancelled."""
        while True:
            entry = self.read(job_key(job), deadline_s)
            if entry is not None:
                return self.mark_cancelled(job, entry, deadline_s)
            ended = self.read(ended_key(job), deadline_s)
            if ended is not None:
                final = decode_entry(ended, EndedJob)
                log.info(
                    "no job to cancel",
                    job=job,
                    ended=final.state.value,
                    was_submitted=final.was_submitted,
                )
                return final.shown_state
            if self.prevent_submission(job, deadline_s):
                log.info("job cancelled before its submission", job=job)
                return None
            # Another call has stored or cancelled the job since it was read.

    def prevent_submission(self, job: JobId, deadline_s: float) -> bool:
        """Store that a job is cancelled; return False if it has a record already.

        The condition keeps a write that is applied late from a job that was submitted
        after it.
        """
        key = ended_key(job)
        ended = EndedJob(JobState.CANCELLED, time.time(), was_submitted=False)
        transaction = Transaction(
            (
                mod_revision_equals(job_key(job), ABSENT_REVISION),
                mod_revision_equals(key, ABSENT_REVISION),
            ),
            (Put(key, msgspec.json.encode(ended)),),
        )
        return self.store.commit(transaction, call_timeout_s(deadline_s)).succeeded

    def mark_cancelled(
        self, job: JobId, entry: Entry, deadline_s: float
    ) -> JobState | None:
        """Mark a job as cancelled whose record was read, and return its state."""
        record = decode_entry(entry, JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        cancelled = msgspec.structs.replace(record, is_cancelled=True)
        transaction = Transaction(
            (mod_revision_equals(entry.key, entry.mod_revision),),
            (Put(entry.key, msgspec.json.encode(cancelled)),),
        )
        if self.store.commit(transaction, call_timeout_s(deadline_s)).succeeded:
            return JobState.CANCELLED
        # A record is only ever created, cancelled and deleted, so a changed record has
        # been either deleted because the job ended, or cancelled by another call.
        if self.read(entry.key, deadline_s) is None:
            return self.read_final_state(job, deadline_s)
        return JobState.CANCELLED

    def read(self, key: str, deadline_s: float) -> Entry | None:
        """Return the entry of a key, or None if there is none.

        Raises a ``StoreError``, but never ``StoreOutcomeUnknownError``: a read has no
        effect.
        """
        try:
            return self.store.read(key, call_timeout_s(deadline_s))
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return a job's stored state, or None if the job does not exist."""
        entry = self.read(job_key(job), deadline_s)
        if entry is None:
            return self.read_final_state(job, deadline_s)
        record = decode_entry(entry, JobRecord)
        if record.is_cancelled:
            return JobState.CANCELLED
        progress = self.read(progress_key(job), deadline_s)
        return JobState.QUEUED if progress is None else JobState.RUNNING

    def failure(self, job: JobId, deadline_s: float) -> str:
        """Return why a job was given up, or "" if its attempts were used up."""
        entry = self.read(ended_key(job), deadline_s)
        if entry is None:
            return ""
        return decode_entry(entry, EndedJob).failure

    def read_final_state(self, job: JobId, deadline_s: float) -> JobState | None:
        """Return the state in which a job ended, or None if it has not."""
        entry = self.read(ended_key(job), deadline_s)
        if entry is None:
            return None
        return decode_entry(entry, EndedJob).shown_state


def back_off(attempt: int) -> None:
    """Sleep with exponential backoff after the given attempt, counted from 1."""
    time.sleep(INITIAL_RETRY_DELAY_S * 2 ** (attempt - 1))


def call_timeout_s(deadline_s: float) -> float:
    """Return the timeout of a call that must end before a deadline, in seconds."""
    return min(CALL_TIMEOUT_S, max(0.05, deadline_s - time.monotonic()))
