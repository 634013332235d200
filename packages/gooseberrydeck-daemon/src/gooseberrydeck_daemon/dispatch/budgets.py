"""A retry budget for each service."""

import threading
from collections.abc import Callable

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.retry_budget import RetryBudget

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """Keep the retries of each service to its share of fresh requests."""

    def __init__(self, share_of: Callable[[ServiceName], float], clock: Clock) -> None:
        """Ask ``share_of`` for the share that the configuration gives a service."""
        self.share_of = share_of
        self.clock = clock
        self.lock = threading.Lock()
        self.budgets: dict[ServiceName, RetryBudget] = {}

    def record_fresh(self, service: ServiceName) -> None:
        """Count a request that is sent for the first time."""
        self.budget(service).record_fresh()

    def try_retry(self, service: ServiceName) -> bool:
        """Take a token for one retry, or tell that there is none."""
        return self.budget(service).try_retry()

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return a service's budget, with the share of the newest configuration."""
        budget = self.budgets.get(service)
        if budget is None:
            with self.lock:
                budget = self.budgets.setdefault(
                    service, RetryBudget(self.clock, self.share_of(service))
                )
        budget.share = self.share_of(service)
        return budget
