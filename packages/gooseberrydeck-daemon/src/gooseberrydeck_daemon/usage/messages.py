"""Usage summaries of shards, exchanged between members."""

import msgspec

from gooseberrydeck_coordination.ids import Epoch, ShardId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_daemon.peers import PeerMessage

__all__ = ["PackedResources", "ShardUsage", "UsageSummary", "pack_resources"]


class PackedResources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of resources without field names, to save bytes on the wire."""

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def unpack(self) -> Resources:
        """Return the amounts as ``Resources``."""
        return Resources(self.cpu_millis, self.memory_mib, self.accelerators)


def pack_resources(amount: Resources) -> PackedResources:
    """Return the amounts in packed form."""
    return PackedResources(amount.cpu_millis, amount.memory_mib, amount.accelerators)


class ShardUsage(msgspec.Struct, frozen=True, array_like=True):
    """The state of one shard as its owner sees it.

    ``sequence`` increases with each summary of an epoch. ``largest_hole`` is the free
    capacity of the worker with the most free processors. ``waiting`` counts tasks.
    """

    shard: ShardId
    epoch: Epoch
    sequence: int
    capacity: PackedResources
    free: PackedResources
    largest_hole: PackedResources
    waiting: int
    teams: dict[TeamName, PackedResources]

    @property
    def version(self) -> tuple[Epoch, int]:
        """Return the key that orders the summaries of a shard."""
        return (self.epoch, self.sequence)


class UsageSummary(PeerMessage, frozen=True):
    """The shards of one member."""

    shards: tuple[ShardUsage, ...]
