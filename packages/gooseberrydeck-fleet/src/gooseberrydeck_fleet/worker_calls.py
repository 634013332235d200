"""The interface to a worker, and what it answers."""

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
    "WorkerGoneError",
    "WorkerNotReachedError",
    "WorkerReplacedError",
    "WorkerReply",
    "WorkerSilentError",
]


class WorkerCallError(Exception):
    """The base of the failures of calls to a worker."""


class WorkerFencedError(WorkerCallError):
    """The worker has seen a higher token: another member schedules it now."""


class WorkerGoneError(WorkerCallError):
    """Nothing listens at the worker's address: its process has ended."""


class WorkerReplacedError(WorkerCallError):
    """Another instance answers at the worker's address."""


class WorkerNotReachedError(WorkerCallError):
    """The call was certainly not sent."""


class WorkerSilentError(WorkerCallError):
    """No usable answer came; the call may have been executed, or may be later."""


class EndKind(Enum):
    """How a run ended; ``FAILED`` is by its own fault or its worker's."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class RunReport(msgspec.Struct, frozen=True):
    """Something that runs; ``progress`` is in percent."""

    task: TaskRef
    run: int
    checkpoint: str
    progress: float
    load: float = 0.0


class EndReport(msgspec.Struct, frozen=True):
    """The end of a run; numbers rise by one within a worker's life."""

    number: int
    task: TaskRef
    run: int
    kind: EndKind
    checkpoint: str


class PollReply(msgspec.Struct, frozen=True):
    """All that runs on a worker, and the ends that were not acknowledged."""

    clock_ms: int
    born_ms: int
    runs: tuple[RunReport, ...]
    ends: tuple[EndReport, ...]


class WorkerReply(msgspec.Struct, frozen=True):
    """The worker's clock and the Unix millisecond of its start."""

    clock_ms: int
    born_ms: int


class StartOutcome(Enum):
    """How a worker answers a start; all but the first mean that nothing began."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    SHED = "shed"
    INVALID = "invalid"


class StartRequest(msgspec.Struct, frozen=True):
    """A run to start; ``lease_until_ms`` is on the worker's clock."""

    task: TaskRef
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerCalls(Protocol):
    """Calls to one life of a worker; each raises a ``WorkerCallError``."""

    def poll(
        self,
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> PollReply:
        """Extend all leases and return what runs and what has ended."""

    def start(
        self, request: StartRequest, token: Epoch, timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run."""

    def stop(
        self, task: TaskRef, run: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Stop a run, also one that has not arrived yet."""

    def throttle(
        self, task: TaskRef, run: int, percent: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Let a run work at a share of its speed."""

    def close(self) -> None:
        """Close the idle connections."""
