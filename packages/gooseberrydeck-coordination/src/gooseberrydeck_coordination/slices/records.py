"""How a limit is split into slices, rewritten and moved."""

from collections.abc import Mapping, Sequence

import msgspec

from gooseberrydeck_coordination.ids import ConfigurationNumber, ShardId, TeamName

__all__ = [
    "SliceRecord",
    "TeamLimit",
    "move_units",
    "rewrite_for_limit",
    "scale_units",
    "split_evenly",
]


class TeamLimit(msgspec.Struct, frozen=True):
    """A team's upper limit in running units, as a configuration sets it."""

    team: TeamName
    limit: int
    configuration_number: ConfigurationNumber


class SliceRecord(msgspec.Struct, frozen=True):
    """The slices of one team; the sum of ``units`` never exceeds ``limit``."""

    team: TeamName
    limit: int
    configuration_number: ConfigurationNumber
    units: dict[ShardId, int]


def split_evenly(limit: TeamLimit, shards: Sequence[ShardId]) -> SliceRecord:
    """Return the first record of a team: a slice for each shard, nearly equal."""
    base, remainder = divmod(limit.limit, len(shards))
    units = {
        shard: base + (1 if position < remainder else 0)
        for position, shard in enumerate(sorted(shards))
    }
    return SliceRecord(limit.team, limit.limit, limit.configuration_number, units)


def scale_units(units: int, old_limit: int, new_limit: int) -> int:
    """Return a slice after a change of limit, rounded down; it never grows."""
    if new_limit >= old_limit:
        return units
    return units * new_limit // old_limit


def rewrite_for_limit(record: SliceRecord, limit: TeamLimit) -> SliceRecord:
    """Return the record under a newer limit.

    A lower limit scales every slice down, and what the rounding left over goes
    back to shards that had more than that before. So no shard gains from a
    lower limit, and an owner that has not seen it yet adds nothing to the sum.
    A higher limit is spread evenly over the shards.
    """
    if limit.limit >= record.limit:
        units = _raise_units(record.units, limit.limit - record.limit)
    else:
        units = _lower_units(record.units, record.limit, limit.limit)
    return SliceRecord(limit.team, limit.limit, limit.configuration_number, units)


def move_units(
    record: SliceRecord, recipient: ShardId, donated: Mapping[ShardId, int]
) -> SliceRecord:
    """Return the record after ``donated`` units have moved to ``recipient``."""
    units = dict(record.units)
    for donor, count in donated.items():
        units[donor] -= count
        units[recipient] = units.get(recipient, 0) + count
    return msgspec.structs.replace(record, units=units)


def _raise_units(units: Mapping[ShardId, int], added: int) -> dict[ShardId, int]:
    base, remainder = divmod(added, len(units))
    return {
        shard: units[shard] + base + (1 if position < remainder else 0)
        for position, shard in enumerate(sorted(units))
    }


def _lower_units(
    units: Mapping[ShardId, int], old_limit: int, new_limit: int
) -> dict[ShardId, int]:
    lowered = {
        shard: scale_units(count, old_limit, new_limit)
        for shard, count in units.items()
    }
    left_over = min(new_limit, sum(units.values())) - sum(lowered.values())
    for shard in sorted(lowered, key=lambda shard: lowered[shard] - units[shard]):
        if left_over <= 0:
            break
        if lowered[shard] < units[shard]:
            lowered[shard] += 1
            left_over -= 1
    return lowered
