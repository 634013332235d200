"""The newest picture of ownership, for every thread of the member."""

from collections.abc import Callable, Iterable, Sequence

from gooseberrydeck_coordination import MemberRecord, OwnershipView
from gooseberrydeck_coordination.ids import Epoch, HostName, MemberId, ShardId
from gooseberrydeck_daemon.settings import PeerAddress

__all__ = ["OwnershipHolder"]


class OwnershipHolder:
    """Hold the newest ``OwnershipView``; several threads may ask it.

    It is replaced as a whole by the ownership task. ``listeners`` are called by that
    task when owners, members or the hosts of shards have changed; they must not block.
    """

    def __init__(
        self, view: OwnershipView, initial_peers: Iterable[PeerAddress]
    ) -> None:
        """Begin with ``view``; ``initial_peers`` are the peers that settings name."""
        self.current = view
        self.initial_peers = {each.member: each for each in initial_peers}
        self.listeners: list[Callable[[], None]] = []

    def publish(self, view: OwnershipView) -> None:
        """Replace the picture, and call the listeners if it shows a change."""
        before, self.current = self.current, view
        if _has_changed(before, view):
            for listener in self.listeners:
                listener()

    def view(self) -> OwnershipView:
        """Return the newest picture."""
        return self.current

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if it has been given none yet."""
        return self.current.shard_of(host)

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the member that owns a shard, as last known."""
        return self.current.owner_of(shard)

    def may_act(self, shard: ShardId) -> bool:
        """Tell whether this member may act as the owner of a shard now."""
        return self.current.may_act(shard)

    def may_serve(self, shard: ShardId) -> bool:
        """Tell whether this member may send requests to a shard's endpoints now."""
        return self.current.may_serve(shard)

    def require(self, shard: ShardId) -> Epoch:
        """Return the epoch to act under, or raise ``AuthorityLostError``."""
        return self.current.require(shard)

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members, the store's before settings'."""
        known = {
            member: _peer_address(record)
            for member, record in self.current.members.items()
        }
        merged = {**self.initial_peers, **known}
        return [each for name, each in merged.items() if name != self.current.member]


def _peer_address(record: MemberRecord) -> PeerAddress:
    """Return where a member answers its peers."""
    return PeerAddress(record.member, record.address, record.port, record.public_key)


def _has_changed(before: OwnershipView, after: OwnershipView) -> bool:
    """Tell whether anything but deadlines has changed."""
    epochs_before = {shard: each.epoch for shard, each in before.owned.items()}
    epochs_after = {shard: each.epoch for shard, each in after.owned.items()}
    return (
        epochs_before != epochs_after
        or before.owners != after.owners
        or before.members != after.members
        or before.shard_of_host != after.shard_of_host
    )
