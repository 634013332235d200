"""Store keys used by members."""

from gooseberrydeck_coordination.ids import JobId

__all__ = [
    "ALIVE_KEY",
    "ENDED_PREFIX",
    "JOB_PREFIX",
    "PROGRESS_PREFIX",
    "SHARD_KEY",
    "SOLE_KEY",
    "WORKERS_KEY",
    "ended_key",
    "job_key",
    "progress_key",
]

SHARD_KEY = "shards/0000"
"""The holder of the shard and its fencing token; not removed when the holder dies."""

ALIVE_KEY = "shards/0000/alive"
"""Exists while the holder's store lease is in force."""

SOLE_KEY = "shards/0000/sole"
"""The token of a holder whose predecessors can't act any more; see ``SoleMark``."""

WORKERS_KEY = "shards/0000/workers"
"""The workers that may run tasks, for a new holder that they cannot reach."""

JOB_PREFIX = "jobs/"
PROGRESS_PREFIX = "progress/"
ENDED_PREFIX = "ended/"


def job_key(job: JobId) -> str:
    """Return the key of an accepted job's record."""
    return JOB_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job


def ended_key(job: JobId) -> str:
    """Return the key of a job's final state."""
    return ENDED_PREFIX + job
