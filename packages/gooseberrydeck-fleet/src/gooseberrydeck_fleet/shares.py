"""Tracking of teams' shares.

When the fleet is full, jobs within their team's share go first, so that a team that
submits many times its usual load doesn't delay the others.
"""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName

__all__ = ["ShareTracker"]

BURST_S = 1.0
"""Length of a burst: a team may submit its share of this time at once.

Operators configure shares in jobs per second.
"""


class TokenBucket:
    """A token bucket that admits jobs at a rate, with bursts of ``BURST_S``."""

    __slots__ = ("at_s", "rate", "tokens")

    def __init__(self, rate: float, at_s: float) -> None:
        """Create a full bucket that refills at ``rate`` jobs per second."""
        self.rate = rate
        self.tokens = self.capacity
        self.at_s = at_s

    @property
    def capacity(self) -> float:
        """Return the size of the bucket in jobs, at least one."""
        return max(1.0, self.rate * BURST_S)

    def take_token(self, at_s: float) -> bool:
        """Take a token at ``at_s`` and return True if there was one.

        A time before the last one refills nothing.
        """
        elapsed_s = max(0.0, at_s - self.at_s)
        self.at_s = max(self.at_s, at_s)
        self.tokens = min(self.capacity, self.tokens + self.rate * elapsed_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ShareTracker:
    """The use that teams make of their shares."""

    def __init__(self) -> None:
        """Create a tracker without shares, in which every job is within its share."""
        self.buckets: dict[TeamName, TokenBucket] = {}
        self.rates: dict[TeamName, float] = {}

    def set_rates(self, rates: Mapping[TeamName, float]) -> None:
        """Replace the shares, in jobs per second; zero means no share."""
        self.rates = dict(rates)
        for team, bucket in list(self.buckets.items()):
            rate = self.rates.get(team, 0.0)
            if rate > 0:
                bucket.rate = rate
            else:
                del self.buckets[team]

    def admits(self, team: TeamName, accepted_s: float) -> bool:
        """Count a job and return True if it is within its team's share.

        Every job of a team without a share is within it.
        """
        rate = self.rates.get(team, 0.0)
        if rate <= 0:
            return True
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = self.buckets[team] = TokenBucket(rate, accepted_s)
        return bucket.take_token(accepted_s)
