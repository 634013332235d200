"""Retry delays of tasks and retry budgets of teams."""

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_scheduling.rules import SchedulerSettings

__all__ = ["TeamRetryBudgets", "retry_delay_s"]


def retry_delay_s(settings: SchedulerSettings, failures: int) -> float:
    """Return the delay in seconds before a retry.

    The delay doubles with each of the task's ``failures``, up to the configured
    maximum.
    """
    delay_s = settings.retry_delay_s * 2.0 ** max(0, failures - 1)
    return min(delay_s, settings.max_retry_delay_s)


class TeamRetryBudgets:
    """A token bucket of retries for each team, refilled by its first attempts.

    This limits the retries of a team whose tasks mostly fail to a fraction of its first
    attempts, so that they do not crowd out its other work.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Create full buckets."""
        self.settings = settings
        self.tokens: dict[TeamName, float] = {}

    def started(self, team: TeamName) -> None:
        """Refill the bucket of a team for one first attempt."""
        burst = self.settings.team_retry_burst
        tokens = self.tokens.get(team, burst) + self.settings.team_retry_share
        self.tokens[team] = min(burst, tokens)

    def try_take(self, team: TeamName) -> bool:
        """Consume a token for one retry; return False if none is left."""
        tokens = self.tokens.get(team, self.settings.team_retry_burst)
        if tokens < 1.0:
            return False
        self.tokens[team] = tokens - 1.0
        return True
