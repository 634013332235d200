"""Retry budgets per service."""

import threading
from collections.abc import Callable

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.retry_budget import RetryBudget

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """Limit the retries of each service to a share of its first attempts."""

    def __init__(self, share_of: Callable[[ServiceName], float], clock: Clock) -> None:
        """Create budgets; ``share_of`` returns the configured share of a service."""
        self.share_of = share_of
        self.clock = clock
        self.lock = threading.Lock()
        self.budgets: dict[ServiceName, RetryBudget] = {}

    def record_fresh(self, service: ServiceName) -> None:
        """Record the first attempt of a request."""
        self.budget(service).record_fresh()

    def try_retry(self, service: ServiceName) -> bool:
        """Spend a token for one retry; return False if there is none."""
        return self.budget(service).try_retry()

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service, updated to the current configuration."""
        budget = self.budgets.get(service)
        if budget is None:
            with self.lock:
                budget = self.budgets.setdefault(
                    service, RetryBudget(self.clock, self.share_of(service))
                )
        budget.share = self.share_of(service)
        return budget
