"""The stored ownership of shards, and the balance of shards between members."""

import hashlib
import re
from collections import Counter
from collections.abc import Iterable, Mapping, Set

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import Epoch, MemberId, ShardId
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_coordination.timing import Timing

__all__ = [
    "ShardBalance",
    "ShardRecord",
    "claimed_record",
    "free_shards",
    "released_record",
    "shard_of",
]

SHARD_NAME = re.compile(r"[0-9]{4,9}")

FIRST_EPOCH = Epoch(1)
"""The epoch of a shard that has had only one owner."""


class ShardRecord(msgspec.Struct, frozen=True):
    """The owner of a shard, and what a later owner needs to compute its waits.

    ``is_settled`` is set with a release if no worker was in quarantine.
    ``follows_clean`` means that the claim found the shard released and settled.
    ``wait_session_ttl_s`` and ``wait_task_lease_s`` are the longest durations that any
    owner before the claim can have used.
    """

    owner: Seat
    epoch: Epoch
    session_ttl_s: float
    task_lease_s: float
    is_released: bool = False
    is_settled: bool = False
    has_predecessor: bool = False
    follows_clean: bool = False
    wait_session_ttl_s: float = 0.0
    wait_task_lease_s: float = 0.0


def claimed_record(
    former: ShardRecord | None, owner: Seat, timing: Timing
) -> ShardRecord:
    """Return the record of a claim by ``owner`` that replaces ``former``.

    A settled release ends the waits for the owners before the releasing one.
    """
    if former is None:
        return ShardRecord(
            owner, FIRST_EPOCH, float(timing.session_ttl_s), timing.task_lease_s
        )
    wait_ttl_s, wait_lease_s = former.session_ttl_s, former.task_lease_s
    if not former.is_settled:
        wait_ttl_s = max(wait_ttl_s, former.wait_session_ttl_s)
        wait_lease_s = max(wait_lease_s, former.wait_task_lease_s)
    return ShardRecord(
        owner,
        Epoch(former.epoch + 1),
        float(timing.session_ttl_s),
        timing.task_lease_s,
        has_predecessor=True,
        follows_clean=former.is_released and former.is_settled,
        wait_session_ttl_s=wait_ttl_s,
        wait_task_lease_s=wait_lease_s,
    )


def released_record(record: ShardRecord, is_settled: bool) -> ShardRecord:
    """Return the record after its owner, which has stopped acting, releases it."""
    return msgspec.structs.replace(record, is_released=True, is_settled=is_settled)


def shard_of(entry: Entry) -> ShardId:
    """Return the shard whose record an entry contains, by its key.

    Raise ``RecordUnreadableError`` if the key names no shard.
    """
    name = entry.key.rsplit("/", 1)[-1]
    if not SHARD_NAME.fullmatch(name):
        raise RecordUnreadableError(entry.key, "the key names no shard")
    return ShardId(int(name))


def free_shards(
    shard_count: int,
    shards: Mapping[ShardId, ShardRecord],
    members: Mapping[MemberId, MemberRecord],
) -> list[ShardId]:
    """Return the shards that have no owner with a session."""
    seats = {member.seat for member in members.values()}
    return [
        shard
        for shard in map(ShardId, range(shard_count))
        if (record := shards.get(shard)) is None
        or record.is_released
        or record.owner not in seats
    ]


