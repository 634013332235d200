"""Stand-ins for the threads and the workers that commands go to."""

from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import ParamSpec, TypeVar

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartOutcome,
    StartRequest,
    WorkerReply,
    WorkerSilentError,
)

P = ParamSpec("P")
T = TypeVar("T")


class BusyExecutor(Executor):
    """An executor whose threads are all busy until the test says otherwise."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[Callable[[], object]] = []

    def submit(
        self, function: Callable[P, T], /, *args: P.args, **kwargs: P.kwargs
    ) -> Future[T]:
        """Queue a call."""
        self.calls.append(lambda: function(*args, **kwargs))
        return Future()

    def run(self) -> None:
        """Execute the queued calls in order, and those that they queue."""
        while self.calls:
            self.calls.pop(0)()


class RecordingCalls:
    """Calls to a worker, recorded by name; a start may get no response."""

    def __init__(self) -> None:
        """Create a worker that responds."""
        self.sent: list[str] = []
        self.percents: list[int] = []
        self.before_response: Callable[[], None] | None = None

    def poll(
        self,
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> PollReply:
        """Report nothing."""
        return PollReply(0, 1, (), ())

    def start(
        self, request: StartRequest, token: Epoch, timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Record a start, whose response is lost if something happens before it."""
        self.sent.append("start")
        if self.before_response is not None:
            self.before_response()
            raise WorkerSilentError("timed out")
        return StartOutcome.STARTED, WorkerReply(0, 1)

    def stop(
        self, task: TaskRef, run: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Record a stop."""
        self.sent.append("stop")
        return WorkerReply(0, 1)

    def throttle(
        self, task: TaskRef, run: int, percent: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Record a change of speed."""
        self.sent.append("throttle")
        self.percents.append(percent)
        return WorkerReply(0, 1)

    def close(self) -> None:
        """Do nothing."""
