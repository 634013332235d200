"""Messages between members, sent as JSON over HTTP."""

import msgspec

from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_member.shard_lock import ShardView

__all__ = [
    "AdviceQuery",
    "ConfigurationPiece",
    "ConfigurationQuery",
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
    """A member's heartbeat to the holder, with its configuration version.

    ``processors`` is the number of processors available to the member. A member that
    ``fetches_configuration`` needs none in the reply; those of earlier releases do.
    The member had not claimed the shard when the holder's process
    ``holder_incarnation`` sent ``holder_time_s`` in a reply. It never will if
    ``may_claim`` is false.
    """

    member: str
    address: str
    incarnation: str
    version: int
    processors: float = 1.0
    fetches_configuration: bool = False
    holder_incarnation: str = ""
    holder_time_s: float = 0.0
    may_claim: bool = True


class HeartbeatReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to a heartbeat; ``is_holder`` is false after the shard was lost.

    Ages are in seconds when the reply is sent. ``version`` was confirmed as the newest
    at ``configuration_revision`` of the store (0: unknown). ``configuration`` is sent
    if it is newer than the follower's and the follower doesn't fetch it. ``members``
    are in the order in which they should claim. ``time_s`` is the holder's clock,
    which the next heartbeat repeats.
    """

    is_holder: bool
    token: int = 0
    incarnation: str = ""
    version: int = 0
    configuration_age_s: float = 0.0
    store_age_s: float = 0.0
    configuration: bytes = b""
    members: tuple[str, ...] = ()
    configuration_revision: int = 0
    time_s: float = 0.0


class ConfigurationQuery(msgspec.Struct, frozen=True):
    """A request for a piece of the compressed configuration.

    ``digest`` is that of the pieces before ``offset``. The member at ``address`` has
    everything if ``offset`` is the size.
    """

    address: str
    version: int
    digest: str = ""
    offset: int = 0


class ConfigurationPiece(msgspec.Struct, frozen=True, omit_defaults=True):
    """A piece of the compressed configuration, from ``offset`` on.

    Without a ``digest`` there is none: the member is busy, or does not have the
    version. ``sources`` are members that have it. ``age_s`` is the time since
    ``version`` was confirmed as the newest, at ``revision`` of the store.
    """

    version: int
    age_s: float = 0.0
    revision: int = 0
    digest: str = ""
    size_bytes: int = 0
    offset: int = 0
    data: bytes = b""
    is_busy: bool = False
    sources: tuple[str, ...] = ()


class HolderAnnouncement(msgspec.Struct, frozen=True):
    """A new holder's announcement of its address and fencing token."""

    token: int
    member: str
    address: str


class HandOver(msgspec.Struct, frozen=True):
    """A stopping holder's request that a peer claim the shard.

    ``seen`` is the record to claim. The reply is whether the claim succeeded.
    """

    seen: ShardView


class JobAccepted(msgspec.Struct, frozen=True):
    """A notification to the holder of a job that has just been stored."""

    record: JobRecord
    revision: int


class StateQuery(msgspec.Struct, frozen=True):
    """A query for the state of a job."""

    job: JobId


class StateReply(msgspec.Struct, frozen=True):
    """The state of a job, or None if the holder does not know it."""

    state: JobState | None


class WaitingReply(msgspec.Struct, frozen=True):
    """The number of jobs by queue that have not started, or None if unavailable."""

    waiting: dict[QueueName, int] | None


class AdviceQuery(msgspec.Struct, frozen=True):
    """A request to query the advice service on the holder's behalf."""

    job: JobId
    occurrence: int
    step: int
    workers: tuple[WorkerId, ...]
    timeout_s: float
