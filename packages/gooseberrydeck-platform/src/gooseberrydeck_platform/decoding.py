"""Decoding of what other processes wrote: stored entries, messages and replies."""

from typing import Annotated, TypeVar

import msgspec

__all__ = [
    "MAX_NUMBER",
    "Amount",
    "Count",
    "DecodingError",
    "Number",
    "WholeNumber",
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
        text = f"{type(error).__name__}: {error}"
        return cls(text[:MAX_REASON_CHARACTERS])


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON into a type; raise ``DecodingError`` if that is not possible."""
    try:
        return msgspec.json.decode(data, type=kind)
    except PARSER_ERRORS as error:
        raise DecodingError.caused_by(error) from error


def decode_yaml(data: bytes, kind: type[T]) -> T:
    """Decode YAML into a type, also from numbers in quotes, or raise the same error."""
    try:
        return msgspec.yaml.decode(data, type=kind, strict=False)
    except PARSER_ERRORS as error:
        raise DecodingError.caused_by(error) from error
