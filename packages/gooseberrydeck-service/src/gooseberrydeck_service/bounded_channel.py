"""Client connections whose memory and work in the event loop are bounded."""

from functools import partial
from typing import TYPE_CHECKING, Any

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from gooseberrydeck_service.bounded_parser import BoundedParser
from gooseberrydeck_service.connection_budget import CloseReason, ConnectionProgress

if TYPE_CHECKING:
    from gooseberrydeck_service.bounded_server import BoundedServer

__all__ = ["DrainableChannel"]

PIECE_BYTES = 256
"""Piece of a chunked body that is parsed at once; waitress copies the rest of a piece
for each chunk in it."""

PIECES_PER_TURN = 4
"""Pieces of one connection in a turn of the event loop; a piece of one-byte chunks
takes about 0.1 ms."""


class DrainableTask(WSGITask):  # type: ignore[misc]
    """A request that closes its connection after the response on a draining server.

    An application cannot do this itself: WSGI reserves the ``Connection`` header.
    """

    def build_response_header(self) -> bytes:
        """Return the response header, with ``Connection: close`` while draining."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


class DrainableChannel(HTTPChannel):  # type: ignore[misc]
    """A client connection that closes after the next response on a draining server.

    Small chunks are parsed in pieces. What exceeds a turn's work stays in ``pending``,
    and nothing more is read until it is parsed.
    """

    task_class = DrainableTask
    server: "BoundedServer"
    request: Any
    last_request: BoundedParser | None = None
    pending = b""

    def __init__(self, server: "BoundedServer", *arguments: Any, **named: Any) -> None:
        """Start without a request."""
        self.budget = server.budget
        self.progress = ConnectionProgress(self.budget.monotonic())
        self.parser_class = partial(
            BoundedParser, budget=self.budget, check=server.check
        )
        super().__init__(server, *arguments, **named)
        self.budget.add(self)

    def is_handling(self) -> bool:
        """Return whether a complete request is being handled or waits for that."""
        return bool(self.requests)

    def close_for(self, _reason: CloseReason) -> None:
        """Close the connection without executing its unfinished request."""
        self.handle_close()

    def readable(self) -> bool:
        """Return whether more may be received."""
        # waitress's conditions are repeated, as each turn asks all connections.
        return not (
            self.pending
            or self.will_close
            or self.close_when_flushed
            or self.total_outbufs_len
            or len(self.requests) > self.adj.channel_request_lookahead
        )

    def received(self, data: bytes) -> bool:
        """Parse received data as far as the work of a turn allows."""
        now_s = self.budget.monotonic()
        progress = self.progress
        progress.receive(len(data), now_s, self.budget.limits.min_rate_bytes_per_s)
        if self.request is not None and self.request.chunked:
            self.pending += data
        else:
            self.parse(data)
        if self.pending:
            self.parse_pending()
        self.record(now_s)
        return True

    def parse(self, data: bytes) -> None:
        """Parse data, and keep what follows the header of a chunked request."""
        super().received(data)
        request = self.request
        if request is not None and request.rest:
            self.pending = request.rest + self.pending
            request.rest = b""

    def parse_pending(self) -> None:
        """Parse pending data in pieces; the server continues in a later turn."""
        pieces = 0
        while self.pending:
            if self.is_closing():
                self.pending = b""
                return
            size = len(self.pending)
            request = self.request
            if request is not None and request.chunked:
                remainder: int = request.body_rcv.chunk_remainder
                if remainder >= PIECE_BYTES:
                    size = remainder
                elif request.free_pieces > 0:
                    request.free_pieces -= 1
                    size = PIECE_BYTES
                elif pieces < PIECES_PER_TURN and self.server.take_piece():
                    pieces += 1
                    size = PIECE_BYTES
                else:
                    self.server.defer(self)
                    return
            piece, self.pending = self.pending[:size], self.pending[size:]
            self.parse(piece)

    def is_closing(self) -> bool:
        """Return whether nothing more of this connection will be executed."""
        return (
            not self.connected
            or self.will_close
            or self.close_when_flushed
            or any(request.error for request in tuple(self.requests))
        )

    def record(self, now_s: float) -> None:
        """Record what the unfinished request holds, and free memory if necessary."""
        if not self.connected:
            return
        request = self.request
        progress = self.progress
        if request is not self.last_request:
            self.last_request = request
            progress.start(now_s)
        if request is None:
            held = len(self.pending)
            if not held:
                progress.finish(now_s)
        else:
            held = request.held_bytes() + len(self.pending)
            if request.body_rcv is not None and progress.body_since_s is None:
                progress.body_since_s = now_s
        self.budget.hold(progress, held)
        if self.budget.is_exceeded():
            self.budget.free_memory()

    def del_channel(self, map: dict[int, Any] | None = None) -> None:
        """Forget a connection that is being closed."""
        super().del_channel(map)
        self.budget.remove(self)
        self.pending = b""
