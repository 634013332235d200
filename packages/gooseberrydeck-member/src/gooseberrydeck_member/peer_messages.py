"""What members say to each other, as JSON over HTTP."""

import msgspec

from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_member.shard_lock import ShardView

__all__ = [
    "AdviceQuery",
    "HandOver",
    "Heartbeat",
    "HeartbeatReply",
    "HolderAnnouncement",
    "JobAccepted",
    "StateQuery",
    "StateReply",
    "WaitingReply",
]


class Heartbeat(msgspec.Struct, frozen=True):
    """A member tells the holder that it lives, and what configuration it has."""

    member: str
    address: str
    incarnation: str
    version: int
    processors: float = 1.0


class HeartbeatReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The holder's answer; ``is_holder`` is false after it lost the shard.

    Ages are in seconds, as of the answer. ``configuration`` is sent if it is newer than
    the asking member's. ``members`` are in the order in which they should claim.
    """

    is_holder: bool
    token: int = 0
    incarnation: str = ""
    version: int = 0
    configuration_age_s: float = 0.0
    store_age_s: float = 0.0
    configuration: bytes = b""
    members: tuple[str, ...] = ()


class HolderAnnouncement(msgspec.Struct, frozen=True):
    """A new holder tells its peers where it is."""

    token: int
    member: str
    address: str


class HandOver(msgspec.Struct, frozen=True):
    """A holder that stops asks a peer to claim the shard, which it holds as ``seen``.

    The reply tells whether the peer has claimed it.
    """

    seen: ShardView


class JobAccepted(msgspec.Struct, frozen=True):
    """Tell the holder of a job that has just been stored."""

    record: JobRecord
    revision: int


class StateQuery(msgspec.Struct, frozen=True):
    """Ask for the state of a job."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True):
    """The state, or None if the answering member does not know the job."""

    state: JobState | None


class WaitingReply(msgspec.Struct, frozen=True):
    """By queue, how many jobs have not begun; None if the member cannot tell."""

    waiting: dict[QueueName, int] | None


class AdviceQuery(msgspec.Struct, frozen=True):
    """Ask the advice service on the holder's behalf."""

    job: JobId
    occurrence: int
    step: int
    workers: tuple[WorkerId, ...]
    timeout_s: float
