"""A request parser that holds no more than its connection's budget allows."""

from collections.abc import Callable
from typing import Any

import msgspec
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.receiver import FixedStreamReceiver
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge

from gooseberrydeck_service.connection_budget import ConnectionBudget
from gooseberrydeck_service.responses import status_line

__all__ = ["BoundedParser", "HeaderCheck", "HeaderFields", "RefusalError", "allow_all"]

MAX_CONTROL_LINE_BYTES = 256
"""Size line of a chunk; sizes have a few digits, and extensions are hardly used."""

MAX_TRAILER_BYTES = 4_096
"""Trailer of a chunked body, which is ignored."""

MAX_FRAMING_FACTOR = 8
"""Bytes sent for each byte of the largest body; chunks of one byte take six."""

FREE_PIECES = 4
"""Small pieces of a body that don't count, so that short chunked bodies don't wait."""

RETRY_AFTER_S = 1
"""Retry delay sent with a refusal for lack of room, which passes within seconds."""


class HeaderFields(msgspec.Struct, frozen=True):
    """What is known of a request before its body arrives."""

    method: str
    host: str
    path: str
    authorization: str


HeaderCheck = Callable[[HeaderFields], int | None]
"""Return the status that refuses a request, or None to receive its body."""


def allow_all(_fields: HeaderFields) -> int | None:
    """Refuse nothing."""
    return None


class RefusalError(Error):  # type: ignore[misc]
    """A request that is refused before or without its body; it never runs."""

    def __init__(self, status: int) -> None:
        """Refuse a request with a status."""
        super().__init__("refused")
        self.code = status
        self.reason = status_line(status).partition(" ")[2]

    def to_response(
        self, _ident: str | None = None
    ) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return the status line, the header fields and the body."""
        fields = [("Content-Type", "application/json")]
        if self.code == 503:
            fields.append(("Retry-After", str(RETRY_AFTER_S)))
        return status_line(self.code), fields, b"{}"


class DiscardingBuffer:
    """The body of a refused request, which is read but not kept.

    A connection that closed with unread bytes would be reset, and the client could lose
    the response.
    """

    def append(self, data: bytes) -> None:
        """Discard data."""

    def close(self) -> None:
        """Do nothing."""

    def __len__(self) -> int:
        """Return 0, as nothing is held."""
        return 0


class BoundedParser(HTTPRequestParser):  # type: ignore[misc]
    """Parse a request, checking its header before its body is kept."""

    completed: bool
    expect_continue: bool
    header_bytes_received: int
    header_plus: bytes
    body_rcv: Any

    def __init__(
        self,
        adj: Adjustments,
        budget: ConnectionBudget | None = None,
        check: HeaderCheck = allow_all,
    ) -> None:
        """Parse with a budget, or without one for responses to failures."""
        super().__init__(adj)
        self.budget = budget
        self.check = check
        self.refusal: int | None = None
        self.complete_bytes = 0
        self.framed_bytes = 0
        self.free_pieces = FREE_PIECES
        self.rest = b""

    def received(self, data: bytes) -> int:
        """Parse data and return how much was consumed.

        The data after the header of a chunked request is kept as ``rest``.
        """
        consumed: int
        if self.completed:
            return 0
        if self.body_rcv is None:
            consumed = super().received(data)
            if self.headers_finished:
                self.header_plus = b""
                if not self.completed:
                    consumed = self.start_body(data, consumed)
        elif self.chunked:
            consumed = self.receive_chunks(data)
        else:
            consumed = super().received(data)
        if self.completed:
            # waitress would send "100 Continue" and take the request for unfinished.
            self.expect_continue = False
            if not self.empty:
                self.finish()
        return consumed

    def start_body(self, data: bytes, consumed: int) -> int:
        """Check the header of a request with a body; return how much is consumed."""
        self.refusal = self.check(self.fields())
        if self.refusal is None:
            if self.chunked:
                self.rest = data[consumed:]
                return len(data)
            return consumed
        if self.chunked or self.expect_continue:
            # The end of the body is unknown, or the client waits for the response.
            self.completed = True
            return len(data)
        self.body_rcv = FixedStreamReceiver(self.content_length, DiscardingBuffer())
        return consumed

    def fields(self) -> HeaderFields:
        """Return the fields that the check uses."""
        headers: dict[str, Any] = self.headers
        return HeaderFields(
            self.command,
            headers.get("HOST", ""),
            self.path,
            headers.get("AUTHORIZATION", ""),
        )

    def receive_chunks(self, data: bytes) -> int:
        """Parse a piece of a chunked body; its limit is that of the content."""
        receiver = self.body_rcv
        consumed: int = receiver.received(data)
        self.framed_bytes += consumed
        # waitress refuses a length that equals its limit.
        max_bytes = self.adj.max_request_body_size - 1
        if (
            len(receiver) + receiver.chunk_remainder > max_bytes
            or self.framed_bytes > MAX_FRAMING_FACTOR * max_bytes
        ):
            self.error = RequestEntityTooLarge(f"exceeds max_body of {max_bytes}")
        elif (
            len(receiver.control_line) > MAX_CONTROL_LINE_BYTES
            or len(receiver.trailer) > MAX_TRAILER_BYTES
        ):
            self.error = BadRequest("Chunk framing is too large")
        elif receiver.error:
            self.error = receiver.error
        elif receiver.completed:
            self.headers["CONTENT_LENGTH"] = str(len(receiver))
        self.completed = self.error is not None or receiver.completed
        return consumed

    def finish(self) -> None:
        """Count a complete request, or refuse it if there is no room for it."""
        if self.refusal is not None:
            self.error = RefusalError(self.refusal)
        if self.error is None and self.budget is not None:
            size = self.held_bytes()
            if self.budget.accept_complete(size):
                self.complete_bytes = size
            else:
                self.error = RefusalError(503)
        if self.error is not None:
            # The request doesn't run, so its body is of no use.
            self.release_body()

    def held_bytes(self) -> int:
        """Return the bytes that the request holds."""
        receiver = self.body_rcv
        if receiver is None:
            return self.header_bytes_received
        held: int = self.header_bytes_received + len(receiver)
        if self.chunked:
            held += len(receiver.control_line) + len(receiver.trailer)
        return held

    def release_body(self) -> None:
        """Free the body."""
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
            self.body_rcv = None

    def close(self) -> None:
        """Free the body and what it counted; called once the request is answered."""
        super().close()
        size, self.complete_bytes = self.complete_bytes, 0
        if size and self.budget is not None:
            self.budget.release_complete(size)
