"""Decoding of the progress of jobs that members keep in the store."""

from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_fleet.progress import Progress, decode_progress

__all__ = ["decode_progress_record"]


def decode_progress_record(entry: Entry) -> Progress:
    """Decode a job's progress; raise ``RecordUnreadableError`` if malformed."""
    try:
        return decode_progress(entry.value)
    except DecodingError as error:
        raise RecordUnreadableError(entry.key, str(error)) from error
