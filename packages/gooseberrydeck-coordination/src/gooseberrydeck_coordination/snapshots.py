"""Snapshots of the cell as read from the store."""

from collections.abc import Iterable

import msgspec

from gooseberrydeck_coordination.assignments import AssignmentTable
from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import Epoch, MemberId, Revision, ShardId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import (
    MemberRecord,
    decode_member,
    member_of,
)
from gooseberrydeck_coordination.roster import RosterRecord
from gooseberrydeck_coordination.shards import ShardRecord, shard_of
from gooseberrydeck_coordination.store import Entry, Store
from gooseberrydeck_coordination.stored_records import decode_entry

__all__ = ["CellSnapshot", "read_snapshot"]


class CellSnapshot(msgspec.Struct, frozen=True):
    """Roster, members, assignments and shards, read in this order.

    The shards are read last, so that they contain every epoch claimed before the roster
    and the members were written. ``entries`` has all entries by key, for compares in
    later transactions.

    ``unreadable`` says which records of members and shards were left out. Such a member
    may be running, and such a shard may have any epoch and owner.
    """

    roster: RosterRecord | None
    members: dict[MemberId, MemberRecord]
    assignments: AssignmentTable
    shards: dict[ShardId, ShardRecord]
    shard_revisions: dict[ShardId, Revision]
    entries: dict[str, Entry]
    unreadable: tuple[RecordUnreadableError, ...] = ()
    unreadable_members: frozenset[MemberId] = frozenset()
    unreadable_shards: frozenset[ShardId] = frozenset()

    def epochs(self) -> dict[ShardId, Epoch]:
        """Return the epoch of each recorded shard."""
        return {shard: record.epoch for shard, record in self.shards.items()}

    def withheld_shards(self) -> frozenset[ShardId]:
        """Return the shards that may have a running owner that can't be read."""
        owned = {
            shard
            for shard, record in self.shards.items()
            if not record.is_released and record.owner.member in self.unreadable_members
        }
        return self.unreadable_shards | owned


def read_snapshot(store: Store, keys: StoreKeys, timeout_s: float) -> CellSnapshot:
    """Read a snapshot with four calls, each with a timeout of ``timeout_s``.

    Raise ``RecordUnreadableError`` if the roster or the assignments can't be read: they
    must not be replaced by new ones.
    """
    roster = store.read(keys.roster, timeout_s)
    member_entries = store.read_prefix(keys.members_prefix, timeout_s).entries
    assignments = store.read(keys.assignments, timeout_s)
    shard_entries = store.read_prefix(keys.shards_prefix, timeout_s).entries
    singles = [entry for entry in (roster, assignments) if entry is not None]
    unreadable: list[RecordUnreadableError] = []
    members = read_members(member_entries, unreadable)
    shards = read_shards(shard_entries, unreadable)
    return CellSnapshot(
        roster=decode_entry(roster, RosterRecord) if roster else None,
        members={name: record for name, record in members.items() if record},
        assignments=(
            decode_entry(assignments, AssignmentTable)
            if assignments
            else AssignmentTable()
        ),
        shards={shard: record for shard, (record, _) in shards.items() if record},
        shard_revisions={shard: revision for shard, (_, revision) in shards.items()},
        entries={
            entry.key: entry for entry in (*member_entries, *shard_entries, *singles)
        },
        unreadable=tuple(unreadable),
        unreadable_members=frozenset(
            name for name, record in members.items() if record is None
        ),
        unreadable_shards=frozenset(
            shard for shard, (record, _) in shards.items() if record is None
        ),
    )


def read_members(
    entries: Iterable[Entry], unreadable: list[RecordUnreadableError]
) -> dict[MemberId, MemberRecord | None]:
    """Return the members' records, or None for each that is added to ``unreadable``."""
    found: dict[MemberId, MemberRecord | None] = {}
    for entry in entries:
        try:
            found[member_of(entry)] = decode_member(entry)
        except RecordUnreadableError as error:
            found[member_of(entry)] = None
            unreadable.append(error)
    return found


def read_shards(
    entries: Iterable[Entry], unreadable: list[RecordUnreadableError]
) -> dict[ShardId, tuple[ShardRecord | None, Revision]]:
    """Return the shards' records with their revisions, as ``read_members`` does.

    A key that names no shard is only added to ``unreadable``.
    """
    found: dict[ShardId, tuple[ShardRecord | None, Revision]] = {}
    for entry in entries:
        try:
            shard = shard_of(entry)
        except RecordUnreadableError as error:
            unreadable.append(error)
            continue
        try:
            found[shard] = decode_entry(entry, ShardRecord), entry.mod_revision
        except RecordUnreadableError as error:
            found[shard] = None, entry.mod_revision
            unreadable.append(error)
    return found
