"""The endpoints of one service that this member owns, and who waits for them."""

import operator
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Executor

import msgspec

from gooseberrydeck_coordination.ids import HostName, ServiceName, ShardId
from gooseberrydeck_daemon.dispatch.exceptions import (
    NotRunError,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.dispatch.queues import FairQueue
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest, Ticket
from gooseberrydeck_daemon.dispatch.slots import EndpointSlots
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_platform import exceptions as platform
from gooseberrydeck_platform.endpoints import (
    Endpoint,
    EndpointAnswer,
    EndpointRequest,
)

__all__ = ["PoolLoad", "ServicePool"]

ROOM = operator.attrgetter("room")


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """How many slots are free and how many requests wait for one."""

    free: int = 0
    waiting: int = 0
    slots: int = 0


class ServicePool:
    """Match requests of one service with free slots of its endpoints."""

    def __init__(
        self,
        service: ServiceName,
        max_waiting: int,
        executor: Executor,
        may_act: Callable[[ShardId], bool],
        metrics: Metrics,
    ) -> None:
        """Begin without endpoints."""
        self.service = service
        self.executor = executor
        self.may_act = may_act
        self.metrics = metrics
        self.lock = threading.Lock()
        self.queue = FairQueue(max_waiting)
        self.endpoints: dict[HostName, EndpointSlots] = {}

    def set_endpoints(self, endpoints: Iterable[EndpointSlots]) -> None:
        """Use these endpoints from now on; others finish what they have."""
        with self.lock:
            wanted = {item.host.name: item for item in endpoints}
            for name, slots in self.endpoints.items():
                if wanted.get(name) is not slots:
                    slots.retire()
            self.endpoints = wanted
        self.start_waiting()

    def load(self) -> PoolLoad:
        """Return the pool's load at this moment."""
        endpoints = self.endpoints.values()
        return PoolLoad(
            sum([item.room for item in endpoints]),
            self.queue.size,
            sum([item.slots for item in endpoints]),
        )

    def try_run(self, request: ServiceRequest) -> EndpointAnswer | Exception | None:
        """Run a request in the calling thread if a slot is free, else return None.

        The connection's own deadline bounds the call, so that the caller needs no
        second thread to be answered in time.
        """
        with self.lock:
            slots = self.pick() if not self.queue.size else None
            if slots is None:
                return None
            connection = slots.take()
        outcome: EndpointAnswer | Exception = NotRunError(Reason.OWNERSHIP_MOVED)
        if self.may_act(slots.shard):
            outcome = self.call(connection, request)
        with self.lock:
            slots.give_back(connection, isinstance(outcome, EndpointAnswer))
        if self.queue.size:
            self.start_waiting()
        return outcome

    def submit(self, request: ServiceRequest) -> Ticket:
        """Start a request, or let it wait; its ticket ends either way."""
        ticket = Ticket(request)
        displaced = None
        with self.lock:
            slots = self.pick() if not self.queue.size else None
            if slots is not None:
                connection = slots.take()
            else:
                displaced = self.queue.push(ticket)
        if slots is not None:
            self.executor.submit(self.work, slots, connection, ticket)
        elif displaced is not None:
            self.metrics.count("dispatch.queue.displaced")
            displaced.end(NotRunError(Reason.QUEUE_FULL, retry_after_s=1.0))
        return ticket

    def pick(self) -> EndpointSlots | None:
        """Return the endpoint with the most free slots; the lock is held."""
        best = max(self.endpoints.values(), key=ROOM, default=None)
        if best is None or best.room == 0:
            return None
        return best

    def start_waiting(self) -> None:
        """Start waiting tickets while there are free slots."""
        while True:
            with self.lock:
                slots = self.pick()
                ticket = self.queue.pop(lambda _: True) if slots else None
                if slots is None or ticket is None:
                    return
                connection = slots.take()
            self.executor.submit(self.work, slots, connection, ticket)

    def work(self, slots: EndpointSlots, connection: Endpoint, ticket: Ticket) -> None:
        """Run a ticket, then others that wait, until the slot is not needed."""
        next_ticket: Ticket | None = ticket
        while next_ticket is not None:
            is_reusable = self.run_ticket(slots, connection, next_ticket)
            with self.lock:
                slots.give_back(connection, is_reusable)
                picked = self.pick() if self.queue.size else None
                next_ticket = self.queue.pop(lambda _: True) if picked else None
                if picked is not None and next_ticket is not None:
                    slots, connection = picked, picked.take()

    def run_ticket(
        self, slots: EndpointSlots, connection: Endpoint, ticket: Ticket
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        if not self.may_act(slots.shard):
            ticket.end(NotRunError(Reason.OWNERSHIP_MOVED))
            return True
        if not ticket.begin_sending():
            return True
        outcome = self.call(connection, ticket.request)
        if not ticket.end(outcome):
            self.metrics.count("dispatch.answers.late")
        return isinstance(outcome, EndpointAnswer)

    def call(
        self, connection: Endpoint, request: ServiceRequest
    ) -> EndpointAnswer | Exception:
        """Return the endpoint's answer, or the typed failure."""
        message = EndpointRequest(
            request.id, request.service, request.content_type, request.body
        )
        timeout_s = request.deadline_s - time.monotonic()
        if timeout_s <= 0:
            return NotRunError(Reason.WAITED_TOO_LONG)
        try:
            return connection.call(message, timeout_s)
        except platform.EndpointUnavailableError:
            return NotRunError(Reason.ENDPOINT_NOT_REACHED)
        except platform.EndpointRefusedError:
            return NotRunError(Reason.ENDPOINT_REFUSED)
        except platform.OutcomeUnknownError:
            is_late = request.deadline_s <= time.monotonic()
            reason = Reason.ENDPOINT_LATE if is_late else Reason.ENDPOINT_FAILED
            return OutcomeUnknownError(reason)
        except Exception:
            self.metrics.count("dispatch.calls.crashed")
            return OutcomeUnknownError(Reason.MEMBER_FAILED)

    def expire(self, now_s: float) -> None:
        """Answer the waiting tickets whose time is up."""
        with self.lock:
            expired = self.queue.remove_where(
                lambda ticket: ticket.request.deadline_s <= now_s
            )
        for ticket in expired:
            ticket.give_up(Reason.WAITED_TOO_LONG)
