"""Response bodies of the member, shard, worker and job endpoints."""

import msgspec

from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = [
    "DrainResponse",
    "JobResponse",
    "JobsResponse",
    "MemberView",
    "MembersResponse",
    "ShardView",
    "ShardsResponse",
    "WaitReason",
    "WorkerView",
    "WorkersResponse",
]


class MemberView(msgspec.Struct, frozen=True):
    """A member as known to the member that answers the request."""

    member: str
    data_centre: str = ""
    address: str = ""
    state: str = "live"
    shards: int = 0
    configuration: int | None = None
    """The number of the configuration that the member uses, or None if unknown."""


class MembersResponse(msgspec.Struct, frozen=True):
    """All known members."""

    members: tuple[MemberView, ...]


class ShardView(msgspec.Struct, frozen=True):
    """A shard, its owner and its number of hosts."""

    shard: int
    owner: str | None = None
    epoch: int = 0
    state: str = ""
    hosts: int = 0


class ShardsResponse(msgspec.Struct, frozen=True):
    """All shards."""

    shards: tuple[ShardView, ...]


class WorkerView(msgspec.Struct, frozen=True):
    """A worker or endpoint host as seen by the owner of its shard."""

    host: str
    kind: str = ""
    data_centre: str = ""
    rack: str = ""
    shard: int | None = None
    owner: str | None = None
    state: str = ""
    reason: str = ""
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    running: int = 0


class WorkersResponse(msgspec.Struct, frozen=True):
    """All workers and endpoint hosts."""

    workers: tuple[WorkerView, ...]


class WaitReason(msgspec.Struct, frozen=True):
    """A reason why some or all tasks of a job are not running yet."""

    reason: str
    detail: str = ""
    tasks: int = 0


class JobResponse(msgspec.Struct, frozen=True):
    """A job and the reasons why it is waiting, if any."""

    job: str
    queue: str = ""
    team: str = ""
    state: str = ""
    shard: int | None = None
    waiting_s: float = 0.0
    tasks: int = 0
    running: int = 0
    ended: int = 0
    waits: tuple[WaitReason, ...] = ()


class JobsResponse(msgspec.Struct, frozen=True):
    """Jobs that match a query; ``is_complete`` is False if the list was truncated."""

    jobs: tuple[JobResponse, ...]
    is_complete: bool = True


class DrainResponse(msgspec.Struct, frozen=True):
    """The state of a requested drain."""

    target: str
    state: str
