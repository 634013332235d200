"""Messages about members, shards, workers and jobs."""

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
    """A member as the answering member knows it."""

    member: str
    data_centre: str = ""
    address: str = ""
    state: str = "live"
    shards: int = 0
    configuration: int | None = None
    """The number of the configuration that it holds, or None if it is not known."""


class MembersResponse(msgspec.Struct, frozen=True):
    """Every known member."""

    members: tuple[MemberView, ...]


class ShardView(msgspec.Struct, frozen=True):
    """A shard, its owner and what it holds."""

    shard: int
    owner: str | None = None
    epoch: int = 0
    state: str = ""
    hosts: int = 0


class ShardsResponse(msgspec.Struct, frozen=True):
    """Every shard."""

    shards: tuple[ShardView, ...]


class WorkerView(msgspec.Struct, frozen=True):
    """A worker or endpoint host as its shard's owner sees it."""

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
    """Every worker."""

    workers: tuple[WorkerView, ...]


class WaitReason(msgspec.Struct, frozen=True):
    """Why a job or some of its tasks do not run yet."""

    reason: str
    detail: str = ""
    tasks: int = 0


class JobResponse(msgspec.Struct, frozen=True):
    """One job, and why it waits if it does."""

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
    """Jobs that match a listing; ``is_complete`` is false if it was cut."""

    jobs: tuple[JobResponse, ...]
    is_complete: bool = True


class DrainResponse(msgspec.Struct, frozen=True):
    """A drain that was asked for."""

    target: str
    state: str
