"""Which jobs lie within their team's share.

Answers one team that sends many times its usual: when all is full, every team's jobs up
to its share go first.
"""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import TeamName

__all__ = ["ShareTracker"]

BURST_S = 1.0
"""Time whose share a team may use at once; operators state shares by the second."""


class TokenBucket:
    """Admits jobs at a rate, with bursts of what ``BURST_S`` brings."""

    __slots__ = ("at_s", "rate", "tokens")

    def __init__(self, rate: float, at_s: float) -> None:
        """Begin full; ``rate`` is in jobs a second."""
        self.rate = rate
        self.tokens = self.capacity
        self.at_s = at_s

    @property
    def capacity(self) -> float:
        """Return how many jobs may come at once; a small share admits one."""
        return max(1.0, self.rate * BURST_S)

    def take_token(self, at_s: float) -> bool:
        """Take a token at a time, if there is one; an earlier time refills nothing."""
        elapsed_s = max(0.0, at_s - self.at_s)
        self.at_s = max(self.at_s, at_s)
        self.tokens = min(self.capacity, self.tokens + self.rate * elapsed_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ShareTracker:
    """Count the jobs of each team against its share."""

    def __init__(self) -> None:
        """Begin without shares: every job lies within."""
        self.buckets: dict[TeamName, TokenBucket] = {}
        self.rates: dict[TeamName, float] = {}

    def set_rates(self, rates: Mapping[TeamName, float]) -> None:
        """Replace the shares, in jobs a second; zero is no share of its own."""
        self.rates = dict(rates)
        for team, bucket in list(self.buckets.items()):
            rate = self.rates.get(team, 0.0)
            if rate > 0:
                bucket.rate = rate
            else:
                del self.buckets[team]

    def admits(self, team: TeamName, accepted_s: float) -> bool:
        """Count a job, and tell whether it lies within its team's share."""
        rate = self.rates.get(team, 0.0)
        if rate <= 0:
            return True
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = self.buckets[team] = TokenBucket(rate, accepted_s)
        return bucket.take_token(accepted_s)
