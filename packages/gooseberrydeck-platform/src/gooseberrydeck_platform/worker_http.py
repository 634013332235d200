"""Client for workers that speak JSON over HTTP."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
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


class EmptyResponse(msgspec.Struct, frozen=True):
    """The response to a call that returns no data."""


class HttpWorker:
    """A thread-safe client for the worker on one host."""

    def __init__(self, host: Host) -> None:
        """Create a client without open connections."""
        self.host = host
        self.pool = HttpPool([HttpAddress(host.address, host.port)])

    def adopt(self, fence: Fence, timeout_s: float) -> Adoption:
        """Adopt the worker under a new fence and return the tasks that it holds."""
        return self.call("/adopt", AdoptRequest(fence), Adoption, timeout_s)

    def start(
        self, fence: Fence, starts: Sequence[TaskStart], timeout_s: float
    ) -> tuple[StartResult, ...]:
        """Start tasks in order and return one result for each."""
        request = StartRequest(fence, tuple(starts))
        return self.call("/start", request, StartResponse, timeout_s).results

    def renew(
        self, fence: Fence, tasks: Sequence[TaskId], lease_s: float, timeout_s: float
    ) -> tuple[TaskReport, ...]:
        """Renew the leases of ``tasks`` and return reports of all tasks held."""
        request = RenewRequest(fence, tuple(tasks), lease_s)
        return self.call("/renew", request, RenewResponse, timeout_s).tasks

    def checkpoint(self, fence: Fence, task: TaskId, timeout_s: float) -> None:
        """Make a task save its state and end as ``CHECKPOINTED``."""
        self.call(
            "/checkpoint", CheckpointRequest(fence, task), EmptyResponse, timeout_s
        )

    def throttle(
        self, fence: Fence, task: TaskId, cpu_millis: int, timeout_s: float
    ) -> None:
        """Limit the CPU use of a task, in thousandths of a core."""
        request = ThrottleRequest(fence, task, cpu_millis)
        self.call("/throttle", request, EmptyResponse, timeout_s)

    def stop(self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float) -> None:
        """Stop tasks; a task that is not known yet is refused if its start follows."""
        self.call("/stop", TasksRequest(fence, tuple(tasks)), EmptyResponse, timeout_s)

    def acknowledge(
        self, fence: Fence, tasks: Sequence[TaskId], timeout_s: float
    ) -> None:
        """Acknowledge recorded outcomes, so that the worker drops the ended tasks."""
        self.call(
            "/acknowledge", TasksRequest(fence, tuple(tasks)), EmptyResponse, timeout_s
        )

    def call(
        self, path: str, body: msgspec.Struct, response_type: type[T], timeout_s: float
    ) -> T:
        """Post a request and return the decoded response.

        Raise ``WorkerUnavailableError`` if the request was not sent and
        ``OutcomeUnknownError`` if the response is missing or cannot be decoded.
        """
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
            raise self.error_for(response)
        try:
            return decode_json(response.body, response_type)
        except DecodingError as error:
            raise OutcomeUnknownError(f"{self.host.name}: {error}") from error

    def error_for(
        self, response: HttpResponse
    ) -> StaleFenceError | WorkerUnavailableError | OutcomeUnknownError:
        """Return the exception for an error response.

        A response without a worker's error body may come from an intermediary, so its
        outcome is unknown.
        """
        try:
            refusal = decode_json(response.body, ErrorResponse)
        except DecodingError:
            return OutcomeUnknownError(f"{self.host.name}: status {response.status}")
        message = f"{self.host.name}: {refusal.message or refusal.error.value}"
        if refusal.error is ErrorKind.STALE_FENCE:
            return StaleFenceError(message)
        return WorkerUnavailableError(message)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()
