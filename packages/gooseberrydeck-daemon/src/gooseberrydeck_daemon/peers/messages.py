"""The types of messages, their frames, and the handlers of each type."""

import functools
import operator
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import MemberId

__all__ = ["Frame", "FrameKind", "Handler", "Inbound", "MessageRegistry", "PeerMessage"]

HEADER = struct.Struct("!BQ")


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The base of every message between members; the tag is the type's name."""


class FrameKind(IntEnum):
    """Whether a frame tells, asks or answers."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, frozen=True):
    """One message with its kind and the correlation id of the ask."""

    kind: FrameKind
    correlation_id: int
    payload: bytes

    def header(self) -> bytes:
        """Return the header's bytes."""
        return HEADER.pack(self.kind, self.correlation_id)

    @classmethod
    def parse(cls, header: bytes, payload: bytes) -> "Frame | None":
        """Return the frame, or None if the header makes no sense."""
        if len(header) != HEADER.size:
            return None
        kind, correlation_id = HEADER.unpack(header)
        try:
            return cls(FrameKind(kind), correlation_id, payload)
        except ValueError:
            return None


class Inbound(msgspec.Struct, frozen=True):
    """A received message; ``reply`` may be called once, from any thread.

    Answering a message that was told, not asked, does nothing.
    """

    sender: MemberId
    message: Any
    reply: Callable[[PeerMessage], None]


Handler = Callable[[Inbound], None]


class MessageRegistry:
    """Message types and their handlers, filled by the composition root."""

    def __init__(self) -> None:
        """Begin without any type."""
        self.handlers: dict[type[PeerMessage], Handler | None] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[Any] | None = None

    def register(
        self, message_type: type[PeerMessage], handler: Handler | None = None
    ) -> None:
        """Add a type; ``handler`` runs in the network task and must not block.

        Types that only ever answer need no handler.
        """
        self.handlers[message_type] = handler
        self.decoder = None

    def encode(self, message: PeerMessage) -> bytes:
        """Return the bytes of a message."""
        return self.encoder.encode(message)

    def decode(self, payload: bytes) -> Any | None:
        """Return the message, or None if it is of no registered type and form."""
        if self.decoder is None:
            if not self.handlers:
                return None
            union: Any = functools.reduce(operator.or_, self.handlers)
            self.decoder = msgspec.msgpack.Decoder(union)
        try:
            return self.decoder.decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
