"""One round of calls to the store: session, picture, claims, releases, roster."""

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
    """A shard that its owner has stopped acting for."""

    shard: ShardId
    epoch: Epoch
    is_settled: bool


class RoundPlan(msgspec.Struct, frozen=True):
    """What a member wants of the store in one round.

    ``informed_seats`` are the seats that know roster ``roster_version``.
    """

    releases: tuple[ShardRelease, ...] = ()
    roster_version: int = 0
    informed_seats: frozenset[Seat] = frozenset()
    hosts: tuple[HostSpecification, ...] = ()
    is_leaving: bool = False


class RoundResult(msgspec.Struct, frozen=True):
    """What a round achieved.

    ``session_sent_s`` is when the last keep-alive that succeeded was sent. Without a
    snapshot the round ended early with ``failure``.
    """

    lease: StoreLeaseId | None
    session_sent_s: float
    snapshot: CellSnapshot | None
    handover: ShardId | None = None
    failure: CoordinationError | None = None


class StoreRounds:
    """Make the calls of a member to the store, in one thread.

    Whatever a lost answer leaves open is settled by the next round's reads: a record
    that names this run of the member as the owner is its own claim.
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
        """Prepare; the first round opens the session."""
        self.store = store
        self.keys = keys
        self.clock = clock
        self.timing = timing
        self.shard_count = shard_count
        self.seat = record.seat
        self.session = Session(store, keys, record, clock, timing)
        self.balance = ShardBalance(record.member, shard_count, clock, timing)
        self.seating = RosterPlanner(clock, timing)

    def run(self, plan: RoundPlan) -> RoundResult:
        """Make one round; failures of the store are told in the result."""
        snapshot: CellSnapshot | None = None
        handover: ShardId | None = None
        failure: CoordinationError | None = None
        try:
            self.session.renew_or_open()
            if plan.is_leaving:
                self.session.announce_leaving()
            snapshot = read_snapshot(self.store, self.keys, self.timing.store_timeout_s)
            handover = self._change(snapshot, plan)
        except CoordinationError as error:
            failure = error
        return RoundResult(
            self.session.lease, self.session.sent_s, snapshot, handover, failure
        )

    def close(self) -> None:
        """End the session."""
        self.session.close()

    def _change(self, snapshot: CellSnapshot, plan: RoundPlan) -> ShardId | None:
        """Write what is due; return a shard to hand over, if one is due."""
        for release in plan.releases:
            self._release(snapshot, release)
        self._change_roster(snapshot, plan)
        self._assign(snapshot, plan)
        self.balance.observe(snapshot.shards, snapshot.members)
        if not self.session.is_live:
            return None
        claims = self.balance.claims(snapshot.shards, snapshot.members)
        for shard in claims[:MAX_CLAIMS_PER_ROUND]:
            self._claim(snapshot, shard)
        return self.balance.handover(snapshot.shards, snapshot.members)

    def _claim(self, snapshot: CellSnapshot, shard: ShardId) -> None:
        """Claim a shard if it and its former owner are as the snapshot shows."""
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
        """Release a shard that is still this member's."""
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
        """Write a shard's record, and into the snapshot if that succeeded."""
        key = self.keys.shard(shard)
        revision = self._commit(key, record, compares)
        if revision is not None:
            snapshot.shards[shard] = record
            snapshot.shard_revisions[shard] = revision

    def _change_roster(self, snapshot: CellSnapshot, plan: RoundPlan) -> None:
        """Write the next roster if one is due; the next round reads it."""
        roster = snapshot.roster
        is_known = roster is not None and roster.version == plan.roster_version
        informed_seats = plan.informed_seats if is_known else frozenset()
        planned = self.seating.plan(roster, snapshot.members, informed_seats)
        if planned is not None:
            compares = (_compare(snapshot, self.keys.roster),)
            self._commit(self.keys.roster, planned, compares)

    def _assign(self, snapshot: CellSnapshot, plan: RoundPlan) -> None:
        """Give hosts that are new to the table a shard; the next round reads it."""
        table = assign_hosts(snapshot.assignments, plan.hosts, self.shard_count)
        if len(table.places) > len(snapshot.assignments.places):
            compares = (_compare(snapshot, self.keys.assignments),)
            self._commit(self.keys.assignments, table, compares)

    def _commit(
        self, key: str, record: msgspec.Struct, compares: tuple[Compare, ...]
    ) -> Revision | None:
        """Write one record if the compares hold; return its revision then."""
        put = Put(key, msgspec.json.encode(record))
        result = self.store.commit(
            Transaction(compares, (put,)), self.timing.store_timeout_s
        )
        return result.revision if result.succeeded else None


def _compare(snapshot: CellSnapshot, key: str) -> Compare:
    """Require that a key is as the snapshot shows it."""
    entry = snapshot.entries.get(key)
    return compare_unchanged(entry) if entry else compare_absent(key)
