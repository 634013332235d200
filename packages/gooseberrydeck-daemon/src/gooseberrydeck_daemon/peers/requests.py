"""Pending requests and their replies, matched by correlation id."""

import heapq
from collections import deque
from concurrent.futures import Future, InvalidStateError
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers.exceptions import PeerError, PeerTimeoutError

__all__ = [
    "PendingRequest",
    "PendingRequestTable",
    "RequestDeduplicator",
    "resolve_future",
]

MAX_REMEMBERED_REQUESTS = 4096


class PendingRequest(msgspec.Struct):
    """A request that was sent to ``member`` and expires at ``deadline_s``."""

    member: MemberId
    future: Future[Any]
    deadline_s: float


def resolve_future(future: Future[Any], outcome: object) -> bool:
    """Set a future's result or error; return False if it was done already."""
    try:
        if isinstance(outcome, PeerError):
            future.set_exception(outcome)
        else:
            future.set_result(outcome)
    except InvalidStateError:
        return False
    return True


class PendingRequestTable:
    """The requests of this member without a reply yet; for the network task only."""

    def __init__(self, metrics: Metrics) -> None:
        """Create an empty table."""
        self.metrics = metrics
        self.pending: dict[int, PendingRequest] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.last_correlation_id = 0

    def add(self, request: PendingRequest) -> int:
        """Add a request and return its new correlation id."""
        self.last_correlation_id += 1
        self.pending[self.last_correlation_id] = request
        heapq.heappush(self.deadlines, (request.deadline_s, self.last_correlation_id))
        return self.last_correlation_id

    def expects_reply(self, member: MemberId) -> bool:
        """Return True if a request to a member has no reply yet."""
        return any(request.member == member for request in self.pending.values())

    def drop(self, correlation_id: int) -> None:
        """Remove a request that was not sent."""
        self.pending.pop(correlation_id, None)

    def deliver_reply(
        self, sender: MemberId, correlation_id: int, message: object
    ) -> None:
        """Resolve a request with its reply.

        Replies that match no pending request, or that come from another member than
        the one that was asked, are counted and dropped.
        """
        request = self.pending.get(correlation_id)
        if request is None:
            self.metrics.count("peers.answers.late")
            return
        if request.member != sender:
            self.metrics.count("peers.answers.crossed")
            return
        del self.pending[correlation_id]
        if not resolve_future(request.future, message):
            self.metrics.count("peers.answers.late")

    def expire(self, now_s: float) -> None:
        """Fail the requests whose deadline has passed with ``PeerTimeoutError``."""
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, correlation_id = heapq.heappop(self.deadlines)
            request = self.pending.pop(correlation_id, None)
            if request is not None:
                resolve_future(
                    request.future, PeerTimeoutError(f"no reply from {request.member}")
                )

    def fail_all(self) -> None:
        """Fail every pending request with ``PeerTimeoutError``."""
        for request in self.pending.values():
            resolve_future(
                request.future, PeerTimeoutError(f"no reply from {request.member}")
            )
        self.pending.clear()


class RequestDeduplicator:
    """Detect repeated requests of one connection by their correlation ids.

    The latest ``MAX_REMEMBERED_REQUESTS`` ids are kept.
    """

    def __init__(self) -> None:
        """Create a deduplicator without any ids."""
        self.order: deque[int] = deque()
        self.seen: set[int] = set()

    def is_new(self, correlation_id: int) -> bool:
        """Record a correlation id; return False if it was recorded before."""
        if correlation_id in self.seen:
            return False
        self.seen.add(correlation_id)
        self.order.append(correlation_id)
        if len(self.order) > MAX_REMEMBERED_REQUESTS:
            self.seen.discard(self.order.popleft())
        return True
