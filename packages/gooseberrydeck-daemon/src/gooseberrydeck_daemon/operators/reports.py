"""Handlers of the paths under /v1/reports."""

from collections.abc import Callable

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Route, Router
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)
from gooseberrydeck_daemon.reports import (
    BurnAccumulator,
    BurnSnapshot,
    burn_report,
    merge_snapshots,
)
from gooseberrydeck_daemon.reports.snapshots import BURN, USAGE, SnapshotReader
from gooseberrydeck_daemon.reports.usage import (
    MAX_USAGE_AGE_S,
    UsageSnapshot,
    UsageSource,
    packing_report,
    share_report,
)
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["ReportsHandler"]


class ReportsHandler:
    """Create reports from the snapshots of all members."""

    def __init__(
        self,
        reader: SnapshotReader,
        burn: BurnAccumulator,
        usage: UsageSource | None,
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        """Combine the counts of this member with the snapshots of ``reader``."""
        self.reader = reader
        self.burn = burn
        self.usage = usage
        self.configuration = configuration
        self.clock = clock

    def add_routes(self, router: Router) -> None:
        """Add the routes of this handler to ``router``."""
        router.add(Route("GET", "/v1/reports/burn", self.report_burn))
        router.add(Route("GET", "/v1/reports/share", self.report_share))
        router.add(Route("GET", "/v1/reports/packing", self.report_packing))

    def report_burn(self, request: Request) -> Response:
        """Return the burn report.

        It covers only this member if the store is unavailable.
        """
        own = self.burn.snapshot()
        try:
            others = self.reader.read(BURN, BurnSnapshot)
        except StoreError:
            others, is_complete = [], False
        else:
            is_complete = True
        merged = merge_snapshots([own, *others], self.clock.wall())
        report = burn_report(merged, self.configuration(), len(others) + 1, is_complete)
        return json_response(200, report)

    def report_share(self, request: Request) -> Response:
        """Return how close each team is to its share."""
        snapshots = self.read_usage()
        report = share_report(snapshots, self.configuration(), self.clock.wall())
        return json_response(200, report)

    def report_packing(self, request: Request) -> Response:
        """Return how much of the workers' capacity is committed and used."""
        return json_response(200, packing_report(self.read_usage(), self.clock.wall()))

    def read_usage(self) -> list[UsageSnapshot]:
        """Return the recent usage snapshots of all members.

        Raise ``OperatorProblemError`` if the store is unavailable.
        """
        oldest_s = self.clock.wall() - MAX_USAGE_AGE_S
        try:
            others = self.reader.read(USAGE, UsageSnapshot)
        except StoreError as error:
            detail = "this report needs the snapshots of all members"
            raise OperatorProblemError(
                OperatorProblem.STORE_UNAVAILABLE, detail
            ) from error
        recent = [snapshot for snapshot in others if snapshot.taken_s >= oldest_s]
        return recent if self.usage is None else [self.usage(), *recent]
