"""Decoding of what other processes wrote: stored entries, messages and replies.

No other module calls a parser, so that all readers meet the same exception. The linter
checks this.
"""

from typing import Annotated, Any, Generic, TypeVar

import msgspec

__all__ = [
    "MAX_NUMBER",
    "Amount",
    "Count",
    "DecodingError",
    "FieldError",
    "MessageDecoder",
    "Number",
    "WholeNumber",
    "decode_document",
    "decode_json",
    "decode_yaml",
]

T = TypeVar("T")

MAX_NUMBER = 2**53
"""Largest magnitude of a number: JSON carries integers exactly only up to here."""

MAX_REASON_CHARACTERS = 200
"""The parser's message may quote the data, which may be large."""

WholeNumber = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

# msgspec raises RecursionError for deep nesting; the others come from conversions.
PARSER_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
    TypeError,
)


class DecodingError(ValueError):
    """The data is malformed, nested too deeply, or has a value out of range."""

    @classmethod
    def caused_by(cls, error: Exception) -> "DecodingError":
        """Return an error that describes its cause in bounded space."""
        text = str(error)
        if not isinstance(error, msgspec.MsgspecError):
            text = f"{type(error).__name__}: {text}"
        kind = FieldError if isinstance(error, msgspec.ValidationError) else cls
        return kind(text[:MAX_REASON_CHARACTERS])


class FieldError(DecodingError):
    """The data is well-formed, but a field is missing or has an invalid value."""


def decode_json(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON into a type; raise ``DecodingError`` if that is not possible."""
    try:
        return msgspec.json.decode(data, type=kind)
    except PARSER_ERRORS as error:
        raise DecodingError.caused_by(error) from error


def decode_document(data: bytes | str) -> Any:
    """Decode JSON of any structure into builtins, or raise ``DecodingError``."""
    try:
        return msgspec.json.decode(data)
    except PARSER_ERRORS as error:
        raise DecodingError.caused_by(error) from error


def decode_yaml(data: bytes, kind: type[T]) -> T:
    """Decode YAML into a type, also from numbers in quotes, or raise the same error."""
    try:
        return msgspec.yaml.decode(data, type=kind, strict=False)
    except PARSER_ERRORS as error:
        raise DecodingError.caused_by(error) from error


class MessageDecoder(Generic[T]):
    """Decoder for MessagePack of one type, which may be a union of messages."""

    def __init__(self, kind: type[T]) -> None:
        """Prepare the decoder, which is costly for a large union."""
        self.decoder = msgspec.msgpack.Decoder(kind)

    def decode(self, data: bytes) -> T:
        """Decode a message; raise ``DecodingError`` if that is not possible."""
        try:
            return self.decoder.decode(data)
        except PARSER_ERRORS as error:
            raise DecodingError.caused_by(error) from error
