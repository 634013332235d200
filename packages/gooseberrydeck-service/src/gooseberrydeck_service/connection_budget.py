"""Decisions on which client connections may stay, without I/O."""

import threading
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

__all__ = [
    "MAX_HELD_BYTES",
    "CloseReason",
    "Connection",
    "ConnectionBudget",
    "ConnectionLimits",
    "ConnectionProgress",
    "ConnectionState",
]

MAX_HEADER_BYTES = 65_536
"""Header of a request to a listener without limits of its own."""

HEADER_TIMEOUT_S = 6.0
"""Time for a whole header; conforming clients send it within 3 s."""

BODY_TIMEOUT_S = 60.0
"""Time for a whole body; the largest one takes 0.5 s on the slowest link."""

IDLE_TIMEOUT_S = 60.0
"""Time without a request; conforming clients close after 15 s."""

MIN_RATE_BYTES_PER_S = 4_096.0
"""Rate below which a request falls behind; a hundredth of the slowest link's."""

MAX_LAG_S = 20.0
"""How far a request may fall behind; conforming clients may pause for 15 s."""

MAX_HELD_BYTES = 64 << 20
"""Bytes held for a listener without limits of its own, at least."""

COMPLETE_FRACTION = 0.5
"""Part of the bytes that complete requests may hold while they are handled; the rest
is left to requests that are still arriving."""

LOW_WATER_FRACTION = 0.875
"""Level down to which connections are closed, so that one pass over all connections
frees room for several requests."""

ROOM_FRACTION = 1 / 16
"""Part of the connections that one pass may close for new ones."""

ROOM_GRACE_S = 0.5
"""Time in which a connection isn't closed for a new one; a header takes one round
trip."""

LAG_FLOOR_S = 0.05
"""Added to the lag, so that of requests without lag the largest one costs most."""


class CloseReason(Enum):
    """Why a connection was closed; the value is used in logs and metrics."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEADER_TIMEOUT = "header-timeout"
    BODY_TIMEOUT = "body-timeout"
    SLOW = "slow"
    IDLE = "idle"


class ConnectionState(Enum):
    """What a connection is doing; the value is used in metrics."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    HANDLING = "handling"


class ConnectionLimits(msgspec.Struct, frozen=True):
    """The limits of a listener's connections."""

    max_connections: int
    max_held_bytes: int = MAX_HELD_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    body_timeout_s: float = BODY_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    max_lag_s: float = MAX_LAG_S
    min_rate_bytes_per_s: float = MIN_RATE_BYTES_PER_S


class Connection(Protocol):
    """A connection that the budget may close."""

    progress: "ConnectionProgress"

    def is_handling(self) -> bool:
        """Return whether a complete request is being handled or waits for that."""

    def close_for(self, reason: CloseReason) -> None:
        """Close the connection without executing its unfinished request."""


class ConnectionProgress:
    """What the unfinished request of one connection holds, and its pace.

    Received bytes move ``paced_s`` forward as if they had taken the time of the minimum
    rate, at most to the present. Single bytes thus hardly renew a deadline.
    """

    __slots__ = (
        "body_since_s",
        "has_completed",
        "held_bytes",
        "idle_since_s",
        "paced_s",
        "since_s",
    )

    def __init__(self, now_s: float) -> None:
        """Start without a request."""
        self.idle_since_s = now_s
        self.since_s: float | None = None
        self.body_since_s: float | None = None
        self.paced_s = now_s
        self.held_bytes = 0
        self.has_completed = False

    def receive(self, count: int, now_s: float, rate: float) -> None:
        """Record bytes that arrived for the unfinished or for a new request."""
        if self.since_s is None:
            self.start(now_s)
        else:
            self.paced_s = min(now_s, self.paced_s + count / rate)

    def start(self, now_s: float) -> None:
        """Record that a request begins, perhaps right after another one."""
        self.since_s = self.paced_s = now_s
        self.body_since_s = None

    def finish(self, now_s: float) -> None:
        """Record that the request is complete."""
        self.since_s = self.body_since_s = None
        self.idle_since_s = now_s
        self.has_completed = True

    def lag_s(self, now_s: float) -> float:
        """Return how far the request has fallen behind the minimum rate."""
        return now_s - self.paced_s

    def cost(self, now_s: float) -> float:
        """Return what the unfinished request holds, times its lag."""
        return self.held_bytes * (self.lag_s(now_s) + LAG_FLOOR_S)

    def state(self) -> ConnectionState:
        """Return the state of a connection without a request in handling."""
        if self.since_s is None:
            return ConnectionState.IDLE
        if self.body_since_s is None:
            return ConnectionState.HEADER
        return ConnectionState.BODY


