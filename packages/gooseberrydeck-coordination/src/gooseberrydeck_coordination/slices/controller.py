"""Writes of slice records: moves of units and changes of limits."""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import (
    RecordUnreadableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision, ShardId, TeamName
from gooseberrydeck_coordination.slices.ledger import SliceLedger, StoredSlices
from gooseberrydeck_coordination.slices.messages import SliceOffer, SliceRequest
from gooseberrydeck_coordination.slices.records import (
    SliceRecord,
    TeamLimit,
    move_units,
    rewrite_for_limit,
    split_evenly,
)
from gooseberrydeck_coordination.store import (
    ABSENT,
    Compare,
    CompareTarget,
    Entry,
    Put,
    Store,
    Transaction,
    compare_absent,
)
from gooseberrydeck_coordination.stored_records import (
    UnreadableReport,
    decode_entry,
    ignore_report,
)

__all__ = ["MoveOutcome", "SliceController"]

STORE_TIMEOUT_S = 2.0


class MoveOutcome(Enum):
    """The outcome of an attempt to write slice records."""

    MOVED = "moved"
    OUTDATED = "outdated"
    DELAYED = "delayed"
    STORE_OUT = "store_out"


class SliceController:
    """Read and write the slice records of a cell.

    This class is not thread-safe, unlike the ledger that it updates.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        ledger: SliceLedger,
        shards: Sequence[ShardId],
        prefix: str,
        key_of_shard: Callable[[ShardId], str],
        raise_delay_s: float,
        report_unreadable: UnreadableReport = ignore_report,
    ) -> None:
        """Initialize for all ``shards`` of the cell; records are at ``prefix`` + team.

        A record that was lowered is not raised for ``raise_delay_s``. This must exceed
        the time within which every member has either seen a configuration or stopped
        admitting.
        """
        self.store = store
        self.clock = clock
        self.ledger = ledger
        self.shards = tuple(shards)
        self.prefix = prefix
        self.key_of_shard = key_of_shard
        self.raise_delay_s = raise_delay_s
        self.report_unreadable = report_unreadable
        self.lowered_at_s: dict[TeamName, float] = {}
        # The revisions of records that can't be read.
        self.unreadable: dict[TeamName, Revision] = {}

    def observe(self, entry: Entry) -> None:
        """Process a slice record read from the store or its watch.

        An unreadable one is reported. Nothing is admitted for its team, and its record
        isn't replaced, until a later one can be read: units may have been moved by it.
        """
        team = TeamName(entry.key.removeprefix(self.prefix))
        try:
            record = decode_entry(entry, SliceRecord)
            if record.team != team:
                raise RecordUnreadableError(entry.key, "the record is of another team")
        except RecordUnreadableError as error:
            if entry.mod_revision > self.unreadable.get(team, ABSENT):
                self.unreadable[team] = entry.mod_revision
                self.ledger.withdraw(team, entry.mod_revision)
                self.report_unreadable(error)
            return
        if entry.mod_revision > self.unreadable.get(team, ABSENT):
            self.unreadable.pop(team, None)
            self._observe(StoredSlices(record, entry.mod_revision))

    def refresh_all(self) -> None:
        """Read every record, which allows the ledger to admit again.

        Raise ``StoreError`` if the store does not answer.
        """
        number = self.ledger.number
        snapshot = self.store.read_prefix(self.prefix, STORE_TIMEOUT_S)
        for entry in snapshot.entries:
            self.observe(entry)
        listed = {entry.key for entry in snapshot.entries}
        for team in list(self.unreadable):
            if self._key_of(team) not in listed:
                del self.unreadable[team]
        self.ledger.confirm(number)

    def take_shard(
        self,
        shard: ShardId,
        ownership_revision: Revision,
        running: Mapping[TeamName, int],
    ) -> None:
        """Admit work on a claimed shard from now on.

        The records are read after the claim, so that every move by the previous owner
        is seen. Raise ``StoreError`` if the store does not answer; nothing is admitted
        on the shard then.
        """
        self.refresh_all()
        self.ledger.add_shard(shard, ownership_revision, running)

    def refresh(self, team: TeamName) -> None:
        """Update the ledger with a team's record from the store.

        Raise ``StoreError`` if the store does not answer.
        """
        entry = self.store.read(self._key_of(team), STORE_TIMEOUT_S)
        if entry is not None:
            self.observe(entry)

    def write_limits(
        self, is_writer_of: Callable[[TeamName], bool] = lambda _team: True
    ) -> MoveOutcome:
        """Create or rewrite the records that don't match the configuration.

        Only records of teams that ``is_writer_of`` accepts are written. The next call
        retries those that could not be written yet.
        """
        for limit in self.ledger.outdated_limits():
            if not is_writer_of(limit.team):
                continue
            outcome = self._write_limit(limit)
            if outcome is MoveOutcome.STORE_OUT:
                return outcome
        return MoveOutcome.MOVED

    def requests_for(
        self, team: TeamName, recipient: ShardId, units: int
    ) -> tuple[SliceRequest, ...]:
        """Return a request to each shard that has units of the team.

        Shards with larger slices come first.
        """
        stored = self.ledger.stored.get(team)
        if stored is None or units <= 0:
            return ()
        slices = stored.record.units
        donors = sorted(
            (shard for shard in slices if shard != recipient and slices[shard] > 0),
            key=lambda shard: (-slices[shard], shard),
        )
        return tuple(
            SliceRequest(team, donor, recipient, units, stored.revision)
            for donor in donors
        )

    def accept_offers(
        self,
        recipient: ShardId,
        ownership_revision: Revision,
        offers: Sequence[SliceOffer],
    ) -> MoveOutcome:
        """Move all offered units of one team to ``recipient`` in one transaction.

        Offers for another revision of the record are ignored. Nothing is moved if the
        record has changed, or if a donor or ``recipient`` has a new owner.
        """
        stored = self.ledger.stored.get(offers[0].team)
        usable = _valid_offers(stored, recipient, offers)
        if stored is None or not usable:
            return MoveOutcome.OUTDATED
        donated = {offer.donor: offer.units for offer in usable}
        owners = {offer.donor: offer.ownership_revision for offer in usable}
        owners[recipient] = ownership_revision
        record = move_units(stored.record, recipient, donated)
        return self._replace(stored, record, self._compare_owners(owners))

    def void_offers(self, team: TeamName) -> MoveOutcome:
        """Invalidate offers for a record's revision by writing the record unchanged."""
        stored = self.ledger.stored.get(team)
        if stored is None:
            return MoveOutcome.OUTDATED
        return self._replace(stored, stored.record, ())

    def _write_limit(self, limit: TeamLimit) -> MoveOutcome:
        if limit.team in self.unreadable:
            return MoveOutcome.OUTDATED
        stored = self.ledger.stored.get(limit.team)
        if stored is None:
            record = split_evenly(limit, self.shards)
            return self._commit(record, (compare_absent(self._key_of(limit.team)),))
        if limit.limit > stored.record.limit and not self._may_raise(limit.team):
            return MoveOutcome.DELAYED
        record = rewrite_for_limit(stored.record, limit)
        return self._replace(stored, record, ())

    def _may_raise(self, team: TeamName) -> bool:
        lowered_at_s = self.lowered_at_s.get(team)
        if lowered_at_s is None:
            return True
        return self.clock.monotonic() - lowered_at_s > self.raise_delay_s

    def _observe(self, stored: StoredSlices) -> None:
        team = stored.record.team
        known = self.ledger.stored.get(team)
        is_new = known is None or known.revision < stored.revision
        if is_new and (known is None or stored.record.limit < known.record.limit):
            self.lowered_at_s[team] = self.clock.monotonic()
        self.ledger.observe(stored)

    def _key_of(self, team: TeamName) -> str:
        return self.prefix + team

    def _replace(
        self, stored: StoredSlices, record: SliceRecord, compares: tuple[Compare, ...]
    ) -> MoveOutcome:
        unchanged = Compare(
            self._key_of(record.team), CompareTarget.MOD_REVISION, stored.revision
        )
        return self._commit(record, (unchanged, *compares))

    def _compare_owners(
        self, owners: Mapping[ShardId, Revision]
    ) -> tuple[Compare, ...]:
        return tuple(
            Compare(self.key_of_shard(shard), CompareTarget.MOD_REVISION, revision)
            for shard, revision in sorted(owners.items())
        )

    def _commit(
        self, record: SliceRecord, compares: tuple[Compare, ...]
    ) -> MoveOutcome:
        put = Put(self._key_of(record.team), msgspec.json.encode(record))
        try:
            result = self.store.commit(Transaction(compares, (put,)), STORE_TIMEOUT_S)
            if result.succeeded:
                self._observe(StoredSlices(record, result.revision))
                return MoveOutcome.MOVED
            self.refresh(record.team)
        except StoreUnavailableError:
            return MoveOutcome.STORE_OUT
        except StoreOutcomeUnknownError:
            return self._resolve_outcome(record)
        return MoveOutcome.OUTDATED

    def _resolve_outcome(self, record: SliceRecord) -> MoveOutcome:
        """Resolve a write without an answer by reading the record."""
        try:
            self.refresh(record.team)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            return MoveOutcome.STORE_OUT
        stored = self.ledger.stored.get(record.team)
        if stored is not None and stored.record == record:
            return MoveOutcome.MOVED
        return MoveOutcome.OUTDATED


def _valid_offers(
    stored: StoredSlices | None, recipient: ShardId, offers: Sequence[SliceOffer]
) -> list[SliceOffer]:
    if stored is None:
        return []
    return [
        offer
        for offer in offers
        if offer.recipient == recipient and offer.record_revision == stored.revision
    ]
