"""Store keys used by members."""

from gooseberrydeck_coordination.ids import JobId

__all__ = [
    "ALIVE",
    "ENDED",
    "JOBS",
    "PROGRESS",
    "SHARD",
    "WORKERS",
    "ended_key",
    "job_key",
    "progress_key",
]

SHARD = "shards/0000"
"""The holder of the shard and its fencing token; not removed when the holder dies."""

ALIVE = "shards/0000/alive"
"""Exists while the holder's store lease is in force."""

WORKERS = "shards/0000/workers"
"""The workers that may run tasks, for a new holder that they cannot reach."""

JOBS = "jobs/"
PROGRESS = "progress/"
ENDED = "ended/"


def job_key(job: JobId) -> str:
    """Return the key of an accepted job's record."""
    return JOBS + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + job


def ended_key(job: JobId) -> str:
    """Return the key of a job's final state."""
    return ENDED + job
