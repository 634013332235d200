"""Rounds of store calls.

A round renews the session, reads a snapshot and writes releases, roster changes, host
assignments and claims.
"""

import msgspec

from gooseberrydeck_coordination.assignments import HostSpecification, assign_hosts
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import CoordinationError
from gooseberrydeck_coordination.ids import Epoch, Revision, ShardId, StoreLeaseId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.roster_planner import RosterPlanner
from gooseberrydeck_coordination.sessions import Session
from gooseberrydeck_coordination.shards import (
    ShardBalance,
    ShardRecord,
    claimed_record,
    released_record,
)
from gooseberrydeck_coordination.snapshots import CellSnapshot, read_snapshot
from gooseberrydeck_coordination.store import (
    Compare,
    Put,
    Store,
    Transaction,
    compare_absent,
    compare_unchanged,
)
from gooseberrydeck_coordination.timing import Timing

__all__ = ["RoundPlan", "RoundResult", "ShardRelease", "StoreRounds"]

MAX_CLAIMS_PER_ROUND = 32


class ShardRelease(msgspec.Struct, frozen=True):
    """A shard to release, whose owner has stopped acting for it."""

    shard: ShardId
    epoch: Epoch
    is_settled: bool


class RoundPlan(msgspec.Struct, frozen=True):
    """What a round should write, besides claims.

    ``informed_seats`` are the seats that know version ``roster_version`` of the roster.
    ``hosts`` are given shards if the assignment table lacks them.
    """

    releases: tuple[ShardRelease, ...] = ()
    roster_version: int = 0
    informed_seats: frozenset[Seat] = frozenset()
    hosts: tuple[HostSpecification, ...] = ()
    is_leaving: bool = False


class RoundResult(msgspec.Struct, frozen=True):
    """The result of a round.

    ``session_sent_s`` is the send time of the last successful keep-alive. ``snapshot``
    is None if the round failed before the snapshot was read. ``handover`` is a shard
    that this member should release. ``failure`` is the error that ended the round.
    """

    lease: StoreLeaseId | None
    session_sent_s: float
    snapshot: CellSnapshot | None
    handover: ShardId | None = None
    failure: CoordinationError | None = None


