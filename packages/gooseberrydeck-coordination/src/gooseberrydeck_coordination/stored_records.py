"""Decoding of entries of the store that hold records of this software."""

from collections.abc import Callable
from typing import TypeVar

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.store import Entry

__all__ = ["UnreadableReport", "decode_entry", "ignore_report"]

T = TypeVar("T")

UnreadableReport = Callable[[RecordUnreadableError], object]
"""Receives each record that a reader leaves out, to log or count it."""


def decode_entry(entry: Entry, kind: type[T]) -> T:
    """Decode the record of an entry; raise ``RecordUnreadableError`` if malformed."""
    try:
        return decode_json(entry.value, kind)
    except DecodingError as error:
        raise RecordUnreadableError(entry.key, str(error)) from error


def ignore_report(_error: RecordUnreadableError) -> None:
    """Report nothing."""
