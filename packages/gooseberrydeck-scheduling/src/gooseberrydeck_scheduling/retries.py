"""Retry budgets of jobs and teams."""

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["TeamRetryBudgets", "retry_delay_s"]


def retry_delay_s(settings: SchedulerSettings, failures: int) -> float:
    """Return how long a task waits after its ``failures``-th failure."""
    delay_s = settings.retry_delay_s * 2.0 ** max(0, failures - 1)
    return min(delay_s, settings.max_retry_delay_s)


class TeamRetryBudgets:
    """A token bucket per team, filled by its fresh starts.

    A team whose tasks mostly fail retries at a bounded share of its fresh starts, so
    that retries do not crowd out the rest of its work.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Begin with full buckets."""
        self.settings = settings
        self.tokens: dict[TeamName, float] = {}

    def started(self, team: TeamName) -> None:
        """Add the share of one fresh start."""
        burst = self.settings.team_retry_burst
        tokens = self.tokens.get(team, burst) + self.settings.team_retry_share
        self.tokens[team] = min(burst, tokens)

    def try_take(self, team: TeamName) -> bool:
        """Spend the token of one retry; return False if there is none."""
        tokens = self.tokens.get(team, self.settings.team_retry_burst)
        if tokens < 1.0:
            return False
        self.tokens[team] = tokens - 1.0
        return True
