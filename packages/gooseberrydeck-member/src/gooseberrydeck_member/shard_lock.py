"""The lock on the shard: a record in the store with a fencing token, and a lease."""

import msgspec

from gooseberrydeck_coordination.exceptions import StoreLeaseLostError
from gooseberrydeck_coordination.ids import Epoch, MemberId, Revision, StoreLeaseId
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Put,
    Store,
    Transaction,
)
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_member.keys import ALIVE_KEY, SHARD_KEY

__all__ = [
    "TOKENS_PER_CLAIM",
    "ShardLock",
    "ShardLostError",
    "ShardRecord",
    "ShardView",
    "next_token",
]

TOKENS_PER_CLAIM = 1_000
"""Fencing tokens that a holder may send: that of its claim, and for calls to a worker a
higher one after each restart of that worker. A member of an earlier version, which
claims with the next token, is still accepted by workers without restarts."""


class ShardLostError(Exception):
    """The member does not hold the shard, or no longer holds it."""


class ShardRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The holder of the shard, its address for peers, and its fencing token.

    ``incarnation`` identifies a process of the member. ``holder`` is empty after the
    holder has released the shard. ``active_predecessors`` are the addresses of former
    holders that may still have been acting when the shard was claimed, and
    ``predecessor_incarnations`` their processes.
    """

    token: Epoch
    holder: MemberId = MemberId("")
    address: str = ""
    incarnation: str = ""
    members: tuple[str, ...] = ()
    active_predecessors: tuple[str, ...] = ()
    predecessor_incarnations: tuple[str, ...] = ()


class ShardView(msgspec.Struct, frozen=True):
    """The record with the store revision that a claim compares."""

    record: ShardRecord
    revision: Revision


class ShardLock:
    """Claim, renew and release the shard on behalf of one member process.

    The record decides who holds the shard and outlives the lease. The lease only shows
    that the holder is alive.
    """

    def __init__(
        self, store: Store, member: MemberId, address: str, incarnation: str
    ) -> None:
        """Start without the lock; ``incarnation`` identifies the process."""
        self.store = store
        self.member = member
        self.address = address
        self.incarnation = incarnation
        self.held: ShardView | None = None
        self.lease = StoreLeaseId(0)

    def read(self, timeout_s: float) -> ShardView:
        """Return the current record, or one with token 0 if there is none yet."""
        entry = self.store.read(SHARD_KEY, timeout_s)
        if entry is None:
            return ShardView(ShardRecord(Epoch(0)), Revision(0))
        record = decode_entry(entry, ShardRecord)
        return ShardView(record, entry.mod_revision)

    def is_alive(self, timeout_s: float) -> bool:
        """Return whether the holder's lease is still in force."""
        return self.store.read(ALIVE_KEY, timeout_s) is not None

    def claim(
        self,
        seen: ShardView,
        members: tuple[str, ...],
        ttl_s: float,
        timeout_s: float,
        active_predecessors: tuple[str, ...] = (),
        predecessor_incarnations: tuple[str, ...] = (),
    ) -> bool:
        """Claim the shard with a higher fencing token.

        Returns False if the record is no longer the one in ``seen``. ``members`` are
        the peers' addresses, stored for members that cannot read the store, and
        ``active_predecessors``, with their processes, are stored for the next claimant.
        Raises a ``StoreError`` if the claim may not have been stored.
        """
        lease = self.store.grant_lease(ttl_s, timeout_s)
        record = ShardRecord(
            next_token(seen.record.token),
            self.member,
            self.address,
            self.incarnation,
            members,
            active_predecessors,
            predecessor_incarnations,
        )
        transaction = Transaction(
            (mod_revision_equals(SHARD_KEY, seen.revision),),
            (
                Put(SHARD_KEY, msgspec.json.encode(record)),
                Put(ALIVE_KEY, self.incarnation.encode(), lease),
            ),
        )
        result = self.store.commit(transaction, timeout_s)
        if not result.succeeded:
            return False
        self.lease = lease
        self.held = ShardView(record, result.revision)
        return True

    def ownership_condition(self) -> Compare:
        """Return the comparison that a transaction of the holder must include.

        Raises ``ShardLostError`` if this member does not hold the shard.
        """
        if self.held is None:
            raise ShardLostError("this member does not hold the shard")
        return mod_revision_equals(SHARD_KEY, self.held.revision)

    def renew_lease(self, ttl_s: float, timeout_s: float) -> None:
        """Renew the lease, or attach a new one if it has expired.

        Raises ``ShardLostError`` if another member has claimed the shard, or a
        ``StoreError``.
        """
        try:
            if self.lease:
                self.store.keep_lease_alive(self.lease, timeout_s)
                self.check_held(timeout_s)
                return
        except StoreLeaseLostError:
            self.lease = StoreLeaseId(0)
        # The lease may have expired because of a store outage; the record decides
        # whether this member still holds the shard.
        lease = self.store.grant_lease(ttl_s, timeout_s)
        mark = Put(ALIVE_KEY, self.incarnation.encode(), lease)
        result = self.store.commit(
            Transaction((self.ownership_condition(),), (mark,)), timeout_s
        )
        if not result.succeeded:
            raise ShardLostError("another member has claimed the shard")
        self.lease = lease

    def check_held(self, timeout_s: float) -> None:
        """Raise ``ShardLostError`` if the record is not this member's claim any more.

        A claim by another member leaves this member's lease in force.
        """
        held = self.held
        if held is None or self.read(timeout_s).revision != held.revision:
            raise ShardLostError("another member has claimed the shard")

    def release(self, timeout_s: float) -> None:
        """Release the shard, so that any member can claim it without waiting."""
        if self.held is None:
            return
        held = self.held.record
        record = ShardRecord(
            held.token,
            members=held.members,
            active_predecessors=held.active_predecessors,
            predecessor_incarnations=held.predecessor_incarnations,
        )
        transaction = Transaction(
            (self.ownership_condition(),),
            (Put(SHARD_KEY, msgspec.json.encode(record)),),
        )
        self.held = None
        self.store.commit(transaction, timeout_s)


def next_token(token: Epoch) -> Epoch:
    """Return the fencing token of the claim after the one with ``token``."""
    return Epoch(token + TOKENS_PER_CLAIM)


def mod_revision_equals(key: str, revision: Revision) -> Compare:
    """Return the condition that a key has a revision; 0 if it must not exist."""
    return Compare(key, CompareTarget.MOD_REVISION, revision)
