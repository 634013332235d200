"""Immutable views of shard ownership, for use by the rest of a process."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import AuthorityLostError
from gooseberrydeck_coordination.ids import Epoch, HostName, MemberId, Revision, ShardId
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.quarantine import Quarantine

__all__ = ["OwnedShard", "OwnershipView"]


class OwnedShard(msgspec.Struct, frozen=True):
    """A shard that this member owns.

    The member may act until ``deadline_s`` of its monotonic clock. While
    ``is_releasing`` is set, it must not start or renew anything. ``revision`` is that
    of the shard's record in the store, for transactions that depend on the ownership.
    """

    shard: ShardId
    epoch: Epoch
    revision: Revision
    deadline_s: float
    quarantine: Quarantine
    is_releasing: bool = False


@dataclass(frozen=True)
class OwnershipView:
    """The owners of all shards and the authority of this member.

    A view may be kept and used again later: its deadlines are never too late.
    """

    clock: Clock
    member: MemberId
    owned: Mapping[ShardId, OwnedShard] = field(default_factory=dict)
    owners: Mapping[ShardId, MemberId] = field(default_factory=dict)
    members: Mapping[MemberId, MemberRecord] = field(default_factory=dict)
    shard_of_host: Mapping[HostName, ShardId] = field(default_factory=dict)

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if it is not assigned to one yet."""
        return self.shard_of_host.get(host)

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the last known owner of a shard, or None."""
        return self.owners.get(shard)

    def may_act(self, shard: ShardId) -> bool:
        """Return True if this member may start or renew work of the shard now."""
        return self.may_serve(shard) and not self.owned[shard].is_releasing

    def may_serve(self, shard: ShardId) -> bool:
        """Return True if this member may send requests to the shard's endpoints now.

        Unlike ``may_act``, this remains true during a release: a request to an endpoint
        has no lease for which the next owner would have to wait.
        """
        owned = self.owned.get(shard)
        return owned is not None and self.clock.monotonic() < owned.deadline_s

    def require(self, shard: ShardId) -> Epoch:
        """Return the shard's epoch, or raise ``AuthorityLostError``.

        Call this after every pause and immediately before every start or renewal, and
        act only under the returned epoch.
        """
        if not self.may_act(shard):
            raise AuthorityLostError(shard)
        return self.owned[shard].epoch

    def hosts_of(self, shard: ShardId) -> tuple[HostName, ...]:
        """Return the hosts of a shard, sorted by name."""
        return tuple(
            sorted(host for host, owner in self.shard_of_host.items() if owner == shard)
        )
