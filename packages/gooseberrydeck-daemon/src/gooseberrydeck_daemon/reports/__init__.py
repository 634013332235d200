"""Request counts and resource usage, and the reports computed from them."""

from gooseberrydeck_daemon.reports.accumulator import (
    BurnAccumulator,
    BurnSnapshot,
    ServiceSnapshot,
    merge_snapshots,
)
from gooseberrydeck_daemon.reports.burn import burn_rate, burn_report

__all__ = [
    "BurnAccumulator",
    "BurnSnapshot",
    "ServiceSnapshot",
    "burn_rate",
    "burn_report",
    "merge_snapshots",
]
