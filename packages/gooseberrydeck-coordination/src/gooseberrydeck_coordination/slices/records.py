"""Slice records: division of a limit, changes of the limit and moves of units."""

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
    """The upper limit of a team's running units in a configuration."""

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
    """Return the first record of a team, with nearly equal slices."""
    base, remainder = divmod(limit.limit, len(shards))
    units = {
        shard: base + (1 if position < remainder else 0)
        for position, shard in enumerate(sorted(shards))
    }
    return SliceRecord(limit.team, limit.limit, limit.configuration_number, units)


def scale_units(units: int, old_limit: int, new_limit: int) -> int:
    """Return a slice scaled down to a lower limit, rounded down.

    A higher limit leaves the slice unchanged.
    """
    if new_limit >= old_limit:
        return units
    return units * new_limit // old_limit


def rewrite_for_limit(record: SliceRecord, limit: TeamLimit) -> SliceRecord:
    """Return the record for a newer limit.

    A lower limit scales every slice down. Units lost to rounding are returned to shards
    whose slice was larger before. So a lower limit enlarges no slice, and an owner that
    has not seen the new record yet admits no more than before. The additional units of
    a higher limit are divided evenly between the shards.
    """
    if limit.limit >= record.limit:
        units = _raise_units(record.units, limit.limit - record.limit)
    else:
        units = _lower_units(record.units, record.limit, limit.limit)
    return SliceRecord(limit.team, limit.limit, limit.configuration_number, units)


def move_units(
    record: SliceRecord, recipient: ShardId, donated: Mapping[ShardId, int]
) -> SliceRecord:
    """Return the record with the ``donated`` units of each shard moved."""
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
