"""Who schedules the shard: one record in the store, and a lease beside it."""

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
from gooseberrydeck_member.keys import ALIVE, SHARD

__all__ = ["ShardLock", "ShardLostError", "ShardRecord", "ShardView"]


class ShardLostError(Exception):
    """Another member holds the shard, or none does."""


class ShardRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The holder, where its peers reach it, and its fencing token.

    ``incarnation`` tells the runs of one member apart. ``holder`` is empty after a
    holder has given the shard up.
    """

    token: Epoch
    holder: MemberId = MemberId("")
    address: str = ""
    incarnation: str = ""
    members: tuple[str, ...] = ()


class ShardView(msgspec.Struct, frozen=True):
    """The record as read, with the revision that a claim must compare."""

    record: ShardRecord
    revision: Revision


class ShardLock:
    """Read, claim, keep and give up the shard."""

    def __init__(
        self, store: Store, member: MemberId, address: str, incarnation: str
    ) -> None:
        """Act for one run of a member."""
        self.store = store
        self.member = member
        self.address = address
        self.incarnation = incarnation
        self.held: ShardView | None = None
        self.lease = StoreLeaseId(0)

    def read(self, timeout_s: float) -> ShardView:
        """Return the present record; one with token 0 if there is none yet."""
        entry = self.store.read(SHARD, timeout_s)
        if entry is None:
            return ShardView(ShardRecord(Epoch(0)), Revision(0))
        record = msgspec.json.decode(entry.value, type=ShardRecord)
        return ShardView(record, entry.mod_revision)

    def is_alive(self, timeout_s: float) -> bool:
        """Tell whether the holder's lease has not lapsed."""
        return self.store.read(ALIVE, timeout_s) is not None

    def claim(
        self, seen: ShardView, members: tuple[str, ...], ttl_s: float, timeout_s: float
    ) -> bool:
        """Claim the shard as it was seen; return False if somebody was faster.

        ``members`` are the peers' addresses, for members that cannot read the store.
        """
        lease = self.store.grant_lease(ttl_s, timeout_s)
        record = ShardRecord(
            Epoch(seen.record.token + 1),
            self.member,
            self.address,
            self.incarnation,
            members,
        )
        transaction = Transaction(
            (mod_revision_equals(SHARD, seen.revision),),
            (
                Put(SHARD, msgspec.json.encode(record)),
                Put(ALIVE, self.incarnation.encode(), lease),
            ),
        )
        result = self.store.commit(transaction, timeout_s)
        if not result.succeeded:
            return False
        self.lease = lease
        self.held = ShardView(record, result.revision)
        return True

    def ownership_condition(self) -> Compare:
        """Return the condition under which the holder may write."""
        if self.held is None:
            raise ShardLostError("the shard is not held")
        return mod_revision_equals(SHARD, self.held.revision)

    def renew_lease(self, ttl_s: float, timeout_s: float) -> None:
        """Renew the lease, or raise ``ShardLostError`` or a ``StoreError``."""
        try:
            if self.lease:
                self.store.keep_lease_alive(self.lease, timeout_s)
                return
        except StoreLeaseLostError:
            self.lease = StoreLeaseId(0)
        # The store's own outage may have ended the lease: the record decides.
        lease = self.store.grant_lease(ttl_s, timeout_s)
        mark = Put(ALIVE, self.incarnation.encode(), lease)
        result = self.store.commit(
            Transaction((self.ownership_condition(),), (mark,)), timeout_s
        )
        if not result.succeeded:
            raise ShardLostError("another member has claimed the shard")
        self.lease = lease

    def release(self, timeout_s: float) -> None:
        """Give the shard up, so that it can be claimed at once."""
        if self.held is None:
            return
        record = ShardRecord(self.held.record.token, members=self.held.record.members)
        transaction = Transaction(
            (self.ownership_condition(),), (Put(SHARD, msgspec.json.encode(record)),)
        )
        self.held = None
        self.store.commit(transaction, timeout_s)


def mod_revision_equals(key: str, revision: Revision) -> Compare:
    """Require that a key was last written at a revision, 0 for never."""
    return Compare(key, CompareTarget.MOD_REVISION, revision)
