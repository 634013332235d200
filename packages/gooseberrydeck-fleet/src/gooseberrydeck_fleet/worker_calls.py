"""The interface to workers and their replies."""

from enum import Enum
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.ids import TaskRef

__all__ = [
    "EndKind",
    "EndReport",
    "PollReply",
    "RunReport",
    "StartOutcome",
    "StartRequest",
    "WorkerCallError",
    "WorkerCalls",
    "WorkerFencedError",
    "WorkerRefusedError",
    "WorkerNotReachedError",
    "WorkerReplacedError",
    "WorkerReply",
    "WorkerSilentError",
]


class WorkerCallError(Exception):
    """Base class of failed calls to a worker."""


class WorkerFencedError(WorkerCallError):
    """The worker has seen a higher fencing token: another member schedules it now."""


class WorkerRefusedError(WorkerCallError):
    """The connection was refused: the worker's process has ended, or it is cut off."""


class WorkerReplacedError(WorkerCallError):
    """Another worker instance answers at the worker's address."""


class WorkerNotReachedError(WorkerCallError):
    """The call was not sent."""


class WorkerSilentError(WorkerCallError):
    """No usable reply arrived; the worker may have executed the call or still may."""


class EndKind(Enum):
    """How a run ended; ``FAILED`` is a fault of the task or of its worker."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class RunReport(msgspec.Struct, frozen=True):
    """A run in progress; ``progress`` is in percent.

    The ``load`` of a task with a latency target is its tail latency in milliseconds.
    """

    task: TaskRef
    run: int
    checkpoint: str
    progress: float
    load: float = 0.0


class EndReport(msgspec.Struct, frozen=True):
    """The end of a run, numbered consecutively within a worker's incarnation."""

    number: int
    task: TaskRef
    run: int
    kind: EndKind
    checkpoint: str


class PollReply(msgspec.Struct, frozen=True):
    """The runs in progress on a worker and the ends not yet acknowledged."""

    clock_ms: int
    born_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


class WorkerReply(msgspec.Struct, frozen=True):
    """The worker's clock and the start of its process, both in milliseconds."""

    clock_ms: int
    born_ms: int


class StartOutcome(Enum):
    """The outcome of a start request; all but ``STARTED`` mean that nothing started."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    SHED = "shed"
    INVALID = "invalid"


class StartRequest(msgspec.Struct, frozen=True):
    """A request to start a run; ``lease_until_ms`` is on the worker's clock."""

    task: TaskRef
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerCalls(Protocol):
    """Calls to one incarnation of a worker; failures raise a ``WorkerCallError``."""

    def poll(
        self,
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> PollReply:
        """Extend all leases and return the runs in progress and the new ends.

        Ends up to number ``last_seen`` are acknowledged. The worker waits up to
        ``wait_s`` for a new end before it replies.
        """

    def start(
        self, request: StartRequest, token: Epoch, timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run."""

    def stop(
        self, task: TaskRef, run: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Stop a run, even if its start request has not arrived yet."""

    def throttle(
        self, task: TaskRef, run: int, percent: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Limit a run to ``percent`` of its full speed."""

    def close(self) -> None:
        """Close idle connections."""
