"""The adapter of workers that speak JSON over HTTP."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from gooseberrydeck_coordination.ids import TaskId
from gooseberrydeck_platform.exceptions import (
    OutcomeUnknownError,
    StaleFenceError,
    WorkerUnavailableError,
)
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpNotSentError,
    HttpOutcomeUnknownError,
    HttpResponse,
)
from gooseberrydeck_platform.http_pool import HttpPool
from gooseberrydeck_platform.worker_messages import (
    AdoptRequest,
    CheckpointRequest,
    ErrorKind,
    ErrorResponse,
    RenewRequest,
    RenewResponse,
    StartRequest,
    StartResponse,
    TasksRequest,
    ThrottleRequest,
)
from gooseberrydeck_platform.workers import (
    Adoption,
    Fence,
    StartResult,
    TaskReport,
    TaskStart,
)

__all__ = ["HttpWorker"]

T = TypeVar("T")

HEADERS = {"Content-Type": "application/json"}


class Done(msgspec.Struct, frozen=True):
    """The answer of a call that returns nothing."""


class HttpWorker:
    """One worker at a host's address; several threads may call it."""

    def __init__(self, host: Host) -> None:
        """Begin without connections."""
        self.host = host
        self.pool = HttpPool([HttpAddress(host.address, host.port)])

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Raise the worker's fence and return everything it holds."""
        return self.call("/adopt", AdoptRequest(fence), Adoption, timeout_s)

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start several tasks, each by itself, in order."""
        call = StartRequest(fence, tuple(starts))
        return self.call("/start", call, StartResponse, timeout_s).results

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew leases and return the reports of every task that it holds."""
        call = RenewRequest(fence, tuple(tasks), lease_s)
        return self.call("/renew", call, RenewResponse, timeout_s).tasks

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Ask a task to save its state and end as ``CHECKPOINTED``."""
        self.call("/checkpoint", CheckpointRequest(fence, task), Done, timeout_s)

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Bound the processor use of a task."""
        call = ThrottleRequest(fence, task, cpu_millis)
        self.call("/throttle", call, Done, timeout_s)

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks; one that is not known is never started afterwards."""
        self.call("/stop", TasksRequest(fence, tuple(tasks)), Done, timeout_s)

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Let the worker forget ended tasks whose outcome has been recorded."""
        self.call("/acknowledge", TasksRequest(fence, tuple(tasks)), Done, timeout_s)

    def call(
        self, path: str, body: msgspec.Struct, answer_type: type[T], timeout_s: float
    ) -> T:
        """Make one call and return its typed answer."""
        content = msgspec.json.encode(body)
        try:
            response = self.pool.request(
                "POST", self.host.path + path, content, HEADERS, timeout_s
            )
        except HttpNotSentError as error:
            raise WorkerUnavailableError(str(error)) from error
        except HttpOutcomeUnknownError as error:
            raise OutcomeUnknownError(str(error)) from error
        if response.status != 200:
            raise self.failure(response)
        try:
            return msgspec.json.decode(response.body, type=answer_type)
        except msgspec.DecodeError as error:
            raise OutcomeUnknownError(f"{self.host.name}: {error}") from error

    def failure(
        self, response: HttpResponse
    ) -> StaleFenceError | WorkerUnavailableError | OutcomeUnknownError:
        """Return the error that a refusal stands for.

        Without a body that says why, a failure may come from anything on the way.
        """
        try:
            failure = msgspec.json.decode(response.body, type=ErrorResponse)
        except msgspec.DecodeError:
            return OutcomeUnknownError(f"{self.host.name}: status {response.status}")
        message = f"{self.host.name}: {failure.message or failure.error.value}"
        if failure.error is ErrorKind.STALE_FENCE:
            return StaleFenceError(message)
        return WorkerUnavailableError(message)

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()
