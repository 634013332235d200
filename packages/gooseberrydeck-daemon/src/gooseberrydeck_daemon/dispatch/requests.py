"""Requests and their tickets in a pool."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import RequestId, ServiceName, TeamName
from gooseberrydeck_daemon.dispatch.exceptions import (
    NotRunError,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_platform.endpoints import EndpointResponse

__all__ = ["ServiceRequest", "Ticket", "TicketState"]


def is_never_gone() -> bool:
    """Return False; the default for callers that cannot disconnect."""
    return False


class ServiceRequest(msgspec.Struct):
    """A request to a service; times are on the monotonic clock.

    ``placed_s`` is when it was last sent to an endpoint, or None if it was not.
    """

    id: RequestId
    service: ServiceName
    team: TeamName
    content_type: str
    body: bytes
    deadline_s: float
    is_idempotent: bool = False
    is_retry: bool = False
    is_limited: bool = False
    placed_s: float | None = None
    is_caller_gone: Callable[[], bool] = is_never_gone


class TicketState(Enum):
    """The state of a ticket."""

    WAITING = "waiting"
    SENDING = "sending"
    ENDED = "ended"


class Ticket:
    """A request in a pool; completes exactly once, with an answer or a typed error."""

    def __init__(self, request: ServiceRequest) -> None:
        """Create a waiting ticket."""
        self.request = request
        self.future: Future[EndpointResponse] = Future()
        self.state = TicketState.WAITING
        self.lock = threading.Lock()

    def begin_sending(self) -> bool:
        """Change the state from waiting to sending; return False if it has ended."""
        with self.lock:
            if self.state is not TicketState.WAITING:
                return False
            self.state = TicketState.SENDING
            self.request.placed_s = time.monotonic()
            return True

    def abandon(self, reason: Reason) -> None:
        """End the ticket now; the outcome is unknown if the request has been sent."""
        with self.lock:
            before = self.state
            self.state = TicketState.ENDED
        if before is TicketState.WAITING:
            self.future.set_exception(NotRunError(reason))
        elif before is TicketState.SENDING:
            self.future.set_exception(OutcomeUnknownError(reason))

    def end(self, outcome: EndpointResponse | Exception) -> bool:
        """End the ticket with an outcome; return False if it had been abandoned."""
        with self.lock:
            if self.state is TicketState.ENDED:
                return False
            self.state = TicketState.ENDED
        if isinstance(outcome, Exception):
            self.future.set_exception(outcome)
        else:
            self.future.set_result(outcome)
        return True
