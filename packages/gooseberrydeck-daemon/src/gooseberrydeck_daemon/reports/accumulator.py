"""Request counts and waiting times for the burn report."""

import threading
import zlib
from typing import Any

import msgspec
import structlog
from hdrh.codec import (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
)
from hdrh.histogram import HdrHistogram

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import ServiceName, TeamName
from gooseberrydeck_daemon.reports.windows import Counts, Series

__all__ = [
    "BurnAccumulator",
    "BurnSnapshot",
    "ServiceSnapshot",
    "WaitHistograms",
    "merge_snapshots",
]

MAX_WAIT_MS = 600_000
SIGNIFICANT_DIGITS = 2
HISTOGRAM_PERIOD_S = 3_600
NO_TEAM = "(open)"

CODEC_ERRORS = (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
    ValueError,
    IndexError,
    OverflowError,
    zlib.error,
)

log = structlog.get_logger(__name__)


class WaitHistograms:
    """Histograms of waiting times, in milliseconds, per hour.

    The current and the previous hour are kept.
    """

    def __init__(self) -> None:
        """Create an empty set of histograms."""
        self.by_hour: dict[int, Any] = {}

    def record(self, wall_s: float, wait_ms: float) -> None:
        """Record one waiting time."""
        value = min(MAX_WAIT_MS, max(0, round(wait_ms)))
        self.hour_histogram(int(wall_s // HISTOGRAM_PERIOD_S)).record_value(value)

    def hour_histogram(self, index: int) -> Any:
        """Return the histogram of an hour, and create it if needed."""
        histogram = self.by_hour.get(index)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)
            self.by_hour[index] = histogram
        return histogram

    def expire(self, wall_s: float) -> None:
        """Drop all histograms but those of the current and the previous hour."""
        present = int(wall_s // HISTOGRAM_PERIOD_S)
        for index in [i for i in self.by_hour if not present - 1 <= i <= present]:
            del self.by_hour[index]

    def encode(self) -> dict[int, str]:
        """Return the histograms in the HdrHistogram text encoding, by hour."""
        return {
            index: histogram.encode().decode()
            for index, histogram in self.by_hour.items()
        }

    def merge(self, encoded: dict[int, str]) -> None:
        """Add encoded histograms to these, but for those that can't be decoded."""
        for index, text in encoded.items():
            try:
                histogram = HdrHistogram.decode(text)
            except CODEC_ERRORS as error:
                reason = f"{type(error).__name__}: {error}"
                log.warning("waiting times unreadable", hour=index, reason=reason)
            else:
                self.hour_histogram(index).add(histogram)

    def percentile_ms(self, percentile: float) -> int:
        """Return a percentile over all hours kept, or 0 without recorded values."""
        total = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)
        for histogram in self.by_hour.values():
            total.add(histogram)
        return int(total.get_value_at_percentile(percentile))


class ServiceSnapshot(msgspec.Struct):
    """Counts and encoded waiting time histograms of one service."""

    series: Series = msgspec.field(default_factory=Series)
    waits: dict[int, str] = msgspec.field(default_factory=dict)


class BurnSnapshot(msgspec.Struct):
    """Counts of one member, as stored; ``taken_s`` is wall-clock time."""

    taken_s: float
    services: dict[str, ServiceSnapshot] = msgspec.field(default_factory=dict)


class PendingCounts(msgspec.Struct):
    """Counts of one service that are not in its time buckets yet."""

    counts: Counts = msgspec.field(default_factory=Counts)
    bad_by_team: dict[str, Counts] = msgspec.field(default_factory=dict)


class BurnAccumulator:
    """Thread-safe counts of requests per service.

    ``record`` adds to pending counts, so that it is cheap; ``fold`` moves them into
    time buckets.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an accumulator without counts."""
        self.clock = clock
        self.lock = threading.Lock()
        self.pending: dict[str, PendingCounts] = {}
        self.series: dict[str, Series] = {}
        self.waits: dict[str, WaitHistograms] = {}

    def record(
        self,
        service: ServiceName,
        team: TeamName | None,
        wait_ms: float,
        succeeded: bool,
        objective_wait_ms: float,
    ) -> None:
        """Count one request; the waiting time of a failed one is not recorded."""
        if not succeeded:
            counts = Counts(failed=1)
        elif wait_ms >= objective_wait_ms:
            counts = Counts(late=1)
        else:
            counts = Counts(good=1)
        with self.lock:
            pending = self.pending.get(service)
            if pending is None:
                pending = self.pending[service] = PendingCounts()
            pending.counts.add(counts)
            if counts.bad:
                name = team or NO_TEAM
                pending.bad_by_team.setdefault(name, Counts()).add(counts)
            if succeeded:
                waits = self.waits.setdefault(service, WaitHistograms())
                waits.record(self.clock.wall(), wait_ms)

    def fold(self) -> None:
        """Move the pending counts into the current buckets and drop expired data."""
        wall_s = self.clock.wall()
        with self.lock:
            for service, pending in self.pending.items():
                series = self.series.setdefault(service, Series())
                series.add(wall_s, pending.counts, pending.bad_by_team)
            self.pending.clear()
            for service, series in list(self.series.items()):
                series.expire(wall_s)
                if series.is_empty:
                    del self.series[service]
            for service, waits in list(self.waits.items()):
                waits.expire(wall_s)
                if not waits.by_hour:
                    del self.waits[service]

    def snapshot(self) -> BurnSnapshot:
        """Return a copy of all counts, including the pending ones."""
        self.fold()
        with self.lock:
            result = BurnSnapshot(self.clock.wall())
            for service, series in self.series.items():
                copy = ServiceSnapshot()
                copy.series.merge(series)
                if service in self.waits:
                    copy.waits = self.waits[service].encode()
                result.services[service] = copy
            return result

    def restore(self, snapshot: BurnSnapshot) -> None:
        """Add the counts that an earlier process of this member stored."""
        with self.lock:
            for service, stored in snapshot.services.items():
                self.series.setdefault(service, Series()).merge(stored.series)
                waits = self.waits.setdefault(service, WaitHistograms())
                waits.merge(stored.waits)


def merge_snapshots(snapshots: list[BurnSnapshot], wall_s: float) -> BurnSnapshot:
    """Return the sum of the snapshots without data that has expired at ``wall_s``."""
    result = BurnSnapshot(wall_s)
    waits: dict[str, WaitHistograms] = {}
    for snapshot in snapshots:
        for service, service_snapshot in snapshot.services.items():
            target = result.services.setdefault(service, ServiceSnapshot())
            target.series.merge(service_snapshot.series)
            waits.setdefault(service, WaitHistograms()).merge(service_snapshot.waits)
    for service, target in result.services.items():
        target.series.expire(wall_s)
        waits[service].expire(wall_s)
        target.waits = waits[service].encode()
    return result
