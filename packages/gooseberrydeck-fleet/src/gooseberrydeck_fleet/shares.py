"""Tracking of teams' shares.

When the fleet is full, jobs within their team's share go first, so that a team that
submits many times its usual load doesn't delay the others.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_fleet.state import Job

__all__ = ["ShareTracker", "acceptance_order"]

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

    def refill(self, at_s: float) -> None:
        """Add the tokens of the time up to ``at_s``.

        A time before the last one refills nothing.
        """
        elapsed_s = max(0.0, at_s - self.at_s)
        self.at_s = max(self.at_s, at_s)
        self.tokens = min(self.capacity, self.tokens + self.rate * elapsed_s)

    def take_token(self, at_s: float) -> bool:
        """Take a token at ``at_s`` and return True if there was one."""
        self.refill(at_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ShareTracker:
    """The use that teams make of their shares.

    Tokens become available by the times of acceptance, which are Unix times of the
    accepting members. The tracker's own clock is Unix time as well, but doesn't step:
    if a host's clock steps back, tokens become available all the same.
    """

    def __init__(self, policy: SharePolicy | None = None) -> None:
        """Create a tracker without shares, in which every job is within its share."""
        self.policy = policy or SharePolicy()
        self.buckets: dict[TeamName, TokenBucket] = {}
        self.rates: dict[TeamName, float] = {}
        # Jobs that have not taken a token yet.
        self.arrivals: list[Job] = []
        # The difference between Unix time and monotonic time when both were first read.
        self.offset_s: float | None = None
        self.clock_s = 0.0

    def set_rates(self, rates: Mapping[TeamName, float]) -> None:
        """Replace the shares, in jobs per second; zero means no share."""
        self.rates = dict(rates)
        for team, bucket in list(self.buckets.items()):
            rate = self.rates.get(team, 0.0)
            if rate > 0:
                bucket.rate = rate
            else:
                del self.buckets[team]

    def returns_all(self, team: TeamName) -> bool:
        """Return True if no job of a team is beyond a share any more."""
        return self.policy.returns_shares and self.rates.get(team, 0.0) <= 0

    def set_time(self, now_s: float, wall_s: float) -> None:
        """Advance the tracker's clock to a monotonic time."""
        if self.offset_s is None:
            self.offset_s = wall_s - now_s
        self.clock_s = now_s + self.offset_s

    def job_arrived(self, job: Job) -> None:
        """Count a job, at the next ``admit_arrivals`` if the policy orders arrivals."""
        if self.policy.orders_arrivals:
            self.arrivals.append(job)
        else:
            record = job.record
            job.is_within_share = self.admits(record.team, record.accepted_s)

    def admit_arrivals(self) -> None:
        """Count the jobs that have arrived, in the order of their acceptance.

        A token goes to the team's oldest arrival that has none. A member whose clock is
        ahead makes no tokens available.
        """
        without: dict[TeamName, deque[Job]] = {}
        for job in sorted(self.arrivals, key=acceptance_order):
            team = job.record.team
            at_s = min(job.record.accepted_s, self.clock_s)
            is_admitted = self.admits(team, at_s)
            job.is_within_share = is_admitted
            older = without.get(team)
            if is_admitted and older:
                job.is_within_share = False
                older.popleft().return_share(at_s)
            if not job.is_within_share:
                without.setdefault(team, deque()).append(job)
        self.arrivals.clear()
        if self.policy.returns_shares:
            self.forget_saved(without)

    def forget_saved(self, without: Mapping[TeamName, Iterable[Job]]) -> None:
        """Empty the buckets of teams with jobs of a predecessor beyond their share.

        The predecessor gave the tokens that have become available since to jobs that
        waited.
        """
        for team, jobs in without.items():
            if any(job.predates_takeover for job in jobs):
                bucket = self.buckets[team]
                bucket.at_s = max(bucket.at_s, self.clock_s)

    def admits(self, team: TeamName, accepted_s: float) -> bool:
        """Count a job and return True if it is within its team's share.

        Every job of a team without a share is within it.
        """
        bucket = self.find_bucket(team, accepted_s)
        return bucket is None or bucket.take_token(accepted_s)

    def has_token(self, team: TeamName) -> bool:
        """Return True if a job of a team would be within its share now."""
        bucket = self.find_bucket(team, self.clock_s)
        if bucket is None:
            return True
        bucket.refill(self.clock_s)
        return bucket.tokens >= 1.0

    def take_token(self, team: TeamName) -> bool:
        """Take a token that is available now and return True if there was one."""
        return self.admits(team, self.clock_s)

    def find_bucket(self, team: TeamName, at_s: float) -> TokenBucket | None:
        """Return a team's bucket, new at ``at_s``, or None without a share."""
        rate = self.rates.get(team, 0.0)
        if rate <= 0:
            return None
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = self.buckets[team] = TokenBucket(rate, at_s)
        return bucket


def acceptance_order(job: Job) -> tuple[float, int, JobId]:
    """Return the key by which jobs are in the order of their acceptance."""
    return job.record.accepted_s, job.revision, job.id
