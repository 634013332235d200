"""The results of calls to workers, as messages to the scheduler's inbox."""

import msgspec

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import StopRun, ThrottleRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.send_permission import Obstacle
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartOutcome,
    WorkerFencedError,
    WorkerRefusedError,
    WorkerReplacedError,
)

__all__ = [
    "CallFailed",
    "CallFailure",
    "CommandCompleted",
    "PollSucceeded",
    "StartCompleted",
    "to_call_failure",
]


class PollSucceeded(msgspec.Struct, frozen=True):
    """The runs and run ends reported by a worker.

    ``sent_s`` is the monotonic time at which the poll was sent, with ``token``.
    """

    worker: WorkerId
    reply: PollReply
    sent_s: float
    token: Epoch


class StartCompleted(msgspec.Struct, frozen=True):
    """The result of a start command; ``outcome`` is None without a response.

    ``was_sent`` is false if the command certainly did not reach the worker.
    ``is_repeat`` says that an earlier attempt had no response, ``is_fenced`` that the
    worker responded and had seen a higher token. ``obstacle`` is why the command, or
    its second attempt, was not sent. ``number`` is that of the order, or 0 if it was
    not handed to a thread. If another process of the worker has responded than the one
    that the command was meant for, ``born_ms`` is the start of the latter, and else 0.
    ``other_born_ms`` is the start of the one that responded, or 0 if it named none.
    """

    worker: WorkerId
    task: TaskRef
    run: int
    outcome: StartOutcome | None
    was_sent: bool = True
    is_repeat: bool = False
    is_fenced: bool = False
    obstacle: Obstacle | None = None
    number: int = 0
    born_ms: int = 0
    other_born_ms: int = 0

    @property
    def has_response(self) -> bool | None:
        """Return whether the worker responded, or None if it wasn't called."""
        if self.obstacle is not None:
            return None
        return self.outcome is not None or self.is_fenced

    @property
    def may_be_repeated(self) -> bool:
        """Return True if a first attempt reached the worker, or may still do so."""
        return self.was_sent and not self.is_repeat and self.has_response is False


class CommandCompleted(msgspec.Struct, frozen=True):
    """A stop or throttle command was executed, or not sent because of ``obstacle``.

    ``has_response`` and ``number`` are as in ``StartCompleted``.
    """

    command: StopRun | ThrottleRun
    has_response: bool | None
    obstacle: Obstacle | None = None
    number: int = 0


class CallFailure(msgspec.Struct, frozen=True):
    """The reason of a failed call.

    ``is_replaced`` means that another process answers in the worker's place,
    ``is_refused`` that the connection was refused, and ``is_fenced`` that the worker
    has seen a higher token. With none of them, the worker did not respond, within the
    time of the call if ``has_timed_out``.
    """

    is_replaced: bool = False
    is_refused: bool = False
    is_fenced: bool = False
    has_timed_out: bool = False
    detail: str = ""


class CallFailed(msgspec.Struct, frozen=True):
    """A poll or command failed, or a start for a reason that concerns the worker."""

    worker: WorkerId
    is_poll: bool
    failure: CallFailure
    token: Epoch
    sent_s: float = 0.0
    """Monotonic time; set for polls only."""


def to_call_failure(error: Exception, has_timed_out: bool = False) -> CallFailure:
    """Return the failure that an exception of a worker call stands for."""
    return CallFailure(
        is_replaced=isinstance(error, WorkerReplacedError),
        is_refused=isinstance(error, WorkerRefusedError),
        is_fenced=isinstance(error, WorkerFencedError),
        has_timed_out=has_timed_out,
        detail=f"{type(error).__name__}: {error}",
    )