class ConnectionBudget:
    """The connections of one listener, and what they hold together.

    The event loop adds and closes connections; the threads that handle complete
    requests release these, and may close a connection that has failed. Loops therefore
    use a copy of the connections.
    """

    def __init__(
        self, limits: ConnectionLimits, monotonic: Callable[[], float]
    ) -> None:
        """Start without connections."""
        self.limits = limits
        self.monotonic = monotonic
        self.lock = threading.Lock()
        self.connections: set[Connection] = set()
        self.unfinished_bytes = 0
        self.complete_bytes = 0
        self.closed: Counter[CloseReason] = Counter()

    def held_bytes(self) -> int:
        """Return the bytes of all requests that have not been answered."""
        return self.unfinished_bytes + self.complete_bytes

    def add(self, connection: Connection) -> None:
        """Record a new connection."""
        self.connections.add(connection)

    def remove(self, connection: Connection) -> None:
        """Forget a connection and what its unfinished request held."""
        self.connections.discard(connection)
        self.hold(connection.progress, 0)

    def hold(self, progress: ConnectionProgress, held_bytes: int) -> None:
        """Record the bytes that an unfinished request holds now."""
        if held_bytes == progress.held_bytes:
            return
        with self.lock:
            self.unfinished_bytes += held_bytes - progress.held_bytes
            progress.held_bytes = held_bytes

    def is_exceeded(self) -> bool:
        """Return whether connections must be closed to free memory."""
        return self.held_bytes() > self.limits.max_held_bytes

    def is_full(self) -> bool:
        """Return whether a new connection needs another one to end."""
        return len(self.connections) >= self.limits.max_connections

    def accept_complete(self, size: int) -> bool:
        """Return whether a complete request may be kept until it is answered."""
        with self.lock:
            total = self.complete_bytes + size
            if total > COMPLETE_FRACTION * self.limits.max_held_bytes:
                return False
            self.complete_bytes = total
            return True

    def release_complete(self, size: int) -> None:
        """Record that a complete request is answered; safe in any thread."""
        with self.lock:
            self.complete_bytes -= size

    def close(self, connection: Connection, reason: CloseReason) -> None:
        """Close a connection and count it."""
        self.closed[reason] += 1
        connection.close_for(reason)

    def free_memory(self) -> None:
        """Close the connections that hold most for their progress."""
        now_s = self.monotonic()
        excess = self.held_bytes() - LOW_WATER_FRACTION * self.limits.max_held_bytes
        holding = [
            each
            for each in self.connections.copy()
            if each.progress.held_bytes and not each.is_handling()
        ]
        holding.sort(key=lambda each: each.progress.cost(now_s), reverse=True)
        for connection in holding:
            if excess <= 0:
                return
            excess -= connection.progress.held_bytes
            self.close(connection, CloseReason.MEMORY)

    def make_room(self) -> bool:
        """Close the connections with the least progress; return whether any was.

        Connections that have never completed a request go first, then those that have
        waited longest.
        """
        now_s = self.monotonic()
        waiting = []
        for connection in self.connections.copy():
            progress = connection.progress
            is_idle = progress.since_s is None
            wait_s = now_s - progress.idle_since_s if is_idle else progress.lag_s(now_s)
            if wait_s >= ROOM_GRACE_S and not connection.is_handling():
                waiting.append((progress.has_completed, -wait_s, connection))
        waiting.sort(key=lambda each: each[:2])
        count = max(1, int(ROOM_FRACTION * self.limits.max_connections))
        for _, _, connection in waiting[:count]:
            self.close(connection, CloseReason.CONNECTIONS)
        return bool(waiting)

    def close_expired(self) -> None:
        """Close the connections whose deadline has passed."""
        now_s = self.monotonic()
        for connection in self.connections.copy():
            if connection.is_handling():
                connection.progress.idle_since_s = now_s
                continue
            reason = self.expiry(connection.progress, now_s)
            if reason is not None:
                self.close(connection, reason)

    def expiry(self, progress: ConnectionProgress, now_s: float) -> CloseReason | None:
        """Return which deadline of a connection has passed, if any."""
        limits = self.limits
        if progress.since_s is None:
            is_over = now_s - progress.idle_since_s > limits.idle_timeout_s
            return CloseReason.IDLE if is_over else None
        if progress.body_since_s is None:
            is_over = now_s - progress.since_s > limits.header_timeout_s
            return CloseReason.HEADER_TIMEOUT if is_over else None
        if now_s - progress.body_since_s > limits.body_timeout_s:
            return CloseReason.BODY_TIMEOUT
        is_slow = progress.lag_s(now_s) > limits.max_lag_s
        return CloseReason.SLOW if is_slow else None

    def states(self) -> Counter[ConnectionState]:
        """Return the number of connections by state."""
        return Counter(
            ConnectionState.HANDLING if each.is_handling() else each.progress.state()
            for each in self.connections.copy()
        )
