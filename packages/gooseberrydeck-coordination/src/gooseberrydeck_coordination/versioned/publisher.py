"""Publication of versions by compare-and-swap on the head key."""

import time
from collections.abc import Callable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import (
    CoordinationError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.store import (
    Delete,
    Entry,
    Operation,
    Put,
    Store,
    Transaction,
    compare_absent,
    compare_unchanged,
)
from gooseberrydeck_coordination.versioned.exceptions import (
    PublicationConflictError,
    PublicationIdReusedError,
    PublicationNotMadeError,
    PublicationOutcomeUnknownError,
)
from gooseberrydeck_coordination.versioned.holder import VersionedHolder
from gooseberrydeck_coordination.versioned.records import (
    NO_VERSION,
    Publication,
    VersionedKeys,
    VersionedRecord,
    VersionNumber,
    decode_record,
    encode_record,
)

__all__ = ["HISTORY_LENGTH", "Publisher"]

HISTORY_LENGTH = 256
RETRY_PAUSE_S = 0.1


class CommitUnansweredError(CoordinationError):
    """The commit of a publication was sent but not answered."""


class Publisher:
    """Publish versions so that concurrent authors cannot overwrite one another.

    A publication with a given ``base`` gets the number ``base + 1`` or none at all. So
    after a lost answer, the record of that number shows the outcome, and publishing
    again with the same id has no further effect.
    """

    def __init__(
        self,
        store: Store,
        keys: VersionedKeys,
        clock: Clock,
        call_timeout_s: float = 1.0,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialize; ``pause`` is called to wait between two attempts."""
        self.store = store
        self.keys = keys
        self.clock = clock
        self.call_timeout_s = call_timeout_s
        self.pause = pause

    def publish(
        self, publication: Publication, holder: VersionedHolder, timeout_s: float
    ) -> VersionedRecord:
        """Publish and return the record, or return that of an earlier attempt.

        ``holder`` protects against a store that was restored to an older head: the new
        number is always higher than the one that this member holds. Attempts are
        repeated for ``timeout_s``. Raise ``PublicationError`` on failure.
        """
        deadline_s = self.clock.monotonic() + timeout_s
        may_have_effect = False
        while True:
            try:
                return self._attempt(publication, holder)
            except CommitUnansweredError:
                may_have_effect = True
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                pass  # The call was a read, which has no effect.
            if self.clock.monotonic() >= deadline_s:
                break
            self.pause(RETRY_PAUSE_S)
        if may_have_effect:
            raise PublicationOutcomeUnknownError(publication.id)
        raise PublicationNotMadeError("the store is out of reach")

    def _attempt(
        self, publication: Publication, holder: VersionedHolder
    ) -> VersionedRecord:
        """Publish if the head is still ``base``; reread it after a lost race."""
        while True:
            head = self.store.read(self.keys.head, self.call_timeout_s)
            newest = decode_record(head.value) if head else None
            earlier = self._find(publication, newest)
            if earlier is not None:
                return earlier
            if newest is not None:
                holder.offer(newest)
            if holder.number != publication.base:
                raise self._conflict(publication, holder)
            record = VersionedRecord(
                number=VersionNumber(publication.base + 1),
                publication=publication.id,
                content=msgspec.Raw(publication.content),
                author=publication.author,
                comment=publication.comment,
                published_s=self.clock.wall(),
            )
            if self._commit(head, record):
                return record

    def _find(
        self, publication: Publication, newest: VersionedRecord | None
    ) -> VersionedRecord | None:
        """Return the record of an earlier attempt, or None if there is none.

        It can only have the number ``base + 1``.
        """
        if newest is None or newest.number <= publication.base:
            return None
        number = VersionNumber(publication.base + 1)
        record = newest if newest.number == number else self.read_history(number)
        if record is None and newest.number - number >= HISTORY_LENGTH:
            raise PublicationOutcomeUnknownError(publication.id)
        if record is None or record.publication != publication.id:
            return None
        if bytes(record.content) != publication.content:
            raise PublicationIdReusedError(
                f"publication {publication.id} has been made with another content"
            )
        return record

    def _conflict(
        self, publication: Publication, holder: VersionedHolder
    ) -> PublicationConflictError:
        """Return an error that describes what was published after the base."""
        base_record = None
        if publication.base != NO_VERSION:
            base_record = self.read_history(publication.base)
        return PublicationConflictError(publication.base, holder.record, base_record)

    def read_newest(self, holder: VersionedHolder) -> VersionedRecord | None:
        """Return the newer of the store's and the holder's record, or None."""
        head = self.store.read(self.keys.head, self.call_timeout_s)
        if head is not None:
            holder.offer(decode_record(head.value))
        return holder.record

    def list_history(self) -> tuple[VersionedRecord, ...]:
        """Return the records of the history, newest first."""
        prefix = self.keys.history_prefix
        entries = self.store.read_prefix(prefix, self.call_timeout_s).entries
        return tuple(decode_record(entry.value) for entry in reversed(entries))

    def read_history(self, number: VersionNumber) -> VersionedRecord | None:
        """Return a published record, or None if the history does not have it."""
        entry = self.store.read(self.keys.history(number), self.call_timeout_s)
        return decode_record(entry.value) if entry else None

    def _commit(self, head: Entry | None, record: VersionedRecord) -> bool:
        """Write head, number and history if the head is unchanged."""
        keys = self.keys
        value = encode_record(record)
        operations: list[Operation] = [
            Put(keys.head, value),
            Put(keys.number, str(record.number).encode()),
            Put(keys.history(record.number), value),
        ]
        if record.number > HISTORY_LENGTH:
            oldest = VersionNumber(record.number - HISTORY_LENGTH)
            operations.append(Delete(keys.history(oldest)))
        compare = compare_unchanged(head) if head else compare_absent(keys.head)
        transaction = Transaction((compare,), tuple(operations))
        try:
            return self.store.commit(transaction, self.call_timeout_s).succeeded
        except StoreOutcomeUnknownError as error:
            raise CommitUnansweredError("the commit was not answered") from error
