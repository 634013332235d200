"""Holders of the newest version seen, independent of the order of delivery."""

from collections.abc import Callable
from enum import Enum

from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Entry, EventKind, Snapshot, WatchBatch
from gooseberrydeck_coordination.stored_records import (
    UnreadableReport,
    decode_entry,
    ignore_report,
)
from gooseberrydeck_coordination.versioned.records import (
    NO_VERSION,
    VersionedRecord,
    VersionNumber,
)

__all__ = ["Follower", "OfferResult", "VersionedHolder"]


class OfferResult(Enum):
    """The result of offering a record to a holder."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


class VersionedHolder:
    """Store the newest record and reject older ones, whatever their source.

    Different contents with the same number are a conflict. The first content is kept,
    and the next publication resolves the conflict.
    """

    def __init__(self) -> None:
        """Initialize without a record."""
        self.record: VersionedRecord | None = None
        self.conflict: VersionedRecord | None = None
        self.newest_known = NO_VERSION
        self.refused = 0

    @property
    def number(self) -> VersionNumber:
        """The number of the held record, or ``NO_VERSION``."""
        return self.record.number if self.record else NO_VERSION

    @property
    def is_behind(self) -> bool:
        """Whether a newer number than that of the held record is known."""
        return self.newest_known > self.number

    def observe_number(self, number: VersionNumber) -> None:
        """Record that a version with this number exists."""
        self.newest_known = max(self.newest_known, number)

    def offer(self, record: VersionedRecord) -> OfferResult:
        """Store the record if it is newer, and return the result."""
        self.observe_number(record.number)
        if record.number > self.number:
            self.record = record
            self.conflict = None
            return OfferResult.NEWER
        if record.number < self.number:
            self.refused += 1
            return OfferResult.OLDER
        assert self.record is not None
        if record.digest == self.record.digest:
            return OfferResult.SAME
        self.conflict = record
        self.refused += 1
        return OfferResult.CONFLICT


class Follower:
    """Extract records from a watch of the head key, and track its start revision.

    ``start`` is None while the head must be read before it can be watched: initially,
    and after the requested revision has been compacted.
    """

    def __init__(
        self,
        offer: Callable[[VersionedRecord], object],
        head: str,
        report_unreadable: UnreadableReport = ignore_report,
    ) -> None:
        """Initialize; records read from the key ``head`` are passed to ``offer``.

        A record that can't be read is passed over: the last value stays in force.
        """
        self.offer = offer
        self.head = head
        self.report_unreadable = report_unreadable
        self.start: Revision | None = None
        self.undecodable = 0

    def on_read(self, snapshot: Snapshot) -> None:
        """Process a read of the head."""
        for entry in snapshot.entries:
            if entry.key == self.head:
                self.offer_entry(entry)
        self.start = Revision(snapshot.revision + 1)

    def on_batch(self, batch: WatchBatch) -> None:
        """Process a batch of the watch.

        A deletion of the head is ignored: the last value stays in force.
        """
        for event in batch.events:
            if event.kind is EventKind.PUT and event.entry.key == self.head:
                self.offer_entry(event.entry)
        self.start = Revision(batch.revision + 1)

    def on_compacted(self) -> None:
        """Require a read of the head before the next watch."""
        self.start = None

    def offer_entry(self, entry: Entry) -> None:
        """Decode and offer a stored value; count and report an unreadable one."""
        try:
            record = decode_entry(entry, VersionedRecord)
        except RecordUnreadableError as error:
            self.undecodable += 1
            self.report_unreadable(error)
            return
        self.offer(record)
