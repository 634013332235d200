"""Thread-safe access to the newest view of ownership."""

from collections.abc import Callable, Iterable, Sequence

from gooseberrydeck_coordination import MemberRecord, OwnershipView
from gooseberrydeck_coordination.ids import Epoch, HostName, MemberId, ShardId
from gooseberrydeck_daemon.settings import PeerAddress

__all__ = ["OwnershipHolder"]


class OwnershipHolder:
    """Hold the newest ``OwnershipView``, for any thread to read.

    The ownership task replaces the view as a whole. It calls ``listeners`` when owners,
    members or the hosts of shards have changed; they must not block.
    """

    def __init__(
        self, view: OwnershipView, initial_peers: Iterable[PeerAddress]
    ) -> None:
        """Create a holder of ``view`` with the peers from the settings."""
        self.current = view
        self.initial_peers = {each.member: each for each in initial_peers}
        self.listeners: list[Callable[[], None]] = []

    def publish(self, view: OwnershipView) -> None:
        """Replace the view, and call the listeners if more than deadlines changed."""
        before, self.current = self.current, view
        if _has_changed(before, view):
            for listener in self.listeners:
                listener()

    def view(self) -> OwnershipView:
        """Return the newest view."""
        return self.current

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if none is assigned yet."""
        return self.current.shard_of(host)

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the last known owner of a shard, or None."""
        return self.current.owner_of(shard)

    def may_act(self, shard: ShardId) -> bool:
        """Return True if this member may act as the owner of a shard now."""
        return self.current.may_act(shard)

    def may_serve(self, shard: ShardId) -> bool:
        """Return True if this member may send requests to a shard's endpoints now."""
        return self.current.may_serve(shard)

    def require(self, shard: ShardId) -> Epoch:
        """Return the shard's epoch if this member may act as its owner.

        Raise ``AuthorityLostError`` otherwise.
        """
        return self.current.require(shard)

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members.

        Addresses from the store take precedence over those from the settings.
        """
        known = {
            member: _peer_address(record)
            for member, record in self.current.members.items()
        }
        merged = {**self.initial_peers, **known}
        return [each for name, each in merged.items() if name != self.current.member]


def _peer_address(record: MemberRecord) -> PeerAddress:
    """Return the address on which a member listens for its peers."""
    return PeerAddress(record.member, record.address, record.port, record.public_key)


def _has_changed(before: OwnershipView, after: OwnershipView) -> bool:
    """Return True if anything but deadlines differs."""
    epochs_before = {shard: each.epoch for shard, each in before.owned.items()}
    epochs_after = {shard: each.epoch for shard, each in after.owned.items()}
    return (
        epochs_before != epochs_after
        or before.owners != after.owners
        or before.members != after.members
        or before.shard_of_host != after.shard_of_host
    )
