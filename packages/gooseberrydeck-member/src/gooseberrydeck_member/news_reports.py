"""Log lines for when nothing starts since registrations are not heard of."""

import structlog

from gooseberrydeck_fleet.scheduler import Scheduler

__all__ = ["NewsReporter"]

log = structlog.get_logger(__name__)


class NewsReporter:
    """Report when starts end, and go on, for the age of the workers' capacities."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Report the news of ``scheduler``."""
        self.news = scheduler.registration_news
        self.workers = scheduler.ledger.workers
        self.began_s: float | None = None

    def report(self, now_s: float) -> None:
        """Log the beginning and the end, each once."""
        if self.news.is_outdated and self.began_s is None:
            self.began_s = now_s
            log.warning(
                "capacities unknown",
                age_s=round(self.news.age_s(now_s), 3),
                limit_s=round(self.news.limit_s, 3),
                workers=len(self.workers),
            )
        elif not self.news.is_outdated and self.began_s is not None:
            seconds, self.began_s = round(now_s - self.began_s, 3), None
            log.info("capacities known again", seconds=seconds)
