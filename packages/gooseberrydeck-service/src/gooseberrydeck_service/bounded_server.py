"""A waitress server with bounded connections and bounded work in its event loop."""

from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog
from waitress.server import TcpWSGIServer

from gooseberrydeck_service.bounded_parser import HeaderCheck
from gooseberrydeck_service.connection_budget import CloseReason, ConnectionBudget

if TYPE_CHECKING:
    from gooseberrydeck_service.bounded_channel import DrainableChannel

__all__ = ["BoundedServer"]

ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn, so that open ones don't wait for many new ones."""

ACCEPT_PAUSE_S = 0.1
"""Pause of accepting without room or descriptors, as polling would return at once."""

SWEEP_INTERVAL_S = 0.5
"""Interval of checks of the deadlines, which are seconds long."""

LOG_INTERVAL_S = 10.0
"""Interval of the log lines on closed connections and on pauses."""

PIECES_PER_S = 1_000.0
"""Pieces of small chunks parsed for all connections, about a tenth of a processor."""

PIECES_BURST = 100.0
"""Pieces saved up, about 10 ms of work."""

DEFERRED_TIMEOUT_S = 0.02
"""Longest wait for events while connections wait for their next piece."""

log = structlog.get_logger(__name__)


class BoundedServer(TcpWSGIServer):  # type: ignore[misc]
    """Accept connections within a budget, and share its loop among them."""

    def __init__(
        self,
        name: str,
        application: Callable[..., Any],
        budget: ConnectionBudget,
        check: HeaderCheck,
        **named: Any,
    ) -> None:
        """Bind the port; ``named`` are arguments of waitress's server."""
        self.name = name
        self.budget = budget
        self.check = check
        self.is_draining = False
        self.deferred: deque[DrainableChannel] = deque()
        now_s = budget.monotonic()
        self.pieces = PIECES_BURST
        self.pieces_s = now_s
        self.paused_until_s = now_s
        self.blocked_since_s: float | None = None
        self.next_sweep_s = now_s
        self.next_log_s = now_s
        self.next_pause_log_s = now_s
        self.logged: Counter[CloseReason] = Counter()
        super().__init__(application, **named)

    def readable(self) -> bool:
        """Return whether connections are accepted now."""
        return self.accepting and self.budget.monotonic() >= self.paused_until_s

    def handle_accept(self) -> None:
        """Accept new connections, in place of those with the least progress."""
        for _ in range(ACCEPTS_PER_TURN):
            if self.budget.is_full() and not self.budget.make_room():
                self.pause("connections")
                return
            try:
                accepted = self.accept()
            except OSError as error:
                # Without descriptors, or a client that has already left.
                self.budget.make_room()
                self.pause(str(error))
                return
            self.blocked_since_s = None
            if accepted is None:
                return
            connection, address = accepted
            try:
                self.set_socket_options(connection)
                self.channel_class(self, connection, address, self.adj, map=self._map)
            except OSError:
                # The client has already left, which isn't worth a line.
                connection.close()

    def pause(self, reason: str) -> None:
        """Accept nothing for a moment."""
        now_s = self.budget.monotonic()
        self.paused_until_s = now_s + ACCEPT_PAUSE_S
        if self.blocked_since_s is None:
            self.blocked_since_s = now_s
        if now_s >= self.next_pause_log_s:
            self.next_pause_log_s = now_s + LOG_INTERVAL_S
            log.warning("accepting paused", listener=self.name, reason=reason)

    def take_piece(self) -> bool:
        """Return whether a piece of small chunks may be parsed now."""
        now_s = self.budget.monotonic()
        gained = (now_s - self.pieces_s) * PIECES_PER_S
        self.pieces = min(PIECES_BURST, self.pieces + gained)
        self.pieces_s = now_s
        if self.pieces < 1:
            return False
        self.pieces -= 1
        return True

    def defer(self, channel: "DrainableChannel") -> None:
        """Continue with a connection's pending data in a later turn."""
        self.deferred.append(channel)

    def prepare_turn(self, timeout_s: float) -> float:
        """Do the work that is due, and return how long to wait for events."""
        now_s = self.budget.monotonic()
        if now_s >= self.next_sweep_s:
            self.next_sweep_s = now_s + SWEEP_INTERVAL_S
            self.budget.close_expired()
            self.log_closed(now_s)
        for _ in range(len(self.deferred)):
            if self.pieces < 1 and not self.has_piece(now_s):
                break
            channel = self.deferred.popleft()
            try:
                channel.parse_pending()
                channel.record(now_s)
            except Exception:
                # As after other events: logs the error and closes the connection.
                channel.handle_error()
        if self.deferred:
            timeout_s = min(timeout_s, DEFERRED_TIMEOUT_S)
        if now_s < self.paused_until_s:
            timeout_s = min(timeout_s, ACCEPT_PAUSE_S)
        return timeout_s

    def has_piece(self, now_s: float) -> bool:
        """Return whether a piece has become available."""
        return self.pieces + (now_s - self.pieces_s) * PIECES_PER_S >= 1

    def log_closed(self, now_s: float) -> None:
        """Log how many connections were closed since the last line."""
        closed = self.budget.closed
        if now_s < self.next_log_s or closed == self.logged:
            return
        self.next_log_s = now_s + LOG_INTERVAL_S
        log.warning(
            "connections closed",
            listener=self.name,
            held_bytes=self.budget.held_bytes(),
            connections=len(self.budget.connections),
            reasons={
                reason.value: count - self.logged[reason]
                for reason, count in closed.items()
                if count > self.logged[reason]
            },
        )
        self.logged = closed.copy()
