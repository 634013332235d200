"""Newest usage summary of each shard, and placement decisions based on them."""

import random
import threading
from collections.abc import Collection, Iterable

import msgspec

from gooseberrydeck_coordination.ids import ShardId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_daemon.peers import Inbound
from gooseberrydeck_daemon.usage.messages import ShardUsage, UsageSummary

__all__ = ["CellUsage", "UsageTable"]

SAMPLED_SHARDS = 2


class CellUsage(msgspec.Struct, frozen=True):
    """Capacity, and usage by team, summed over several shards."""

    capacity: Resources
    teams: dict[TeamName, Resources]


class UsageTable:
    """Keep the newest summary of each shard. Thread-safe.

    The summary of a failed owner is kept until its successor sends one, since the tasks
    keep running.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create an empty table; ``rng`` draws the candidate shards."""
        self.rng = rng
        self.shards: dict[ShardId, ShardUsage] = {}
        self.lock = threading.Lock()

    def receive(self, inbound: Inbound) -> None:
        """Record a peer's summary."""
        summary: UsageSummary = inbound.message
        self.observe(summary.shards)

    def observe(self, usages: Iterable[ShardUsage]) -> None:
        """Record summaries; those that are not newer than the known one are ignored."""
        with self.lock:
            for usage in usages:
                known = self.shards.get(usage.shard)
                if known is None or known.version < usage.version:
                    self.shards[usage.shard] = usage

    def of_other_shards(self, own: Collection[ShardId]) -> CellUsage:
        """Return the total capacity and usage of all shards except ``own``."""
        with self.lock:
            others = [usage for usage in self.shards.values() if usage.shard not in own]
        capacity = sum((usage.capacity.unpack() for usage in others), NO_RESOURCES)
        teams: dict[TeamName, Resources] = {}
        for usage in others:
            for team, used in usage.teams.items():
                teams[team] = teams.get(team, NO_RESOURCES) + used.unpack()
        return CellUsage(capacity, teams)

    def choose_shard(
        self, task: Resources, tasks: int, excluded: Collection[ShardId] = ()
    ) -> ShardId | None:
        """Return the better of two random shards that can hold a job's tasks.

        Return None if no known shard has the capacity.
        """
        with self.lock:
            fitting = [
                usage
                for usage in self.shards.values()
                if usage.shard not in excluded and task.fits_in(usage.capacity.unpack())
            ]
            if not fitting:
                return None
            drawn = self.rng.sample(fitting, min(SAMPLED_SHARDS, len(fitting)))
        best = max(drawn, key=lambda usage: placement_rank(usage, task, tasks))
        return best.shard


def placement_rank(
    usage: ShardUsage, task: Resources, tasks: int
) -> tuple[bool, float]:
    """Return the rank of a shard for a job; higher is better.

    Shards that can start the whole job immediately come first, then those with the most
    free capacity and the fewest waiting tasks relative to their size.
    """
    free = usage.free.unpack()
    wanted = Resources(
        task.cpu_millis * tasks, task.memory_mib * tasks, task.accelerators * tasks
    )
    starts_at_once = (
        not usage.waiting
        and task.fits_in(usage.largest_hole.unpack())
        and wanted.fits_in(free)
    )
    size = max(1, usage.capacity.cpu_millis)
    return (starts_at_once, (free.cpu_millis / size) - usage.waiting * 1000 / size)
