"""What the request path sees of ownership, members and configuration."""

import hashlib
import threading
from collections.abc import Iterable, Sequence
from typing import Protocol

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.ids import HostName, MemberId, ShardId
from gooseberrydeck_daemon.settings import PeerAddress

__all__ = [
    "ConfigurationHolder",
    "ConfigurationView",
    "MembershipView",
    "OwnershipView",
    "StaticMembership",
    "StaticOwnership",
]


class ConfigurationView(Protocol):
    """The newest configuration that this member has accepted."""

    @property
    def current(self) -> Configuration:
        """Return the configuration; it has its number."""


class ConfigurationHolder:
    """Hold the newest configuration; it never goes back."""

    def __init__(self, current: Configuration | None = None) -> None:
        """Begin with ``current``, or with the empty configuration 0."""
        self.lock = threading.Lock()
        self.current = current or Configuration()

    def offer(self, configuration: Configuration) -> bool:
        """Take a newer configuration; return False for one that is not newer."""
        with self.lock:
            if configuration.number <= self.current.number:
                return False
            self.current = configuration
            return True


class MembershipView(Protocol):
    """The peers of this member, as last known."""

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members."""


class StaticMembership:
    """The peers named in the settings."""

    def __init__(self, addresses: Iterable[PeerAddress], member: MemberId) -> None:
        """Keep every address but our own."""
        self.addresses = tuple(item for item in addresses if item.member != member)

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members."""
        return self.addresses


class OwnershipView(Protocol):
    """Which member owns which shard, and which shard has a host."""

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if it has been given none yet."""

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the member that owns a shard, as last known."""

    def may_serve(self, shard: ShardId) -> bool:
        """Tell whether this member may send requests to a shard's endpoints now."""


class StaticOwnership:
    """Ownership by rendezvous hashing over members that never change."""

    def __init__(
        self, member: MemberId, members: Iterable[MemberId], shards: int
    ) -> None:
        """Spread ``shards`` shards over the members."""
        self.member = member
        names = sorted({member, *members})
        self.owners = {
            ShardId(shard): max(names, key=lambda name: stable_hash(f"{shard}/{name}"))
            for shard in range(shards)
        }
        self.shards = shards

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host."""
        return ShardId(stable_hash(host) % self.shards)

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the member that owns a shard."""
        return self.owners.get(shard)

    def may_serve(self, shard: ShardId) -> bool:
        """Tell whether this member owns the shard."""
        return self.owners.get(shard) == self.member


def stable_hash(text: str) -> int:
    """Return a hash that is the same in every process."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")
