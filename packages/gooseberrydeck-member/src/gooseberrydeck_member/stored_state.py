"""The state that a new holder reads from the store."""

from collections.abc import Mapping

import msgspec

from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import JobId, Revision
from gooseberrydeck_coordination.store import Snapshot, Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.progress import Progress
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.work import JobRecord
from gooseberrydeck_member.keys import JOB_PREFIX, PROGRESS_PREFIX, WORKERS_KEY
from gooseberrydeck_member.records import decode_progress_record
from gooseberrydeck_member.threads import SYSTEM_THREADS, Threads

__all__ = ["StoredState", "read_stored_state"]

CONCURRENT_READS = 5
"""Reads made in parallel; a slow store takes a quarter of a second for each."""


class StoredState(msgspec.Struct, frozen=True):
    """The jobs, their progress and the workers, as stored.

    ``jobs`` are sorted by acceptance time and paired with their revisions. ``workers``
    are those on which a predecessor may have started tasks, as of
    ``workers_revision``; ``registered`` are the workers' own registrations.
    ``evacuations`` are the operators' requests, if they are to be followed.
    ``unreadable`` says which records were left out. A job whose progress can't be read
    is left out, too: its tasks may have ended.
    """

    jobs: tuple[tuple[JobRecord, int], ...]
    jobs_revision: Revision
    progress: Mapping[JobId, tuple[Progress, int]]
    workers: Mapping[WorkerId, Registration]
    workers_revision: Revision
    registered: Snapshot
    evacuations: Snapshot | None = None
    unreadable: tuple[RecordUnreadableError, ...] = ()

    def count_done(self) -> int:
        """Return how many tasks of open jobs are stored as done."""
        return sum(
            step.done.bit_count()
            for progress, _ in self.progress.values()
            for step in progress.steps
        )


def read_stored_state(
    store: Store,
    registrations: str,
    timeout_s: float,
    threads: Threads = SYSTEM_THREADS,
    evacuations: str | None = None,
) -> StoredState:
    """Read the stored state, with worker registrations below ``registrations``.

    Requested evacuations have keys below ``evacuations``, if it is given.

    The shard must be held, so that no other member writes progress or the record of
    workers meanwhile. Raises a ``StoreError`` if any of the reads fails, or if the
    record of workers is unreadable: it says where a predecessor's tasks may run.
    """
    with threads.executor(CONCURRENT_READS, "load") as readers:
        workers_read = readers.submit(store.read, WORKERS_KEY, timeout_s)
        prefixes = [registrations, PROGRESS_PREFIX, JOB_PREFIX]
        if evacuations is not None:
            prefixes.append(evacuations)
        registered, progress, jobs, *evacuated = readers.map(
            lambda prefix: store.read_prefix(prefix, timeout_s), prefixes
        )
        workers = workers_read.result()
    unreadable: list[RecordUnreadableError] = []
    stored_progress: dict[JobId, tuple[Progress, int]] = {}
    left_out: set[JobId] = set()
    for entry in progress.entries:
        job = JobId(entry.key.removeprefix(PROGRESS_PREFIX))
        try:
            decoded = decode_progress_record(entry)
        except RecordUnreadableError as error:
            unreadable.append(error)
            left_out.add(job)
        else:
            stored_progress[job] = decoded, int(entry.mod_revision)
    records: list[tuple[JobRecord, int]] = []
    for entry in jobs.entries:
        try:
            record = decode_entry(entry, JobRecord)
        except RecordUnreadableError as error:
            unreadable.append(error)
        else:
            if record.id not in left_out:
                records.append((record, int(entry.mod_revision)))
    recorded: list[Registration] = []
    if workers is not None:
        recorded = decode_entry(workers, list[Registration])
    return StoredState(
        # In order of acceptance, so that the same jobs fall within their teams'
        # shares as before the takeover.
        jobs=tuple(sorted(records, key=lambda each: each[0].accepted_s)),
        jobs_revision=jobs.revision,
        progress=stored_progress,
        workers={entry.worker: entry for entry in recorded},
        workers_revision=Revision(0) if workers is None else workers.mod_revision,
        registered=registered,
        evacuations=evacuated[0] if evacuated else None,
        unreadable=tuple(unreadable),
    )
