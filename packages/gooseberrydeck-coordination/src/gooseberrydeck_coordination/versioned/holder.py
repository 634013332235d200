"""Holding the newest version that was seen, whatever the order of deliveries."""

from collections.abc import Callable
from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import EventKind, Snapshot, WatchBatch
from gooseberrydeck_coordination.versioned.records import (
    NO_VERSION,
    VersionedRecord,
    VersionNumber,
    decode_record,
)

__all__ = ["Follower", "OfferResult", "VersionedHolder"]


class OfferResult(Enum):
    """What became of a record that was offered."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


class VersionedHolder:
    """Hold the newest record and refuse older ones, from wherever they come.

    Two contents under one number are a conflict: the first stays, and the next
    publication ends it.
    """

    def __init__(self) -> None:
        """Begin with nothing."""
        self.record: VersionedRecord | None = None
        self.conflict: VersionedRecord | None = None
        self.newest_known = NO_VERSION
        self.refused = 0

    @property
    def number(self) -> VersionNumber:
        """Return the number held, or ``NO_VERSION``."""
        return self.record.number if self.record else NO_VERSION

    @property
    def is_behind(self) -> bool:
        """Tell whether someone has told a number newer than the one held."""
        return self.newest_known > self.number

    def observe_number(self, number: VersionNumber) -> None:
        """Take note that a version of that number exists."""
        self.newest_known = max(self.newest_known, number)

    def offer(self, record: VersionedRecord) -> OfferResult:
        """Hold the record if it is newer, and tell what became of it."""
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
    """Take records out of a store's watch, and tell where the watch starts.

    ``start`` is None while the head has to be read before it can be watched: at
    first, and after the watch asked for a revision that has been compacted.
    """

    def __init__(self, offer: Callable[[VersionedRecord], object], head: str) -> None:
        """Give every record found at the key ``head`` to ``offer``."""
        self.offer = offer
        self.head = head
        self.start: Revision | None = None
        self.undecodable = 0

    def on_read(self, snapshot: Snapshot) -> None:
        """Take in a read of the head."""
        for entry in snapshot.entries:
            if entry.key == self.head:
                self.offer_encoded(entry.value)
        self.start = Revision(snapshot.revision + 1)

    def on_batch(self, batch: WatchBatch) -> None:
        """Take in a batch of the watch.

        A deleted head changes nothing: what was in force stays in force.
        """
        for event in batch.events:
            if event.kind is EventKind.PUT and event.entry.key == self.head:
                self.offer_encoded(event.entry.value)
        self.start = Revision(batch.revision + 1)

    def on_compacted(self) -> None:
        """Require a read before the next watch."""
        self.start = None

    def offer_encoded(self, value: bytes) -> None:
        """Offer a stored value; count it if it is no record."""
        try:
            record = decode_record(value)
        except msgspec.DecodeError:
            self.undecodable += 1
            return
        self.offer(record)
