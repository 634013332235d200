"""Changes of the scheduler's state that have to be stored."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.commands import Changes, JobEnding, ProgressWrite
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.late_starts import late_starts
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.progress import encode_progress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.state import Worker
from gooseberrydeck_fleet.work import EndedJob, JobState

__all__ = ["ChangeLog", "StoredObserver"]

PROGRESS_ENTRIES = 2
"""Transaction entries for the progress of one job: a condition and a write."""

ENDING_ENTRIES = 5
"""Maximum transaction entries for the end of a job: a condition, a write, removals."""


AcknowledgedEnds = dict[WorkerId, tuple[int, int]]
"""By worker, the start of its incarnation in Unix ms and the newest end to forget."""


class StoredObserver(Protocol):
    """Observer of what has been stored; times are monotonic seconds."""

    def changes_stored(self, changes: Changes, now_s: float) -> None:
        """Record that a commit has stored changes."""

    def job_ended(self, job: JobId, state: JobState, now_s: float) -> None:
        """Record that the end of a job is stored, by a commit without response."""


class PendingAcknowledgement:
    """Ends that workers may forget once some commits have succeeded."""

    __slots__ = ("awaited", "ends")

    def __init__(self, ends: AcknowledgedEnds, awaited: set[int]) -> None:
        """Wait for the commits with the given sequence numbers."""
        self.ends = ends
        self.awaited = awaited


class ChangeLog:
    """Collect changes into batches to commit, and track the outcomes of the commits.

    Ends are acknowledged to workers, and final states published, only once they are
    stored. Several commits may be in flight at once, each with different jobs.
    """

    def __init__(self, ledger: Ledger) -> None:
        """Create a log for the changes of one ledger."""
        self.ledger = ledger
        self.ended = ledger.ended
        self.in_flight: dict[int, frozenset[JobId]] = {}
        # By commit in flight, how many crashes of each job it stores.
        self.crashes_in_flight: dict[int, dict[JobId, int]] = {}
        self.pending: list[PendingAcknowledgement] = []
        self.last_sequence = 0
        self.recorded: dict[WorkerId, Registration] = {}
        self.observer: StoredObserver | None = None

    def take_batch(self, max_entries: int, wall_s: float) -> Changes:
        """Return a batch of changes that needs up to ``max_entries`` entries.

        Ended jobs come first, since their callers wait for them, then the jobs that
        changed first. A job with a commit in flight waits for the outcome.
        """
        ledger = self.ledger
        progress: list[ProgressWrite] = []
        endings: list[JobEnding] = []
        crashes: dict[JobId, int] = {}
        final = [each for each in ledger.changed if self.is_final(each)]
        left = max_entries
        for job_id in dict.fromkeys([*ledger.finished, *final, *ledger.changed]):
            if self.is_storing(job_id):
                continue
            job = ledger.jobs.get(job_id)
            needed = ENDING_ENTRIES if job_id in ledger.finished else PROGRESS_ENTRIES
            if needed > left:
                break
            if job is not None and job_id in ledger.finished:
                ended = EndedJob(job.state, wall_s, job.record.team, job.failure)
                endings.append(JobEnding(job_id, ended, job.progress_revision))
                left -= needed
            elif job is not None:
                value = encode_progress(job.to_progress())
                progress.append(ProgressWrite(job_id, value, job.progress_revision))
                left -= needed
                if job.crashes_stored < job.crashes_counted:
                    crashes[job_id] = job.crashes_counted
            ledger.finished.pop(job_id, None)
            ledger.changed.pop(job_id, None)
        self.last_sequence += 1
        jobs = {write.job for write in progress}
        jobs.update(ending.job for ending in endings)
        if jobs:
            self.in_flight[self.last_sequence] = frozenset(jobs)
        if crashes:
            self.crashes_in_flight[self.last_sequence] = crashes
        acknowledged_ends: AcknowledgedEnds = {}
        if not ledger.finished and not ledger.changed:
            # Otherwise workers must keep reporting the ends behind unstored changes.
            acknowledged_ends = {
                worker.id: (worker.born_ms, worker.acknowledgeable_end)
                for worker in ledger.workers.values()
            }
            self.pending.append(
                PendingAcknowledgement(acknowledged_ends, set(self.in_flight))
            )
        return Changes(
            tuple(progress), tuple(endings), acknowledged_ends, self.last_sequence
        )

    def is_storing(self, job_id: JobId) -> bool:
        """Return True if a commit with a change of a job is in flight."""
        return any(job_id in jobs for jobs in self.in_flight.values())

    def is_final(self, job_id: JobId) -> bool:
        """Return True if a job has reached a final state."""
        job = self.ledger.jobs.get(job_id)
        return job is not None and job.state.is_final

    def commit_failed(self, changes: Changes) -> None:
        """Queue changes again whose commit failed or has an unknown outcome."""
        sequence = changes.sequence
        self.in_flight.pop(sequence, None)
        self.crashes_in_flight.pop(sequence, None)
        self.pending = [each for each in self.pending if sequence not in each.awaited]
        for write in changes.progress:
            self.ledger.changed[write.job] = None
        for ending in changes.endings:
            self.ledger.finished[ending.job] = None
            self.ledger.changed[ending.job] = None

    def commit_succeeded(
        self, changes: Changes, revisions: Mapping[JobId, int], now_s: float
    ) -> AcknowledgedEnds:
        """Mark changes as stored and return the ends that workers may forget now."""
        self.in_flight.pop(changes.sequence, None)
        stored_crashes = self.crashes_in_flight.pop(changes.sequence, {})
        for job_id, count in stored_crashes.items():
            job = self.ledger.jobs.get(job_id)
            if job is not None:
                job.crashes_stored = max(job.crashes_stored, count)
                self.ledger.touch(job)
        for job_id, revision in revisions.items():
            job = self.ledger.jobs.get(job_id)
            if job is not None:
                job.progress_revision = revision
        for ending in changes.endings:
            self.ledger.jobs.pop(ending.job, None)
            self.ended[ending.job] = (ending.ended.state, now_s)
        if self.observer is not None:
            self.observer.changes_stored(changes, now_s)
        return self.complete_acknowledgements(changes.sequence)

    def complete_acknowledgements(self, sequence: int) -> AcknowledgedEnds:
        """Return the ends that wait for no commit besides ``sequence``."""
        ends: AcknowledgedEnds = {}
        waiting = []
        for each in self.pending:
            each.awaited.discard(sequence)
            if each.awaited:
                waiting.append(each)
            else:
                ends.update(each.ends)
        self.pending = waiting
        return ends

    def revisions_read(
        self, revisions: Mapping[JobId, int], ended: Iterable[JobId], now_s: float
    ) -> None:
        """Apply the stored revisions and ended jobs, read after a refused commit."""
        for job_id, revision in revisions.items():
            job = self.ledger.jobs.get(job_id)
            if job is not None:
                job.progress_revision = revision
        for job_id in ended:
            job = self.ledger.jobs.pop(job_id, None)
            self.ledger.finished.pop(job_id, None)
            self.ledger.changed.pop(job_id, None)
            if job is not None:
                self.ended[job_id] = (job.state, now_s)
                if self.observer is not None and job.state.is_final:
                    self.observer.job_ended(job_id, job.state, now_s)

    def is_stored(self, job_id: JobId) -> bool:
        """Return True if all changes of a job are stored."""
        return job_id not in self.ledger.changed and not self.is_storing(job_id)

    def forget_ended(self, before_s: float) -> None:
        """Remove the jobs that ended before a monotonic time."""
        for job_id, (_, ended_s) in list(self.ended.items()):
            if ended_s >= before_s:
                break
            del self.ended[job_id]

    # The stored list of workers that a successor has to poll.

    def workers_to_record(self) -> list[Registration] | None:
        """Return the workers that may have runs, or None if the list hasn't changed.

        Each is recorded with the largest capacity that it is known to have had, and
        with whether it may hold the longest lease, the tasks it may start late, and the
        revision of jobs at which it was closed.
        A successor doesn't wait for other workers.
        """
        workers = {
            worker.id: worker
            for worker in self.ledger.workers.values()
            if may_have_runs(worker)
        }
        is_complete = all(map(self.is_recorded, workers.values()))
        if is_complete and self.recorded.keys() <= workers.keys():
            return None
        return [to_record(worker) for worker in workers.values()]

    def is_recorded(self, worker: Worker) -> bool:
        """Return True if the stored list has all that a successor has to know.

        That a worker has lapsed forbids to start anything there, but not to leave the
        list as it is.
        """
        if worker.has_lapsed:
            return self.recorded.get(worker.id) == to_record(worker)
        if worker.closed_revision is not None:
            entry = self.recorded.get(worker.id)
            return (
                entry is not None
                and entry.closed_revision == worker.closed_revision
                and entry.is_draining == worker.entry.is_draining
                and frozenset(entry.late_starts) == late_starts(worker)
                and has_all(entry, worker)
            )
        return worker.is_recorded and late_starts(worker) == worker.recorded_late_starts

    def workers_recorded(self, entries: Iterable[Registration]) -> None:
        """Mark workers as recorded in the store, which lets new runs start on them."""
        recorded = {entry.worker: entry for entry in entries}
        self.recorded = recorded
        self.ledger.have_workers_changed = True
        for worker in self.ledger.workers.values():
            entry = recorded.get(worker.id)
            if entry is not None:
                worker.recorded_late_starts = frozenset(entry.late_starts)
            worker.is_recorded = (
                entry is not None
                and not worker.has_lapsed
                and worker.closed_revision is None
                and entry.closed_revision is None
                and has_all(entry, worker)
            )


def to_record(worker: Worker) -> Registration:
    """Return what is stored of a worker for a successor."""
    return msgspec.structs.replace(
        worker.entry,
        capacity=worker.largest_capacity,
        born_ms=worker.called_born_ms,
        may_hold_longest_lease=worker.may_hold_longest_lease,
        late_starts=tuple(sorted(late_starts(worker))),
        closed_revision=worker.closed_revision,
    )


def has_all(entry: Registration, worker: Worker) -> bool:
    """Return True if a record allows for all capacity and leases of a worker."""
    return (
        worker.largest_capacity.fits_in(entry.capacity)
        and entry.may_hold_longest_lease >= worker.may_hold_longest_lease
    )


def may_have_runs(worker: Worker) -> bool:
    """Return True if a worker may run tasks, or start them late."""
    if not worker.has_lapsed or not worker.has_reported:
        return True
    return bool(worker.runs or worker.has_orphaned_runs or late_starts(worker))
