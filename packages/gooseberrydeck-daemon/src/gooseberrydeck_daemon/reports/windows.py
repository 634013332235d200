"""Counts in time buckets over several windows, bounded in size."""

from enum import Enum

import msgspec

__all__ = ["OTHER_TEAMS", "Counts", "Level", "LevelCounts", "Series"]

MAX_TEAMS_IN_BUCKET = 16
OTHER_TEAMS = "(others)"


class Level(Enum):
    """A window and the width of its buckets, both in seconds."""

    FIVE_MINUTES = ("5m", 300, 10)
    HOUR = ("1h", 3_600, 60)
    SIX_HOURS = ("6h", 21_600, 600)
    THREE_DAYS = ("3d", 259_200, 3_600)

    def __init__(self, label: str, window_s: int, bucket_s: int) -> None:
        """Set the parts of the level."""
        self.label = label
        self.window_s = window_s
        self.bucket_s = bucket_s

    def index(self, wall_s: float) -> int:
        """Return the bucket that a wall-clock time falls into."""
        return int(wall_s // self.bucket_s)

    def first_index(self, wall_s: float) -> int:
        """Return the first bucket of the window that ends at ``wall_s``."""
        return self.index(wall_s) - self.window_s // self.bucket_s + 1


class Counts(msgspec.Struct, array_like=True):
    """Requests that ended well in time, well but late, and not well."""

    good: int = 0
    late: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return all requests."""
        return self.good + self.late + self.failed

    @property
    def bad(self) -> int:
        """Return the requests that use up the budget."""
        return self.late + self.failed

    def add(self, other: "Counts") -> None:
        """Add other counts to these."""
        self.good += other.good
        self.late += other.late
        self.failed += other.failed


class Bucket(msgspec.Struct, array_like=True):
    """The counts of one bucket, and the bad ones by team."""

    counts: Counts = msgspec.field(default_factory=Counts)
    bad_by_team: dict[str, Counts] = msgspec.field(default_factory=dict)

    def add(self, counts: Counts, bad_by_team: dict[str, Counts]) -> None:
        """Add counts; teams beyond the bound are counted together."""
        self.counts.add(counts)
        for team, bad in bad_by_team.items():
            is_known = team in self.bad_by_team
            if not is_known and len(self.bad_by_team) >= MAX_TEAMS_IN_BUCKET:
                team = OTHER_TEAMS
            self.bad_by_team.setdefault(team, Counts()).add(bad)


class LevelCounts(msgspec.Struct):
    """The buckets of one level by index; old ones are dropped."""

    buckets: dict[int, Bucket] = msgspec.field(default_factory=dict)

    def add(self, index: int, counts: Counts, bad_by_team: dict[str, Counts]) -> None:
        """Add counts to a bucket."""
        bucket = self.buckets.get(index)
        if bucket is None:
            bucket = self.buckets[index] = Bucket()
        bucket.add(counts, bad_by_team)

    def drop_outside(self, first: int, last: int) -> None:
        """Forget the buckets before ``first`` and after ``last``."""
        for index in [i for i in self.buckets if not first <= i <= last]:
            del self.buckets[index]

    def total(self) -> Bucket:
        """Return the sum of all buckets."""
        result = Bucket()
        for bucket in self.buckets.values():
            result.add(bucket.counts, bucket.bad_by_team)
        return result


class Series(msgspec.Struct):
    """The counts of one service at every level."""

    levels: dict[str, LevelCounts] = msgspec.field(
        default_factory=lambda: {level.label: LevelCounts() for level in Level}
    )

    def add(
        self, wall_s: float, counts: Counts, bad_by_team: dict[str, Counts]
    ) -> None:
        """Add counts at every level."""
        for level in Level:
            self.level(level).add(level.index(wall_s), counts, bad_by_team)

    def level(self, level: Level) -> LevelCounts:
        """Return the buckets of a level."""
        return self.levels.setdefault(level.label, LevelCounts())

    @property
    def is_empty(self) -> bool:
        """Tell whether no bucket is left."""
        return not any(level.buckets for level in self.levels.values())

    def expire(self, wall_s: float) -> None:
        """Forget what lies outside the windows that end at ``wall_s``.

        Buckets of the future come from a clock that was set back; one is kept for
        members whose clocks run a little ahead.
        """
        for level in Level:
            buckets = self.level(level)
            buckets.drop_outside(level.first_index(wall_s), level.index(wall_s) + 1)

    def merge(self, other: "Series") -> None:
        """Add the counts of another series, bucket by bucket."""
        for level in Level:
            target = self.level(level)
            for index, bucket in other.level(level).buckets.items():
                target.add(index, bucket.counts, bucket.bad_by_team)
