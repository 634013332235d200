"""The durations that are learned for each team, and what several teams have in common.

A team without a history gets the median of the others, which no single team can move
beyond what those have seen.
"""

from collections.abc import Iterable, Mapping, Sequence
from statistics import median_low
from typing import TypeVar

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_fleet.duration_errors import (
    BETTER_RATIO,
    MIN_WEIGHT,
    ErrorRecord,
)
from gooseberrydeck_fleet.durations import TRUSTED_WEIGHT, DurationGroup
from gooseberrydeck_fleet.expectations import GroupKey

__all__ = [
    "MAX_GROUPS_PER_TEAM",
    "MAX_TEAMS",
    "SharedDurations",
    "TeamDurations",
    "keep_newest",
]

K = TypeVar("K")
V = TypeVar("V")

ESTIMATE_STEP = 0.125
"""Estimates closer than this, as a natural logarithm, share one value of the queue."""

MAX_GROUPS_PER_TEAM = 32
"""Groups kept for a team, and queues whose errors are kept; about 36 kB."""

MAX_TEAMS = 100
"""Teams for which durations are kept; five times the number on a large deployment."""

MIN_TEAMS = 3
"""Teams that a shared value needs: the median of fewer follows a single team."""

MIN_SHARED_WEIGHT = 0.5
"""Weight, in steps, from which a team counts for a shared value."""


class TeamDurations:
    """What is learned for one team, the least recently confirmed first."""

    __slots__ = ("errors", "groups")

    def __init__(self) -> None:
        """Create a team without a history."""
        self.groups: dict[GroupKey, DurationGroup] = {}
        self.errors: dict[QueueName, ErrorRecord] = {}


class SharedDurations:
    """What holds for teams without a history, found once until it is cleared."""

    def __init__(self, teams: Mapping[TeamName, TeamDurations]) -> None:
        """Find what several of the teams have in common."""
        self.teams = teams
        self.groups: dict[GroupKey | QueueName, list[DurationGroup]] = {}
        self.values: dict[tuple[GroupKey, int], tuple[float, float] | None] = {}
        self.verdicts: dict[QueueName, bool] = {}

    def clear(self) -> None:
        """Have everything found again."""
        self.groups.clear()
        self.values.clear()
        self.verdicts.clear()

    def predict(self, key: GroupKey, estimate: float) -> tuple[float, float] | None:
        """Return the logarithms of a typical duration and what nine of ten stay below.

        Estimates within an eighth of each other share a value, so that the cost is
        bounded however many jobs come.
        """
        place = round(estimate / ESTIMATE_STEP)
        if (key, place) not in self.values:
            groups = self.find_groups(key)
            if not groups and key.has_estimate:
                groups = self.find_groups(key.queue)
            near = place * ESTIMATE_STEP
            self.values[key, place] = None
            if groups:
                typical = median_low(each.typical(near) for each in groups)
                high = median_low(each.nine_of_ten(near) for each in groups)
                self.values[key, place] = typical, high
        return self.values[key, place]

    def find_groups(self, key: GroupKey | QueueName) -> list[DurationGroup]:
        """Return the groups of several teams for a step number or a whole queue."""
        if key not in self.groups:
            self.groups[key] = find_shared_groups(self.teams.values(), key)
        return self.groups[key]

    def is_better(self, queue: QueueName) -> bool:
        """Return True if most teams' runs are predicted better by what is learned."""
        if queue not in self.verdicts:
            self.verdicts[queue] = is_better_for_most(self.teams.values(), queue)
        return self.verdicts[queue]


def find_shared_groups(
    teams: Iterable[TeamDurations], key: GroupKey | QueueName
) -> list[DurationGroup]:
    """Return the groups of a step number or queue, if there are enough of them.

    Of a queue, each team counts with the group that has seen most.
    """
    found = []
    for team in teams:
        if isinstance(key, GroupKey):
            own = [team.groups[key]] if key in team.groups else []
        else:
            own = [
                group
                for each, group in team.groups.items()
                if each.queue == key and each.has_estimate
            ]
        most = max(own, key=lambda group: group.weight, default=None)
        if most is not None and most.weight >= MIN_SHARED_WEIGHT:
            found.append(most)
    weights = [group.weight for group in found]
    return found if is_enough(weights, TRUSTED_WEIGHT) else []


def is_better_for_most(teams: Iterable[TeamDurations], queue: QueueName) -> bool:
    """Return True if most teams' runs are predicted better by what is learned."""
    records = [
        each
        for team in teams
        if (each := team.errors.get(queue)) is not None
        and each.weight >= MIN_SHARED_WEIGHT
    ]
    if not is_enough([each.weight for each in records], MIN_WEIGHT):
        return False
    learned = median_low(each.learned for each in records)
    return learned < BETTER_RATIO * median_low(each.estimate for each in records)


def is_enough(weights: Sequence[float], least: float) -> bool:
    """Return True if what several teams have seen suffices, each counted alike."""
    return (
        len(weights) >= MIN_TEAMS and sum(min(1.0, each) for each in weights) >= least
    )


def keep_newest(entries: dict[K, V], count: int) -> None:
    """Remove the oldest entries beyond a count."""
    while len(entries) > count:
        del entries[next(iter(entries))]
