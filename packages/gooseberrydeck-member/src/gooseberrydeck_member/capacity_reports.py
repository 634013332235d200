"""Log lines for when nothing starts since registrations are not heard of."""

import structlog

from gooseberrydeck_fleet.scheduler import Scheduler

__all__ = ["CapacityReporter"]

log = structlog.get_logger(__name__)


class CapacityReporter:
    """Report when starts end, and go on, for the age of the workers' capacities."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Report the registrations of ``scheduler``."""
        self.registrations = scheduler.registration_age
        self.workers = scheduler.ledger.workers
        self.began_s: float | None = None

    def report(self, now_s: float) -> None:
        """Log the beginning and the end, each once."""
        if self.registrations.is_outdated and self.began_s is None:
            self.began_s = now_s
            log.warning(
                "capacities unknown",
                age_s=round(self.registrations.age_s(now_s), 3),
                limit_s=round(self.registrations.limit_s, 3),
                workers=len(self.workers),
            )
        elif not self.registrations.is_outdated and self.began_s is not None:
            seconds, self.began_s = round(now_s - self.began_s, 3), None
            log.info("capacities known again", seconds=seconds)
