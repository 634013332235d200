"""Metrics on teams' shares, from the member that holds the shard."""

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.team_views import TeamView, describe_teams
from gooseberrydeck_member.observability import Metrics

__all__ = ["TeamReporter"]

REPORT_INTERVAL_S = 2.0
"""Interval of the metrics' updates; each counts all waiting steps once."""


class TeamReporter:
    """Update the metrics by team at intervals, and remove those of former teams."""

    def __init__(self, scheduler: Scheduler, metrics: Metrics) -> None:
        """Report the teams of one scheduler."""
        self.scheduler = scheduler
        self.metrics = metrics
        self.views: tuple[TeamView, ...] = ()
        self.next_s = 0.0

    def report(self, now_s: float) -> None:
        """Update the metrics if their time has come."""
        if now_s < self.next_s:
            return
        self.next_s = now_s + REPORT_INTERVAL_S
        scheduler = self.scheduler
        views = describe_teams(
            scheduler.shares, scheduler.team_use, scheduler.server.waiting
        )
        former = {view.team for view in self.views} - {view.team for view in views}
        self.remove(former)
        self.views = tuple(views)
        for view in views:
            metrics = self.metrics
            metrics.team_share.labels(view.team).set(view.share)
            metrics.team_use.labels(view.team).set(view.use)
            metrics.team_weighted_use.labels(view.team).set(view.weighted_use)
            waiting = metrics.team_waiting_jobs
            waiting.labels(view.team, "within").set(view.waiting_within)
            waiting.labels(view.team, "beyond").set(view.waiting_beyond)

    def clear(self) -> None:
        """Remove the metrics, since another member may hold the shard now."""
        self.remove({view.team for view in self.views})
        self.views = ()

    def remove(self, teams: set[TeamName]) -> None:
        """Remove the metrics of some teams."""
        metrics = self.metrics
        for team in teams:
            for gauge in (
                metrics.team_share,
                metrics.team_use,
                metrics.team_weighted_use,
            ):
                gauge.remove(team)
            for side in ("within", "beyond"):
                metrics.team_waiting_jobs.remove(team, side)