class StoreRounds:
    """Make a member's coordination calls to the store.

    All calls block and must be made from one thread. A write whose answer was lost is
    resolved by the reads of the next round: a record that names this run of the member
    as the owner is its own claim.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        record: MemberRecord,
        shard_count: int,
        clock: Clock,
        timing: Timing,
    ) -> None:
        """Initialize without calls to the store; the first round opens the session."""
        self.store = store
        self.keys = keys
        self.clock = clock
        self.timing = timing
        self.shard_count = shard_count
        self.seat = record.seat
        self.session = Session(store, keys, record, clock, timing)
        self.balance = ShardBalance(record.member, shard_count, clock, timing)
        self.roster_planner = RosterPlanner(clock, timing)

    def run(self, plan: RoundPlan) -> RoundResult:
        """Run one round; a ``CoordinationError`` is returned in the result."""
        snapshot: CellSnapshot | None = None
        handover: ShardId | None = None
        failure: CoordinationError | None = None
        try:
            self.session.renew_or_open()
            if plan.is_leaving:
                self.session.announce_leaving()
            snapshot = read_snapshot(self.store, self.keys, self.timing.store_timeout_s)
            if self.seat.member in snapshot.unreadable_members:
                self.session.rewrite(snapshot.entries[self.session.key])
            handover = self._write_changes(snapshot, plan)
        except CoordinationError as error:
            failure = error
        return RoundResult(
            self.session.lease, self.session.sent_s, snapshot, handover, failure
        )

    def close(self) -> None:
        """End the session and delete the member's record."""
        self.session.close()

    def _write_changes(self, snapshot: CellSnapshot, plan: RoundPlan) -> ShardId | None:
        """Write every due change; return a shard to hand over, or None."""
        for release in plan.releases:
            self._release(snapshot, release)
        self._write_roster(snapshot, plan)
        self._write_assignments(snapshot, plan)
        self.balance.observe(
            snapshot.shards, snapshot.members, snapshot.withheld_shards()
        )
        if not self.session.is_live:
            return None
        claims = self.balance.claims(snapshot.shards, snapshot.members)
        for shard in claims[:MAX_CLAIMS_PER_ROUND]:
            self._claim(snapshot, shard)
        return self.balance.handover(snapshot.shards, snapshot.members)

    def _claim(self, snapshot: CellSnapshot, shard: ShardId) -> None:
        """Claim a shard in a transaction that fails if the snapshot is outdated.

        The shard's record and the member records of this member and of the previous
        owner must be unchanged, so a claim fails if this member has lost its session or
        the previous owner has reopened its own.
        """
        former = snapshot.shards.get(shard)
        key = self.keys.shard(shard)
        own_key = self.keys.member(self.seat.member)
        compares = [_compare(snapshot, key), _compare(snapshot, own_key)]
        if former is not None and not former.is_released:
            owner_key = self.keys.member(former.owner.member)
            if owner_key != own_key:
                compares.append(_compare(snapshot, owner_key))
        record = claimed_record(former, self.seat, self.timing)
        self._write_shard(snapshot, shard, record, tuple(compares))

    def _release(self, snapshot: CellSnapshot, release: ShardRelease) -> None:
        """Release a shard if this member still owns it at the planned epoch."""
        record = snapshot.shards.get(release.shard)
        if record is None or record.owner != self.seat or record.is_released:
            return
        if record.epoch != release.epoch:
            return
        compares = (_compare(snapshot, self.keys.shard(release.shard)),)
        released = released_record(record, release.is_settled)
        self._write_shard(snapshot, release.shard, released, compares)

    def _write_shard(
        self,
        snapshot: CellSnapshot,
        shard: ShardId,
        record: ShardRecord,
        compares: tuple[Compare, ...],
    ) -> None:
        """Write a shard's record and, on success, update the snapshot."""
        key = self.keys.shard(shard)
        revision = self._commit(key, record, compares)
        if revision is not None:
            snapshot.shards[shard] = record
            snapshot.shard_revisions[shard] = revision

    def _write_roster(self, snapshot: CellSnapshot, plan: RoundPlan) -> None:
        """Write the next roster if a change is due; the next round reads it."""
        roster = snapshot.roster
        is_known = roster is not None and roster.version == plan.roster_version
        informed_seats = plan.informed_seats if is_known else frozenset()
        planned = self.roster_planner.plan(
            roster, snapshot.members, informed_seats, snapshot.unreadable_members
        )
        if planned is not None:
            compares = (_compare(snapshot, self.keys.roster),)
            self._commit(self.keys.roster, planned, compares)

    def _write_assignments(self, snapshot: CellSnapshot, plan: RoundPlan) -> None:
        """Write a shard for each new host; the next round reads the table."""
        table = assign_hosts(snapshot.assignments, plan.hosts, self.shard_count)
        if len(table.places) > len(snapshot.assignments.places):
            compares = (_compare(snapshot, self.keys.assignments),)
            self._commit(self.keys.assignments, table, compares)

    def _commit(
        self, key: str, record: msgspec.Struct, compares: tuple[Compare, ...]
    ) -> Revision | None:
        """Write one record if the compares hold; return its revision, else None."""
        put = Put(key, msgspec.json.encode(record))
        result = self.store.commit(
            Transaction(compares, (put,)), self.timing.store_timeout_s
        )
        return result.revision if result.succeeded else None


def _compare(snapshot: CellSnapshot, key: str) -> Compare:
    """Return the compare that requires a key to be as in the snapshot."""
    entry = snapshot.entries.get(key)
    return compare_unchanged(entry) if entry else compare_absent(key)
