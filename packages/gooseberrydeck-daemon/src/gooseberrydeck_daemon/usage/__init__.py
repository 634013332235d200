"""Resource usage and free capacity of all shards, as known to each member."""

from gooseberrydeck_daemon.usage.messages import (
    ShardUsage,
    UsageSummary,
    pack_resources,
)
from gooseberrydeck_daemon.usage.table import CellUsage, UsageTable
from gooseberrydeck_daemon.usage.task import UsageTask

__all__ = [
    "CellUsage",
    "ShardUsage",
    "UsageSummary",
    "UsageTable",
    "UsageTask",
    "pack_resources",
]
