"""The bodies of the calls to workers over HTTP."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import TaskId
from gooseberrydeck_platform.workers import Fence, StartResult, TaskReport, TaskStart

__all__ = [
    "AdoptCall",
    "CheckpointCall",
    "Failure",
    "FailureKind",
    "RenewCall",
    "Reports",
    "StartCall",
    "StartResults",
    "TasksCall",
    "ThrottleCall",
]


class AdoptCall(msgspec.Struct, frozen=True):
    """The body of ``POST /adopt``."""

    fence: Fence


class StartCall(msgspec.Struct, frozen=True):
    """The body of ``POST /start``."""

    fence: Fence
    starts: tuple[TaskStart, ...]


class StartResults(msgspec.Struct, frozen=True):
    """The answer to ``POST /start``."""

    results: tuple[StartResult, ...]


class RenewCall(msgspec.Struct, frozen=True):
    """The body of ``POST /renew``."""

    fence: Fence
    tasks: tuple[TaskId, ...]
    lease_s: float


class Reports(msgspec.Struct, frozen=True):
    """The answer to ``POST /renew``."""

    tasks: tuple[TaskReport, ...]


class CheckpointCall(msgspec.Struct, frozen=True):
    """The body of ``POST /checkpoint``."""

    fence: Fence
    task: TaskId


class ThrottleCall(msgspec.Struct, frozen=True):
    """The body of ``POST /throttle``."""

    fence: Fence
    task: TaskId
    cpu_millis: int


class TasksCall(msgspec.Struct, frozen=True):
    """The body of ``POST /stop`` and of ``POST /acknowledge``."""

    fence: Fence
    tasks: tuple[TaskId, ...]


class FailureKind(Enum):
    """Why a call was refused; a refused call had no effect."""

    STALE_FENCE = "stale_fence"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


class Failure(msgspec.Struct, frozen=True):
    """The body of a refusal: 409, 400 or 503 by its kind."""

    error: FailureKind
    message: str = ""
