"""Requests, and their way through the states of a pool."""

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
from gooseberrydeck_platform.endpoints import EndpointAnswer

__all__ = ["ServiceRequest", "Ticket", "TicketState"]


def is_never_gone() -> bool:
    """Say that the caller is still there."""
    return False


class ServiceRequest(msgspec.Struct):
    """A request to a service; times are on the monotonic clock.

    ``placed_s`` is when it was last sent to an endpoint, or None before that.
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
    """Where a ticket is on its way."""

    WAITING = "waiting"
    SENDING = "sending"
    ENDED = "ended"


class Ticket:
    """A request in a pool; ends exactly once, by an answer or a typed failure."""

    def __init__(self, request: ServiceRequest) -> None:
        """Begin as waiting."""
        self.request = request
        self.future: Future[EndpointAnswer] = Future()
        self.state = TicketState.WAITING
        self.lock = threading.Lock()

    def begin_sending(self) -> bool:
        """Move from waiting to sending; return False if the ticket has ended."""
        with self.lock:
            if self.state is not TicketState.WAITING:
                return False
            self.state = TicketState.SENDING
            self.request.placed_s = time.monotonic()
            return True

    def abandon(self, reason: Reason) -> None:
        """End the ticket now, as not run if nothing was sent yet."""
        with self.lock:
            before = self.state
            self.state = TicketState.ENDED
        if before is TicketState.WAITING:
            self.future.set_exception(NotRunError(reason))
        elif before is TicketState.SENDING:
            self.future.set_exception(OutcomeUnknownError(reason))

    def end(self, outcome: EndpointAnswer | Exception) -> bool:
        """End the ticket; return False if it was given up before."""
        with self.lock:
            if self.state is TicketState.ENDED:
                return False
            self.state = TicketState.ENDED
        if isinstance(outcome, Exception):
            self.future.set_exception(outcome)
        else:
            self.future.set_result(outcome)
        return True
