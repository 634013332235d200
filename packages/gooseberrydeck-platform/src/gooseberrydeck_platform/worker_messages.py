"""Request and response bodies of the HTTP interface to workers."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import TaskId
from gooseberrydeck_platform.workers import Fence, StartResult, TaskReport, TaskStart

__all__ = [
    "AdoptRequest",
    "CheckpointRequest",
    "ErrorResponse",
    "ErrorKind",
    "RenewRequest",
    "RenewResponse",
    "StartRequest",
    "StartResponse",
    "TasksRequest",
    "ThrottleRequest",
]


class AdoptRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /adopt``."""

    fence: Fence


class StartRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /start``."""

    fence: Fence
    starts: tuple[TaskStart, ...]


class StartResponse(msgspec.Struct, frozen=True):
    """The response to ``POST /start``, with one result for each start."""

    results: tuple[StartResult, ...]


class RenewRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /renew``."""

    fence: Fence
    tasks: tuple[TaskId, ...]
    lease_s: float


class RenewResponse(msgspec.Struct, frozen=True):
    """The response to ``POST /renew``, with a report for each task held."""

    tasks: tuple[TaskReport, ...]


class CheckpointRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /checkpoint``."""

    fence: Fence
    task: TaskId


class ThrottleRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /throttle``."""

    fence: Fence
    task: TaskId
    cpu_millis: int


class TasksRequest(msgspec.Struct, frozen=True):
    """The body of ``POST /stop`` and ``POST /acknowledge``."""

    fence: Fence
    tasks: tuple[TaskId, ...]


class ErrorKind(Enum):
    """Why a worker refused a call, which then had no effect."""

    STALE_FENCE = "stale_fence"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


class ErrorResponse(msgspec.Struct, frozen=True):
    """The body of an error response.

    Its status is 409 for ``STALE_FENCE``, 400 for ``INVALID`` and 503 for
    ``UNAVAILABLE``.
    """

    error: ErrorKind
    message: str = ""
