"""The keys that members keep in the store."""

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
"""The holder of the shard and its fencing token; kept when the holder dies."""

ALIVE = "shards/0000/alive"
"""Exists while the holder keeps its store lease."""

WORKERS = "shards/0000/workers"
"""The workers on which something may run, for a successor that they do not reach."""

JOBS = "jobs/"
PROGRESS = "progress/"
ENDED = "ended/"


def job_key(job: JobId) -> str:
    """Return the key of an accepted job."""
    return JOBS + job


def progress_key(job: JobId) -> str:
    """Return the key of what has been done of a job."""
    return PROGRESS + job


def ended_key(job: JobId) -> str:
    """Return the key of the final state of a job."""
    return ENDED + job
