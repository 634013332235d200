"""Resource usage snapshots, and the share and packing reports."""

from collections.abc import Callable, Iterable

import msgspec

from gooseberrydeck_configuration.api import PackingResponse, ShareResponse, TeamShare
from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = [
    "MAX_USAGE_AGE_S",
    "TeamUsage",
    "UsageSnapshot",
    "UsageSource",
    "dominant_share",
    "packing_report",
    "share_report",
]

MAX_USAGE_AGE_S = 150.0
"""Maximum age of a member's usage snapshot; snapshots are written every minute."""


class TeamUsage(msgspec.Struct, frozen=True):
    """Tasks and resources of a team on the shards of one member."""

    running: int = 0
    waiting: int = 0
    resources: Resources = NO_RESOURCES


class UsageSnapshot(msgspec.Struct, frozen=True):
    """Usage of the workers in the shards that one member owns.

    ``taken_s`` is wall-clock time.
    """

    taken_s: float
    hosts: int = 0
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    largest_hole: Resources = NO_RESOURCES
    waiting: int = 0
    teams: dict[str, TeamUsage] = {}


UsageSource = Callable[[], UsageSnapshot]


def dominant_share(part: Resources, whole: Resources) -> float:
    """Return the largest ratio of ``part`` to ``whole`` over all resources."""
    pairs = (
        (part.cpu_millis, whole.cpu_millis),
        (part.memory_mib, whole.memory_mib),
        (part.accelerators, whole.accelerators),
    )
    return max((use / total for use, total in pairs if total > 0), default=0.0)


def larger_hole(left: Resources, right: Resources) -> Resources:
    """Return the larger free block: by processors, memory, then accelerators."""
    key_left = (left.cpu_millis, left.memory_mib, left.accelerators)
    key_right = (right.cpu_millis, right.memory_mib, right.accelerators)
    return left if key_left >= key_right else right


def packing_report(
    snapshots: Iterable[UsageSnapshot], made_s: float
) -> PackingResponse:
    """Return the total usage of the workers of all members."""
    hosts = waiting = members = 0
    capacity = committed = used = hole = NO_RESOURCES
    for snapshot in snapshots:
        members += 1
        hosts += snapshot.hosts
        waiting += snapshot.waiting
        capacity += snapshot.capacity
        committed += snapshot.committed
        used += snapshot.used
        hole = larger_hole(hole, snapshot.largest_hole)
    return PackingResponse(
        made_s, members, hosts, capacity, committed, used, hole, waiting
    )


def share_report(
    snapshots: Iterable[UsageSnapshot], configuration: Configuration, made_s: float
) -> ShareResponse:
    """Return how close each team is to its share.

    ``distance`` is the share that a team with waiting tasks lacks; otherwise it is 0.
    """
    members = list(snapshots)
    capacity = NO_RESOURCES
    for snapshot in members:
        capacity += snapshot.capacity
    limits = {limit.team: limit.max_running for limit in configuration.limits}
    teams = []
    for share in configuration.shares:
        usages = [m.teams.get(share.team, TeamUsage()) for m in members]
        resources = NO_RESOURCES
        for usage in usages:
            resources += usage.resources
        waiting = sum(usage.waiting for usage in usages)
        part = dominant_share(resources, capacity)
        distance = max(0.0, share.weight - part) if waiting else 0.0
        teams.append(
            TeamShare(
                team=share.team,
                weight=share.weight,
                dominant_share=part,
                distance=distance,
                limit=limits.get(share.team, 0),
                running=sum(usage.running for usage in usages),
                waiting=waiting,
            )
        )
    return ShareResponse(made_s, len(members), tuple(teams))
