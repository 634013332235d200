"""Pool of the endpoints of one service that this member owns."""

import operator
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Executor

import msgspec

from gooseberrydeck_coordination.ids import HostName, ServiceName, ShardId
from gooseberrydeck_daemon.dispatch.breakers import BreakerState
from gooseberrydeck_daemon.dispatch.calls import (
    CallOutcome,
    call_endpoint,
    is_endpoint_failure,
)
from gooseberrydeck_daemon.dispatch.exceptions import NotRunError, Reason
from gooseberrydeck_daemon.dispatch.limits import RequestLimits
from gooseberrydeck_daemon.dispatch.queues import FairQueue
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest, Ticket
from gooseberrydeck_daemon.dispatch.slots import EndpointSlots
from gooseberrydeck_daemon.dispatch.waits import WaitEstimate
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.settings import OverloadSettings
from gooseberrydeck_platform.endpoints import Endpoint, EndpointResponse

__all__ = ["PoolLoad", "ServicePool"]

RANK = operator.attrgetter("rank")
MIN_CLOSED_FRACTION = 0.5
UNSENT_REASONS = frozenset(
    {Reason.OWNERSHIP_MOVED, Reason.CALLER_GONE, Reason.WAITED_TOO_LONG}
)


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of free slots, waiting requests and slots."""

    free: int = 0
    waiting: int = 0
    slots: int = 0


class AcquiredSlot(msgspec.Struct):
    """An acquired slot, its connection and the request counted against a limit."""

    slots: EndpointSlots
    connection: Endpoint
    request: ServiceRequest


class ServicePool:
    """Assign requests of one service to free slots of its endpoints."""

    def __init__(
        self,
        service: ServiceName,
        max_waiting: int,
        executor: Executor,
        may_act: Callable[[ShardId], bool],
        limits: RequestLimits,
        overload: OverloadSettings,
        metrics: Metrics,
    ) -> None:
        """Create a pool without endpoints."""
        self.service = service
        self.executor = executor
        self.may_act = may_act
        self.limits = limits
        self.overload = overload
        self.metrics = metrics
        self.lock = threading.Lock()
        self.queue = FairQueue(max_waiting, overload.has_fresh_first)
        self.waits = WaitEstimate()
        self.endpoints: dict[HostName, EndpointSlots] = {}

    def set_endpoints(self, endpoints: Iterable[EndpointSlots]) -> None:
        """Replace the endpoints; removed ones finish the requests they have.

        Without endpoints, waiting requests are left to the next owner of these.
        """
        stranded: list[Ticket] = []
        with self.lock:
            wanted = {item.host.name: item for item in endpoints}
            for name, slots in self.endpoints.items():
                if wanted.get(name) is not slots:
                    slots.retire()
            self.endpoints = wanted
            if not wanted:
                stranded = self.queue.remove_where(lambda _: True)
        for ticket in stranded:
            ticket.abandon(Reason.OWNERSHIP_MOVED)
        self.start_waiting()

    def load(self) -> PoolLoad:
        """Return the current load of the pool."""
        endpoints = self.endpoints.values()
        return PoolLoad(
            sum([item.free_slots for item in endpoints]),
            self.queue.size,
            sum([item.slots for item in endpoints]),
        )

    def in_use(self) -> int:
        """Return the number of requests that are running on endpoints."""
        return sum([item.in_use for item in self.endpoints.values()])

    def try_run(self, request: ServiceRequest) -> CallOutcome | None:
        """Run a request on the calling thread if a slot is free, else return None.

        The call is bounded by the request's deadline, so no second thread is needed to
        respond to the caller in time.
        """
        with self.lock:
            acquired = self.acquire_slot(request) if not self.queue.size else None
        if acquired is None:
            return None
        outcome: CallOutcome = NotRunError(Reason.OWNERSHIP_MOVED)
        if self.may_act(acquired.slots.shard):
            request.placed_s = time.monotonic()
            outcome = call_endpoint(acquired.connection, request, self.metrics)
        with self.lock:
            self.release_slot(acquired, outcome)
        if self.queue.size:
            self.start_waiting()
        return outcome

    def submit(self, request: ServiceRequest) -> Ticket:
        """Start or queue a request, and return its ticket, which always completes."""
        ticket = Ticket(request)
        displaced = None
        with self.lock:
            acquired = self.acquire_slot(request) if not self.queue.size else None
            if acquired is None:
                refusal = self.check_deadline(request)
                if refusal is None:
                    displaced = self.queue.push(ticket)
        if acquired is not None:
            self.executor.submit(self.run_tickets, acquired, ticket)
        elif refusal is not None:
            self.metrics.count("dispatch.refused.deadline")
            ticket.end(refusal)
        elif displaced is not None:
            self.metrics.count("dispatch.queue.displaced")
            displaced.end(NotRunError(Reason.QUEUE_FULL, self.retry_after_s()))
        return ticket

    def check_deadline(self, request: ServiceRequest) -> NotRunError | None:
        """Return an error if the request is not expected to finish before its deadline.

        The caller must hold the lock.
        """
        if not self.overload.has_deadline_admission:
            return None
        ahead = self.queue.ahead_of(request)
        slots = sum([item.usable_slots for item in self.endpoints.values()])
        if self.waits.meets_deadline(ahead, slots, request.deadline_s):
            return None
        return NotRunError(Reason.DEADLINE_OUT_OF_REACH, self.retry_after_s())

    def retry_after_s(self) -> float:
        """Return the estimated seconds until the current queue has been served."""
        slots = sum([item.usable_slots for item in self.endpoints.values()])
        return self.waits.wait_s(self.queue.size, slots)

    def acquire_slot(self, request: ServiceRequest) -> AcquiredSlot | None:
        """Acquire a free slot within the team's limit.

        The caller must hold the lock.
        """
        best = max(self.endpoints.values(), key=RANK, default=None)
        if best is None or best.free_slots == 0:
            return None
        if not self.limits.try_admit(request.team, best.shard):
            best = self.choose_other_endpoint(request, best)
            if best is None:
                return None
        return AcquiredSlot(best, best.acquire(), request)

    def choose_other_endpoint(
        self, request: ServiceRequest, refused: EndpointSlots
    ) -> EndpointSlots | None:
        """Return a free endpoint on another shard that admits the team's request."""
        tried = {refused.shard}
        for slots in self.endpoints.values():
            if slots.free_slots and slots.shard not in tried:
                if self.limits.try_admit(request.team, slots.shard):
                    return slots
                tried.add(slots.shard)
        request.is_limited = True
        return None

    def release_slot(self, acquired: AcquiredSlot, outcome: CallOutcome) -> None:
        """Release a slot and record the call's outcome.

        The caller must hold the lock.
        """
        slots = acquired.slots
        self.limits.release(acquired.request.team, slots.shard)
        now_s = time.monotonic()
        if isinstance(outcome, EndpointResponse):
            is_reusable = is_timed = True
        else:
            is_reusable = outcome.reason in UNSENT_REASONS
            is_timed = outcome.reason is Reason.ENDPOINT_LATE
        is_failure = is_endpoint_failure(outcome)
        is_tested = is_failure or isinstance(outcome, EndpointResponse)
        is_tested = is_tested and self.overload.has_breakers
        if is_tested and slots.record(not is_failure, now_s):
            self.update_breakers(now_s)
        if is_timed and acquired.request.placed_s is not None:
            self.waits.record(now_s - acquired.request.placed_s)
        slots.release(acquired.connection, is_reusable)

    def update_breakers(self, now_s: float) -> None:
        """Recompute whether breakers are ignored, and refresh all endpoints.

        They are ignored while they would disable most of the pool.
        """
        endpoints = self.endpoints.values()
        closed = sum([item.breaker.state is BreakerState.CLOSED for item in endpoints])
        ignore = closed < MIN_CLOSED_FRACTION * len(endpoints)
        self.metrics.count("dispatch.breakers.changed")
        for item in endpoints:
            item.ignores_breaker = ignore
            item.refresh(now_s)

    def pop_runnable(self) -> tuple[AcquiredSlot, Ticket] | None:
        """Remove the next ticket that can start, and acquire a slot for it.

        The caller must hold the lock.
        """
        found: list[AcquiredSlot] = []

        def may_start(ticket: Ticket) -> bool:
            acquired = self.acquire_slot(ticket.request)
            if acquired is not None:
                found.append(acquired)
            return acquired is not None

        ticket = self.queue.pop(may_start)
        return (found[0], ticket) if ticket is not None else None

    def start_waiting(self) -> None:
        """Start waiting tickets while slots are free."""
        while True:
            with self.lock:
                started = self.pop_runnable() if self.queue.size else None
            if started is None:
                return
            self.executor.submit(self.run_tickets, *started)

    def run_tickets(self, acquired: AcquiredSlot, ticket: Ticket) -> None:
        """Run a ticket, then waiting ones, until there is no ticket that can start."""
        started: tuple[AcquiredSlot, Ticket] | None = (acquired, ticket)
        while started is not None:
            outcome = self.run_ticket(*started)
            with self.lock:
                self.release_slot(started[0], outcome)
                started = self.pop_runnable() if self.queue.size else None

    def run_ticket(self, acquired: AcquiredSlot, ticket: Ticket) -> CallOutcome:
        """Send one request and complete its ticket."""
        if not self.may_act(acquired.slots.shard):
            moved = NotRunError(Reason.OWNERSHIP_MOVED)
            ticket.end(moved)
            return moved
        if not ticket.begin_sending():
            return NotRunError(Reason.CALLER_GONE)
        outcome = call_endpoint(acquired.connection, ticket.request, self.metrics)
        if not ticket.end(outcome):
            self.metrics.count("dispatch.answers.late")
        return outcome

    def refresh(self, now_s: float) -> None:
        """Update breakers and slow starts, expire waiting requests and start others."""
        with self.lock:
            for item in self.endpoints.values():
                if not item.is_steady:
                    item.refresh(now_s)
            expired = self.queue.remove_where(
                lambda ticket: ticket.request.deadline_s <= now_s
            )
        for ticket in expired:
            limited = ticket.request.is_limited
            ticket.abandon(Reason.TEAM_LIMIT if limited else Reason.WAITED_TOO_LONG)
        if self.queue.size:
            self.start_waiting()
