"""Dispatch of requests to endpoints of this member or of its peers."""

import time
from collections.abc import Callable, Collection, Mapping
from concurrent.futures import Future, TimeoutError
from typing import Any

from gooseberrydeck_coordination.ids import MemberId, RequestId, ServiceName
from gooseberrydeck_daemon.dispatch.budgets import RetryBudgets
from gooseberrydeck_daemon.dispatch.exceptions import (
    DispatchError,
    NotRunError,
    Outcome,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.dispatch.loads import LoadTable
from gooseberrydeck_daemon.dispatch.messages import (
    ForwardAnswer,
    ForwardCancel,
    ForwardFailure,
    ForwardRequest,
)
from gooseberrydeck_daemon.dispatch.pools import PoolLoad, ServicePool
from gooseberrydeck_daemon.dispatch.recent_failures import RecentFailures
from gooseberrydeck_daemon.dispatch.replies import failure_message, reply_message
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest, Ticket
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import (
    Inbound,
    PeerNotReachedError,
    Peers,
    PeerTimeoutError,
)
from gooseberrydeck_daemon.settings import OverloadSettings
from gooseberrydeck_platform.endpoints import EndpointResponse

__all__ = ["Dispatcher"]

CALLER_CHECK_INTERVAL_S = 0.1
HOP_MARGIN_S = 0.01
MAX_ATTEMPTS = 3

MOVE_WAIT_S = 3.0
"""How long a request waits for the next owner of its endpoints: a release, a claim and
the news of it, each up to one round of the store."""

MOVE_CHECK_INTERVAL_S = 0.05
"""Interval of attempts while ownership moves."""

QUIET_CHECK_S = 0.02
"""Interval of checks whether peers still forward requests."""

RETRIED_REASONS = frozenset(
    {
        Reason.OWNERSHIP_MOVED,
        Reason.PEER_NOT_REACHED,
        Reason.PEER_SILENT,
        Reason.ENDPOINT_NOT_REACHED,
        Reason.ENDPOINT_REFUSED,
        Reason.ENDPOINT_FAILED,
    }
)

OwnersOf = Callable[[ServiceName], Collection[MemberId]]


class Dispatcher:
    """Run requests on endpoints of this member, or of a peer that is one hop away."""

    def __init__(
        self,
        pools: Mapping[ServiceName, ServicePool],
        peers: Peers,
        loads: LoadTable,
        owners_of: OwnersOf,
        budgets: RetryBudgets,
        overload: OverloadSettings,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies.

        ``owners_of`` returns the peers that own endpoints of a service.
        """
        self.pools = pools
        self.peers = peers
        self.loads = loads
        self.owners_of = owners_of
        self.budgets = budgets
        self.overload = overload
        self.recent_failures = RecentFailures()
        self.metrics = metrics
        self.is_draining = False
        self.forwarded: dict[RequestId, Ticket] = {}
        self.last_forward_s = 0.0

    def run(self, request: ServiceRequest) -> EndpointResponse:
        """Return the complete answer, or raise ``DispatchError``. Blocks the caller."""
        request.is_retry = request.is_retry or self.recent_failures.is_repeated(request)
        if not request.is_retry:
            self.budgets.record_fresh(request.service)
        try:
            return self.run_with_retries(request)
        except DispatchError:
            self.recent_failures.record(request)
            raise

    def run_with_retries(self, request: ServiceRequest) -> EndpointResponse:
        """Run a request, retrying failures that are safe to retry.

        If an attempt may have run, the error is that of the last such attempt.
        """
        attempt = 1
        outcome = Outcome.NOT_RUN
        wait_until_s = min(request.deadline_s, time.monotonic() + MOVE_WAIT_S)
        while True:
            try:
                return self.run_once(request, has_retry_token=attempt > 1)
            except DispatchError as error:
                if self.may_wait_for_owner(request, error, wait_until_s):
                    self.metrics.count("dispatch.waits.ownership")
                    time.sleep(MOVE_CHECK_INTERVAL_S)
                    continue
                outcome = outcome.followed_by(error.outcome)
                if error.outcome is outcome:
                    failure = error
                if not self.should_retry(request, error, attempt):
                    if failure is error:
                        raise
                    raise failure from error
            attempt += 1
            request.is_retry = True
            self.metrics.count("dispatch.retries")

    def may_wait_for_owner(
        self, request: ServiceRequest, error: DispatchError, until_s: float
    ) -> bool:
        """Return True if a request that did not run should wait for another owner.

        It was refused by an owner that hands its shards over, so this spends neither an
        attempt nor a token of the retry budget.
        """
        return (
            error.reason is Reason.OWNERSHIP_MOVED
            and error.outcome is Outcome.NOT_RUN
            and time.monotonic() + MOVE_CHECK_INTERVAL_S < until_s
            and not request.is_caller_gone()
        )

    def should_retry(
        self, request: ServiceRequest, error: DispatchError, attempt: int
    ) -> bool:
        """Return True if a failed request can safely be retried and a retry is allowed.

        This spends a token of the retry budget.
        """
        if error.outcome is Outcome.UNKNOWN and not request.is_idempotent:
            return False
        if error.reason not in RETRIED_REASONS or attempt >= MAX_ATTEMPTS:
            return False
        if request.deadline_s <= time.monotonic() or request.is_caller_gone():
            return False
        is_free = not self.overload.has_retry_budget
        if is_free or self.budgets.try_retry(request.service):
            return True
        self.metrics.count("dispatch.retries.over_budget")
        return False

    def run_once(
        self, request: ServiceRequest, has_retry_token: bool
    ) -> EndpointResponse:
        """Run a request once, wherever it is expected to start first.

        A caller's retry for which no budget token was taken may use free slots, but may
        only wait in a queue if it obtains a token.
        """
        pool = self.pools.get(request.service)
        outcome = pool.try_run(request) if pool else None
        if isinstance(outcome, EndpointResponse):
            return outcome
        if outcome is not None:
            raise outcome
        local = pool.load() if pool else PoolLoad()
        owners = self.owners_of(request.service)
        peer = self.loads.choose(owners, request.service, must_be_free=True)
        if peer is not None:
            return self.run_on_peer(peer, request)
        if request.is_retry and not has_retry_token:
            self.require_retry_token(request, local)
        peer = self.loads.choose(owners, request.service, must_be_free=False)
        if (
            pool
            and local.slots
            and not self.starts_sooner_on_peer(peer, request, local)
        ):
            return self.run_locally(pool, request)
        if peer is not None:
            return self.run_on_peer(peer, request)
        raise NotRunError(Reason.NO_ENDPOINT, retry_after_s=1.0)

    def require_retry_token(self, request: ServiceRequest, local: PoolLoad) -> None:
        """Spend a retry token for a caller's retry that would wait in a queue.

        Raise ``NotRunError`` if the retry budget is exhausted.
        """
        if not self.overload.has_retry_budget or not local.waiting:
            return
        if not self.budgets.try_retry(request.service):
            self.metrics.count("dispatch.refused.retry_budget")
            raise NotRunError(Reason.RETRY_BUDGET_SPENT, retry_after_s=1.0)

    def starts_sooner_on_peer(
        self, peer: MemberId | None, request: ServiceRequest, local: PoolLoad
    ) -> bool:
        """Return True if a request is expected to start sooner on a peer than here."""
        if peer is None:
            return False
        remote = self.loads.load_of(peer, request.service)
        if not remote.slots:
            return False
        return remote.waiting / remote.slots < local.waiting / local.slots

    def run_locally(
        self, pool: ServicePool, request: ServiceRequest
    ) -> EndpointResponse:
        """Run a request on an endpoint of this member."""
        ticket = pool.submit(request)
        while True:
            left_s = request.deadline_s - time.monotonic()
            try:
                return ticket.future.result(
                    max(0.0, min(left_s, CALLER_CHECK_INTERVAL_S))
                )
            except TimeoutError:
                if left_s <= CALLER_CHECK_INTERVAL_S:
                    ticket.abandon(Reason.WAITED_TOO_LONG)
                elif self.is_caller_gone(request):
                    self.metrics.count("dispatch.callers.gone")
                    ticket.abandon(Reason.CALLER_GONE)

    def is_caller_gone(self, request: ServiceRequest) -> bool:
        """Return True if the caller has disconnected and this is being monitored."""
        return self.overload.has_caller_watch and request.is_caller_gone()

    def run_on_peer(self, peer: MemberId, request: ServiceRequest) -> EndpointResponse:
        """Forward a request to a peer and return the answer."""
        left_s = request.deadline_s - time.monotonic()
        message = ForwardRequest(
            request.id,
            request.service,
            request.team,
            request.content_type,
            request.body,
            max(1, int((left_s - HOP_MARGIN_S) * 1000)),
            request.is_retry,
        )
        self.loads.record_sent(peer, request.service)
        self.metrics.count("dispatch.forwards")
        sent_s = time.monotonic()
        future = self.peers.request(peer, message, left_s)
        reply = self.wait_for_reply(future, peer, request)
        answer = self.unpack_reply(peer, request, reply)
        request.placed_s = sent_s + reply.waited_ms / 1000
        return answer

    def wait_for_reply(
        self, future: Future[Any], peer: MemberId, request: ServiceRequest
    ) -> Any:
        """Return a peer's reply, or raise a typed error."""
        while True:
            left_s = request.deadline_s - time.monotonic()
            try:
                return future.result(max(0.0, min(left_s, CALLER_CHECK_INTERVAL_S)))
            except PeerNotReachedError as error:
                self.loads.record_unreachable(peer)
                raise NotRunError(Reason.PEER_NOT_REACHED) from error
            except PeerTimeoutError as error:
                raise OutcomeUnknownError(Reason.PEER_SILENT) from error
            except TimeoutError as error:
                if left_s <= CALLER_CHECK_INTERVAL_S:
                    raise OutcomeUnknownError(Reason.PEER_SILENT) from error
            if self.is_caller_gone(request):
                self.metrics.count("dispatch.callers.gone")
                self.peers.send(peer, ForwardCancel(request.id))
                raise OutcomeUnknownError(Reason.CALLER_GONE)

    def unpack_reply(
        self, peer: MemberId, request: ServiceRequest, reply: object
    ) -> EndpointResponse:
        """Return the answer in a peer's reply, or raise the error in it."""
        if not isinstance(reply, ForwardAnswer | ForwardFailure) or (
            reply.id != request.id
        ):
            self.metrics.count("dispatch.answers.crossed")
            raise OutcomeUnknownError(Reason.PEER_SILENT)
        self.loads.record(peer, request.service, reply.load)
        if isinstance(reply, ForwardAnswer):
            return EndpointResponse(reply.status, reply.content_type, reply.body)
        after_ms = reply.retry_after_ms
        after_s = None if after_ms is None else after_ms / 1000
        if reply.outcome is Outcome.NOT_RUN:
            raise NotRunError(reply.reason, after_s)
        raise OutcomeUnknownError(reply.reason, after_s)

    def receive_forward(self, inbound: Inbound) -> None:
        """Run a forwarded request on this member's endpoints; reply when it ends."""
        message: ForwardRequest = inbound.message
        self.last_forward_s = time.monotonic()
        pool = self.pools.get(message.service)
        if pool is None or self.is_draining or not pool.load().slots:
            failure = NotRunError(Reason.OWNERSHIP_MOVED)
            inbound.reply(failure_message(message, failure, PoolLoad()))
            return
        request = ServiceRequest(
            message.id,
            message.service,
            message.team,
            message.content_type,
            message.body,
            time.monotonic() + message.timeout_ms / 1000,
            is_retry=message.is_retry,
        )
        received_s = time.monotonic()
        ticket: Ticket = pool.submit(request)
        self.forwarded[message.id] = ticket

        def answer(future: Future[EndpointResponse]) -> None:
            self.forwarded.pop(message.id, None)
            placed_s = request.placed_s or received_s
            waited_ms = (placed_s - received_s) * 1000
            inbound.reply(reply_message(message, future, pool.load(), waited_ms))

        ticket.future.add_done_callback(answer)

    def wait_until_quiet(self, quiet_s: float, timeout_s: float) -> bool:
        """Wait until no peer has forwarded a request for ``quiet_s``.

        Return False if peers still forward some after ``timeout_s``. Once this member
        has stopped, neither a request on its way to it nor its last replies arrive, and
        their callers wait in vain.
        """
        begun_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s - max(begun_s, self.last_forward_s) >= quiet_s:
                return True
            if now_s - begun_s >= timeout_s:
                return False
            time.sleep(QUIET_CHECK_S)

    def receive_cancel(self, inbound: Inbound) -> None:
        """Abandon a forwarded request whose caller has disconnected."""
        message: ForwardCancel = inbound.message
        ticket = self.forwarded.get(message.id)
        if ticket is not None:
            ticket.abandon(Reason.CALLER_GONE)
