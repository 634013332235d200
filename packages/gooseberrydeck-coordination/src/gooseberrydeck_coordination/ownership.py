"""The immutable picture of ownership that other parts act on."""

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

    ``deadline_s`` is until when the member may act, by its monotonic clock. While
    ``is_releasing`` nothing is started or renewed. ``revision`` is that of the record
    in the store, for transactions that require the ownership.
    """

    shard: ShardId
    epoch: Epoch
    revision: Revision
    deadline_s: float
    quarantine: Quarantine
    is_releasing: bool = False


@dataclass(frozen=True)
class OwnershipView:
    """Who owns which shard, and what this member may do.

    A view may be kept and asked again: its deadlines only ever err on the safe side.
    """

    clock: Clock
    member: MemberId
    owned: Mapping[ShardId, OwnedShard] = field(default_factory=dict)
    owners: Mapping[ShardId, MemberId] = field(default_factory=dict)
    members: Mapping[MemberId, MemberRecord] = field(default_factory=dict)
    shard_of_host: Mapping[HostName, ShardId] = field(default_factory=dict)

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if it has been given none yet."""
        return self.shard_of_host.get(host)

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the member that owns a shard, as last known."""
        return self.owners.get(shard)

    def may_act(self, shard: ShardId) -> bool:
        """Tell whether this member may start or renew anything of the shard now."""
        owned = self.owned.get(shard)
        if owned is None or owned.is_releasing:
            return False
        return self.clock.monotonic() < owned.deadline_s

    def require(self, shard: ShardId) -> Epoch:
        """Return the epoch to act under, or raise ``AuthorityLostError``.

        Call it after every pause and immediately before every start or renewal.
        """
        if not self.may_act(shard):
            raise AuthorityLostError(shard)
        return self.owned[shard].epoch

    def hosts_of(self, shard: ShardId) -> tuple[HostName, ...]:
        """Return the hosts of a shard, by name."""
        return tuple(
            sorted(host for host, owner in self.shard_of_host.items() if owner == shard)
        )
