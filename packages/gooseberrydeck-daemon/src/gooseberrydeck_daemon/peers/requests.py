"""Asks that wait for their answers, matched by correlation id."""

import heapq
from collections import deque
from concurrent.futures import Future, InvalidStateError
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers.exceptions import PeerError, PeerSilentError

__all__ = ["AskTable", "PendingAsk", "SeenAsks", "settle"]

REMEMBERED_ASKS = 4096


class PendingAsk(msgspec.Struct):
    """An ask that was sent to ``member`` and waits until ``deadline_s``."""

    member: MemberId
    future: Future[Any]
    deadline_s: float


def settle(future: Future[Any], outcome: object) -> bool:
    """Give a future its result or error; return False if it had one already."""
    try:
        if isinstance(outcome, PeerError):
            future.set_exception(outcome)
        else:
            future.set_result(outcome)
    except InvalidStateError:
        return False
    return True


class AskTable:
    """Pending asks of one member; used by the network task only."""

    def __init__(self, metrics: Metrics) -> None:
        """Begin with nothing pending."""
        self.metrics = metrics
        self.pending: dict[int, PendingAsk] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.last_correlation = 0

    def add(self, ask: PendingAsk) -> int:
        """Keep an ask and return its correlation id."""
        self.last_correlation += 1
        self.pending[self.last_correlation] = ask
        heapq.heappush(self.deadlines, (ask.deadline_s, self.last_correlation))
        return self.last_correlation

    def drop(self, correlation: int) -> None:
        """Forget an ask that was not sent."""
        self.pending.pop(correlation, None)

    def answer(self, sender: MemberId, correlation: int, message: object) -> None:
        """Give an answer to its ask; count it if it is late, double or crossed."""
        ask = self.pending.get(correlation)
        if ask is None:
            self.metrics.count("peers.answers.late")
            return
        if ask.member != sender:
            self.metrics.count("peers.answers.crossed")
            return
        del self.pending[correlation]
        if not settle(ask.future, message):
            self.metrics.count("peers.answers.late")

    def expire(self, now_s: float) -> None:
        """Fail the asks whose time is up."""
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, correlation = heapq.heappop(self.deadlines)
            ask = self.pending.pop(correlation, None)
            if ask is not None:
                settle(ask.future, PeerSilentError(f"no answer from {ask.member}"))

    def fail_all(self) -> None:
        """Fail every pending ask, when the network ends."""
        for ask in self.pending.values():
            settle(ask.future, PeerSilentError(f"no answer from {ask.member}"))
        self.pending.clear()


class SeenAsks:
    """Remember the asks of one connection, so that a double is not acted on."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.order: deque[int] = deque()
        self.seen: set[int] = set()

    def is_new(self, correlation: int) -> bool:
        """Return whether an ask has not been seen, and remember it."""
        if correlation in self.seen:
            return False
        self.seen.add(correlation)
        self.order.append(correlation)
        if len(self.order) > REMEMBERED_ASKS:
            self.seen.discard(self.order.popleft())
        return True