class ShardBalance:
    """Decide which shards a member claims and which it hands over.

    Members that have read the same state compute the same plan, so claims seldom
    conflict; the store rejects all but one of those that do. After
    ``Timing.fallback_claim_s``, any member may claim a shard that its planned member
    did not claim. Surplus shards move one at a time in the whole cell, and slowly once
    the cell has formed.
    """

    def __init__(
        self, member: MemberId, shard_count: int, clock: Clock, timing: Timing
    ) -> None:
        """Initialize without observations."""
        self.member = member
        self.shard_count = shard_count
        self.clock = clock
        self.timing = timing
        self.free_since_s: dict[ShardId, float] = {}
        self.surplus_since_s: float | None = None
        self.last_read_s = float("-inf")
        self.claims_from_s = float("-inf")
        self.first_claims_from_s: float | None = None
        self.formation_until_s = float("-inf")

    def observe(
        self,
        shards: Mapping[ShardId, ShardRecord],
        members: Mapping[MemberId, MemberRecord],
        withheld: Set[ShardId] = frozenset(),
    ) -> None:
        """Update from newly read records, before ``claims`` and ``handover``.

        The ``withheld`` shards may have a running owner whatever the records say.
        """
        now_s = self.clock.monotonic()
        if self.first_claims_from_s is None:
            # Wait for members that start at the same time, so that the shards are
            # shared evenly from the start.
            self.first_claims_from_s = now_s + self.timing.cold_start_s
            self.formation_until_s = now_s + self.timing.formation_s
        if now_s - self.last_read_s > self.timing.session_ttl_s:
            # After an outage of the store every session may have expired. Owners need
            # time to reopen their sessions before others may claim their shards.
            pause_s = self.timing.session_ttl_s + self.timing.round_interval_s
            self.claims_from_s = now_s + self.timing.lengthen_for_drift(pause_s)
        self.last_read_s = now_s
        free = [
            shard
            for shard in free_shards(self.shard_count, shards, members)
            if shard not in withheld
        ]
        self.free_since_s = {
            shard: self.free_since_s.get(shard, now_s) for shard in free
        }
        if free or not self._has_surplus(shards, members):
            self.surplus_since_s = None
        elif self.surplus_since_s is None:
            self.surplus_since_s = now_s

    def claims(
        self,
        shards: Mapping[ShardId, ShardRecord],
        members: Mapping[MemberId, MemberRecord],
    ) -> list[ShardId]:
        """Return the shards that this member should claim now."""
        own_record = members.get(self.member)
        if own_record is None or own_record.is_leaving:
            return []
        now_s = self.clock.monotonic()
        plan = planned_owners(list(self.free_since_s), shards, members)
        return [
            shard
            for shard, owner in plan.items()
            if now_s >= self._claimable_from_s(shard, shards.get(shard), owner)
        ]

    def handover(
        self,
        shards: Mapping[ShardId, ShardRecord],
        members: Mapping[MemberId, MemberRecord],
    ) -> ShardId | None:
        """Return a shard to hand over to a less loaded member, or None.

        It is the shard with the highest number of those that this member owns.
        """
        now_s = self.clock.monotonic()
        if self.surplus_since_s is None:
            return None
        own = {
            shard: record
            for shard, record in shards.items()
            if record.owner.member == self.member and not record.is_released
        }
        # Members that start with the cell but later than ``cold_start_s`` find all
        # shards claimed, and should get theirs soon.
        is_forming = now_s < self.formation_until_s and all(
            record.epoch == FIRST_EPOCH for record in own.values()
        )
        timing = self.timing
        hold_s = timing.cold_start_s if is_forming else timing.imbalance_hold_s
        if now_s - self.surplus_since_s < hold_s:
            return None
        # Hand over further shards at the shorter ``move_interval_s``.
        self.surplus_since_s = now_s - max(0.0, hold_s - timing.move_interval_s)
        return max(own, default=None)

    def _claimable_from_s(
        self, shard: ShardId, record: ShardRecord | None, owner: MemberId
    ) -> float:
        """Return the time from which this member may claim a free shard."""
        assert self.first_claims_from_s is not None
        from_s = self.free_since_s[shard]
        if record is None:
            from_s = max(from_s, self.first_claims_from_s)
        elif not record.is_released:
            from_s = max(from_s, self.claims_from_s)
        if owner != self.member:
            from_s += self.timing.fallback_claim_s
        return from_s

    def _has_surplus(
        self,
        shards: Mapping[ShardId, ShardRecord],
        members: Mapping[MemberId, MemberRecord],
    ) -> bool:
        """Return True if this member has the most shards and should hand one over."""
        loads = shard_loads(shards, members)
        if not loads or self.member not in loads:
            return False
        most_loaded = max(loads, key=lambda member: (loads[member], member))
        return (
            most_loaded == self.member and loads[most_loaded] - min(loads.values()) > 1
        )


def shard_loads(
    shards: Mapping[ShardId, ShardRecord], members: Mapping[MemberId, MemberRecord]
) -> Counter[MemberId]:
    """Return how many shards each member owns, without leaving members."""
    loads = Counter({name: 0 for name, each in members.items() if not each.is_leaving})
    for record in shards.values():
        owner = members.get(record.owner.member)
        is_owned = owner is not None and owner.seat == record.owner
        if is_owned and not record.is_released and record.owner.member in loads:
            loads[record.owner.member] += 1
    return loads


def planned_owners(
    free: Iterable[ShardId],
    shards: Mapping[ShardId, ShardRecord],
    members: Mapping[MemberId, MemberRecord],
) -> dict[ShardId, MemberId]:
    """Plan an owner for each free shard: the member with the fewest shards.

    Ties are broken by rendezvous hashing, so that every member computes the same plan.
    """
    loads = shard_loads(shards, members)
    plan: dict[ShardId, MemberId] = {}
    if not loads:
        return plan
    for shard in sorted(free):
        owner = min(loads, key=lambda name: (loads[name], rendezvous_rank(name, shard)))
        loads[owner] += 1
        plan[shard] = owner
    return plan


def rendezvous_rank(member: MemberId, shard: ShardId) -> bytes:
    """Return the rendezvous hash of a member and a shard, the same in any process."""
    return hashlib.blake2b(f"{member}/{shard}".encode(), digest_size=8).digest()
