"""Burn report: how fast services use up their error budgets."""

from gooseberrydeck_configuration.api import (
    BurnPoint,
    BurnResponse,
    BurnWindow,
    ServiceBurn,
    TeamBudgetUse,
)
from gooseberrydeck_configuration.objects import Configuration, Service
from gooseberrydeck_daemon.reports.accumulator import (
    BurnSnapshot,
    ServiceSnapshot,
    WaitHistograms,
)
from gooseberrydeck_daemon.reports.windows import Bucket, Counts, Level

__all__ = ["burn_rate", "burn_report"]

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PLOTTED_LEVEL = Level.THREE_DAYS


def burn_rate(counts: Counts, objective_share: float) -> float:
    """Return the ratio of the share of bad requests to the share allowed."""
    if not counts.total:
        return 0.0
    allowed = max(1e-9, 1.0 - objective_share)
    return counts.bad / counts.total / allowed


def burn_report(
    snapshot: BurnSnapshot,
    configuration: Configuration,
    members: int,
    is_complete: bool,
) -> BurnResponse:
    """Return the burn report of the services in the configuration."""
    services = tuple(
        service_burn(service, snapshot.services.get(service.name, ServiceSnapshot()))
        for service in configuration.services
    )
    return BurnResponse(snapshot.taken_s, members, is_complete, services)


def service_burn(service: Service, service_snapshot: ServiceSnapshot) -> ServiceBurn:
    """Return the error budget and burn rates of one service."""
    share = service.objective_share
    longest_window = service_snapshot.series.level(Level.THREE_DAYS).total()
    waits = WaitHistograms()
    waits.merge(service_snapshot.waits)
    return ServiceBurn(
        service=service.name,
        objective_wait_ms=service.objective_wait_ms,
        objective_share=share,
        budget_left=1.0 - burn_rate(longest_window.counts, share),
        windows=tuple(burn_window(service_snapshot, level, share) for level in Level),
        culprits=team_budget_uses(longest_window),
        points=burn_points(service_snapshot, share),
        wait_ms={f"p{p:g}": waits.percentile_ms(p) for p in PERCENTILES},
    )


def burn_window(
    service_snapshot: ServiceSnapshot, level: Level, share: float
) -> BurnWindow:
    """Return the counts and the burn rate of one window."""
    counts = service_snapshot.series.level(level).total().counts
    return BurnWindow(
        level.label,
        level.window_s,
        counts.good,
        counts.late,
        counts.failed,
        burn_rate(counts, share),
    )


def team_budget_uses(longest_window: Bucket) -> tuple[TeamBudgetUse, ...]:
    """Return the share of each team in the budget used, the largest first."""
    bad = longest_window.counts.bad
    found = [
        TeamBudgetUse(team, counts.late, counts.failed, counts.bad / bad)
        for team, counts in longest_window.bad_by_team.items()
    ]
    return tuple(sorted(found, key=lambda use: (-use.share, use.team)))


def burn_points(
    service_snapshot: ServiceSnapshot, share: float
) -> tuple[BurnPoint, ...]:
    """Return the burn rate of each bucket, for plots."""
    buckets = service_snapshot.series.level(PLOTTED_LEVEL).buckets
    return tuple(
        BurnPoint(
            float(index * PLOTTED_LEVEL.bucket_s),
            bucket.counts.total,
            burn_rate(bucket.counts, share),
        )
        for index, bucket in sorted(buckets.items())
    )
