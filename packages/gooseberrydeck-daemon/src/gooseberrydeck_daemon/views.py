"""Read-only views of ownership, membership and configuration for request handling."""

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
    """Interface to the newest configuration that this member has accepted."""

    @property
    def current(self) -> Configuration:
        """Return the newest configuration."""


class ConfigurationHolder:
    """Hold the newest configuration; older ones never replace it."""

    def __init__(self, current: Configuration | None = None) -> None:
        """Create a holder of ``current``, by default the empty configuration 0."""
        self.lock = threading.Lock()
        self.current = current or Configuration()

    def offer(self, configuration: Configuration) -> bool:
        """Store a newer configuration; return False for one that is not newer."""
        with self.lock:
            if configuration.number <= self.current.number:
                return False
            self.current = configuration
            return True


class MembershipView(Protocol):
    """Interface to the last known peers of this member."""

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members."""


class StaticMembership:
    """Fixed peers, as named in the settings."""

    def __init__(self, addresses: Iterable[PeerAddress], member: MemberId) -> None:
        """Create a view of all addresses except that of ``member``."""
        self.addresses = tuple(item for item in addresses if item.member != member)

    def peers(self) -> Sequence[PeerAddress]:
        """Return the addresses of all other members."""
        return self.addresses


class OwnershipView(Protocol):
    """Interface to the owners of shards and the shards of hosts."""

    def shard_of(self, host: HostName) -> ShardId | None:
        """Return the shard of a host, or None if none is assigned yet."""

    def owner_of(self, shard: ShardId) -> MemberId | None:
        """Return the last known owner of a shard, or None."""

    def may_serve(self, shard: ShardId) -> bool:
        """Return True if this member may send requests to a shard's endpoints now."""


class StaticOwnership:
    """Fixed ownership by rendezvous hashing over a constant set of members."""

    def __init__(
        self, member: MemberId, members: Iterable[MemberId], shards: int
    ) -> None:
        """Assign each of ``shards`` shards to one of the members."""
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
        """Return True if this member owns the shard."""
        return self.owners.get(shard) == self.member


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same in every process."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")
