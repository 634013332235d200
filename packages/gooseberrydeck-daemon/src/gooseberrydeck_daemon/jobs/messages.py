"""What members and the parts of one member tell each other of jobs."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

import msgspec

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
    """Tell a shard's owner that a job was bound to it; ``record`` is as stored."""

    shard: ShardId
    record: bytes


class JobQuery(PeerMessage, frozen=True):
    """Ask a shard's owner for a job, and to wait for its end if it has not ended."""

    shard: ShardId
    job: JobId
    team: TeamName
    wait_s: float = 0.0


class JobAnswer(PeerMessage, frozen=True):
    """A job's record as JSON; empty if the owner does not know the job."""

    record: bytes = b""
    is_owner: bool = True


class CancelJobs(PeerMessage, frozen=True):
    """Ask to cancel a job, or a team's jobs of a queue or with a label."""

    team: TeamName
    job: JobId = JobId("")
    shard: ShardId = ShardId(-1)
    queue: QueueName = QueueName("")
    label: str = ""
    value: str = ""


class CancelAnswer(PeerMessage, frozen=True):
    """How many jobs were cancelled, and whether all of that is recorded."""

    cancelled: int
    is_recorded: bool = True


class CallDone(msgspec.Struct, frozen=True):
    """A blocking call of an owner has ended."""

    done: Callable[[Any], None]
    future: Future[Any]


class ShardWriteResult(msgspec.Struct, frozen=True):
    """The outcome of a write of an owned shard's job."""

    shard: ShardId
    result: JobWriteResult


class RecordsLoaded(msgspec.Struct, frozen=True):
    """The records of a shard, read for one epoch; None if the store was out."""

    shard: ShardId
    epoch: int
    records: tuple[JobRecord, ...] | None


class LocalQuery(msgspec.Struct, frozen=True):
    """A query and the call that takes its answer."""

    query: JobQuery
    reply: Callable[[JobAnswer], None]


class LocalCancel(msgspec.Struct, frozen=True):
    """A cancellation and the call that takes its answer."""

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
