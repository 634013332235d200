"""Message types between members, their framing and their handlers."""

import functools
import operator
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, MessageDecoder
from gooseberrydeck_coordination.ids import MemberId

__all__ = ["Frame", "FrameKind", "Handler", "Inbound", "MessageRegistry", "PeerMessage"]

HEADER = struct.Struct("!BQ")


class PeerMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of messages between members.

    The class name is the tag on the wire, and fields are encoded by position.
    """


class FrameKind(IntEnum):
    """The role of a frame in an exchange; the value is sent in its header."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, frozen=True):
    """An encoded message with its kind and the correlation id of its request."""

    kind: FrameKind
    correlation_id: int
    payload: bytes

    def header(self) -> bytes:
        """Return the encoded header."""
        return HEADER.pack(self.kind, self.correlation_id)

    @classmethod
    def parse(cls, header: bytes, payload: bytes) -> "Frame | None":
        """Return the frame, or None if the header is malformed."""
        if len(header) != HEADER.size:
            return None
        kind, correlation_id = HEADER.unpack(header)
        try:
            return cls(FrameKind(kind), correlation_id, payload)
        except ValueError:
            return None


class Inbound(msgspec.Struct, frozen=True):
    """A received message.

    ``reply`` may be called once, from any thread. It does nothing for a one-way
    message.
    """

    sender: MemberId
    message: Any
    reply: Callable[[PeerMessage], None]


Handler = Callable[[Inbound], None]


class MessageRegistry:
    """The known message types and their handlers."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.handlers: dict[type[PeerMessage], Handler | None] = {}
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: MessageDecoder[Any] | None = None

    def register(
        self, message_type: type[PeerMessage], handler: Handler | None = None
    ) -> None:
        """Add a message type.

        ``handler`` runs in the network task and must not block. Types that are only
        used as replies need no handler.
        """
        self.handlers[message_type] = handler
        self.decoder = None

    def encode(self, message: PeerMessage) -> bytes:
        """Return the message encoded as MessagePack."""
        return self.encoder.encode(message)

    def decode(self, payload: bytes) -> Any | None:
        """Return the decoded message, or None if it matches no registered type."""
        if self.decoder is None:
            if not self.handlers:
                return None
            union: Any = functools.reduce(operator.or_, self.handlers)
            self.decoder = MessageDecoder(union)
        try:
            return self.decoder.decode(payload)
        except DecodingError:
            return None
