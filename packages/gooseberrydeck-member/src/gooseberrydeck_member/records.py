"""Decoding of the records that members keep in the store."""

from typing import TypeVar

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_fleet.progress import Progress, decode_progress

__all__ = ["RecordUnreadableError", "decode_record", "decode_progress_record"]

T = TypeVar("T")


class RecordUnreadableError(StoreError):
    """A record can't be decoded: a member of another version wrote it, or no member."""

    def __init__(self, key: str, reason: str) -> None:
        """Name the record's ``key`` and why it can't be decoded."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


def decode_record(entry: Entry, kind: type[T]) -> T:
    """Decode the record of an entry; raise ``RecordUnreadableError`` if malformed."""
    try:
        return decode_json(entry.value, kind)
    except DecodingError as error:
        raise RecordUnreadableError(entry.key, str(error)) from error


def decode_progress_record(entry: Entry) -> Progress:
    """Decode a job's progress; raise ``RecordUnreadableError`` if malformed."""
    try:
        return decode_progress(entry.value)
    except DecodingError as error:
        raise RecordUnreadableError(entry.key, str(error)) from error
