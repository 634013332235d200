"""Request counts in time buckets, over several windows of bounded size."""

from enum import Enum

import msgspec

__all__ = ["OTHER_TEAMS", "Counts", "Level", "LevelCounts", "Series"]

MAX_TEAMS_IN_BUCKET = 16
OTHER_TEAMS = "(others)"


class Level(Enum):
    """Window with the width of its buckets, both in seconds."""

    FIVE_MINUTES = ("5m", 300, 10)
    HOUR = ("1h", 3_600, 60)
    SIX_HOURS = ("6h", 21_600, 600)
    THREE_DAYS = ("3d", 259_200, 3_600)

    def __init__(self, label: str, window_s: int, bucket_s: int) -> None:
        """Unpack the value of the member."""
        self.label = label
        self.window_s = window_s
        self.bucket_s = bucket_s

    def index(self, wall_s: float) -> int:
        """Return the index of the bucket that contains a wall-clock time."""
        return int(wall_s // self.bucket_s)

    def first_index(self, wall_s: float) -> int:
        """Return the index of the first bucket of the window ending at ``wall_s``."""
        return self.index(wall_s) - self.window_s // self.bucket_s + 1


class Counts(msgspec.Struct, array_like=True):
    """Numbers of requests that succeeded in time, succeeded late, or failed."""

    good: int = 0
    late: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return the number of all requests."""
        return self.good + self.late + self.failed

    @property
    def bad(self) -> int:
        """Return the number of requests that use the error budget."""
        return self.late + self.failed

    def add(self, other: "Counts") -> None:
        """Add other counts in place."""
        self.good += other.good
        self.late += other.late
        self.failed += other.failed


class Bucket(msgspec.Struct, array_like=True):
    """Counts of one time bucket, and its bad requests by team."""

    counts: Counts = msgspec.field(default_factory=Counts)
    bad_by_team: dict[str, Counts] = msgspec.field(default_factory=dict)

    def add(self, counts: Counts, bad_by_team: dict[str, Counts]) -> None:
        """Add counts; teams beyond ``MAX_TEAMS_IN_BUCKET`` share one entry."""
        self.counts.add(counts)
        for team, bad in bad_by_team.items():
            is_known = team in self.bad_by_team
            if not is_known and len(self.bad_by_team) >= MAX_TEAMS_IN_BUCKET:
                team = OTHER_TEAMS
            self.bad_by_team.setdefault(team, Counts()).add(bad)


class LevelCounts(msgspec.Struct):
    """Buckets of one level, by index."""

    buckets: dict[int, Bucket] = msgspec.field(default_factory=dict)

    def add(self, index: int, counts: Counts, bad_by_team: dict[str, Counts]) -> None:
        """Add counts to the bucket at ``index``."""
        bucket = self.buckets.get(index)
        if bucket is None:
            bucket = self.buckets[index] = Bucket()
        bucket.add(counts, bad_by_team)

    def drop_outside(self, first: int, last: int) -> None:
        """Drop the buckets before ``first`` and after ``last``."""
        for index in [i for i in self.buckets if not first <= i <= last]:
            del self.buckets[index]

    def total(self) -> Bucket:
        """Return the sum of all buckets."""
        result = Bucket()
        for bucket in self.buckets.values():
            result.add(bucket.counts, bucket.bad_by_team)
        return result


class Series(msgspec.Struct):
    """Counts of one service at every level."""

    levels: dict[str, LevelCounts] = msgspec.field(
        default_factory=lambda: {level.label: LevelCounts() for level in Level}
    )

    def add(
        self, wall_s: float, counts: Counts, bad_by_team: dict[str, Counts]
    ) -> None:
        """Add counts to the buckets at ``wall_s`` of every level."""
        for level in Level:
            self.level(level).add(level.index(wall_s), counts, bad_by_team)

    def level(self, level: Level) -> LevelCounts:
        """Return the buckets of a level."""
        return self.levels.setdefault(level.label, LevelCounts())

    @property
    def is_empty(self) -> bool:
        """Return True if no level has a bucket."""
        return not any(level.buckets for level in self.levels.values())

    def expire(self, wall_s: float) -> None:
        """Drop the buckets outside the windows that end at ``wall_s``.

        Buckets in the future result from a clock that was set back. One is kept, as
        clocks of other members may be slightly ahead.
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
