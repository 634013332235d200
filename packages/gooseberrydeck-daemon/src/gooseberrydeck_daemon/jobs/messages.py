"""Messages about jobs, between members and between threads of one member."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import msgspec

from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import JobId, QueueName, ShardId, TeamName
from gooseberrydeck_daemon.jobs.record_table import JobWriteResult
from gooseberrydeck_daemon.peers import Inbound, PeerMessage
from gooseberrydeck_scheduling import JobRecord

__all__ = [
    "CallDone",
    "CancelAnswer",
    "CancelJobs",
    "JobAnswer",
    "JobBound",
    "JobQuery",
    "JobsMessage",
    "LocalCancel",
    "LocalQuery",
    "RecordsLoaded",
    "ShardWriteResult",
]


class JobBound(PeerMessage, frozen=True):
    """Notifies a shard's owner that a job was bound to it; ``record`` is as stored."""

    shard: ShardId
    record: bytes


class JobQuery(PeerMessage, frozen=True):
    """Requests a job from its shard's owner, waiting up to ``wait_s`` for its end."""

    shard: ShardId
    job: JobId
    team: TeamName
    wait_s: float = 0.0


class JobAnswer(PeerMessage, frozen=True):
    """A job's record as JSON, or empty if the owner does not know the job."""

    record: bytes = b""
    is_owner: bool = True


class CancelJobs(PeerMessage, frozen=True):
    """Requests the cancellation of one job, or of a team's jobs by queue or label."""

    team: TeamName
    job: JobId = JobId("")
    shard: ShardId = ShardId(-1)
    queue: QueueName = QueueName("")
    label: str = ""
    value: str = ""


class CancelAnswer(PeerMessage, frozen=True):
    """The number of cancelled jobs, and whether all cancellations are stored."""

    cancelled: int
    is_recorded: bool = True


class CallDone(msgspec.Struct, frozen=True):
    """A blocking call of an owner has finished."""

    done: Callable[[Any], None]
    future: Future[Any]


class ShardWriteResult(msgspec.Struct, frozen=True):
    """The result of a write for a job of an owned shard."""

    shard: ShardId
    result: JobWriteResult


class RecordsLoaded(msgspec.Struct, frozen=True):
    """The records of a shard, read for one epoch; None if the store was unavailable.

    The read began at ``begun_s`` in monotonic seconds. ``unreadable`` says which
    records were left out.
    """

    shard: ShardId
    epoch: int
    begun_s: float
    records: tuple[JobRecord, ...] | None
    unreadable: tuple[RecordUnreadableError, ...] = ()


class LocalQuery(msgspec.Struct, frozen=True):
    """A query from this member and the callback for its reply."""

    query: JobQuery
    reply: Callable[[JobAnswer], None]


class LocalCancel(msgspec.Struct, frozen=True):
    """A cancellation from this member and the callback for its reply."""

    cancel: CancelJobs
    reply: Callable[[CancelAnswer], None]


JobsMessage = (
    CallDone
    | ShardWriteResult
    | RecordsLoaded
    | LocalQuery
    | LocalCancel
    | JobBound
    | Inbound
)
