"""Snapshots of the cell as read from the store."""

import msgspec

from gooseberrydeck_coordination.assignments import AssignmentTable
from gooseberrydeck_coordination.ids import Epoch, MemberId, Revision, ShardId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import MemberRecord, decode_members
from gooseberrydeck_coordination.roster import RosterRecord
from gooseberrydeck_coordination.shards import ShardRecord, decode_shards, shard_of
from gooseberrydeck_coordination.store import Entry, Store

__all__ = ["CellSnapshot", "read_snapshot"]


class CellSnapshot(msgspec.Struct, frozen=True):
    """Roster, members, assignments and shards, read in this order.

    The shards are read last, so that they contain every epoch claimed before the roster
    and the members were written. ``entries`` has all entries by key, for compares in
    later transactions.
    """

    roster: RosterRecord | None
    members: dict[MemberId, MemberRecord]
    assignments: AssignmentTable
    shards: dict[ShardId, ShardRecord]
    shard_revisions: dict[ShardId, Revision]
    entries: dict[str, Entry]

    def epochs(self) -> dict[ShardId, Epoch]:
        """Return the epoch of each recorded shard."""
        return {shard: record.epoch for shard, record in self.shards.items()}


def read_snapshot(store: Store, keys: StoreKeys, timeout_s: float) -> CellSnapshot:
    """Read a snapshot with four calls, each with a timeout of ``timeout_s``."""
    roster = store.read(keys.roster, timeout_s)
    members = store.read_prefix(keys.members_prefix, timeout_s).entries
    assignments = store.read(keys.assignments, timeout_s)
    shards = store.read_prefix(keys.shards_prefix, timeout_s).entries
    singles = [entry for entry in (roster, assignments) if entry is not None]
    return CellSnapshot(
        roster=msgspec.json.decode(roster.value, type=RosterRecord) if roster else None,
        members=decode_members(members),
        assignments=(
            msgspec.json.decode(assignments.value, type=AssignmentTable)
            if assignments
            else AssignmentTable()
        ),
        shards=decode_shards(shards),
        shard_revisions={shard_of(entry): entry.mod_revision for entry in shards},
        entries={entry.key: entry for entry in (*members, *shards, *singles)},
    )
