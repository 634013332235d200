"""The operators' listener: configuration, keys, views of the cell and reports."""

from gooseberrydeck_daemon.operators.listener import (
    OperatorsSide,
    capacity_of,
    configuration_keys,
)
from gooseberrydeck_daemon.operators.views import (
    CellViews,
    Drainer,
    JobFilter,
    JobsView,
)

__all__ = [
    "CellViews",
    "Drainer",
    "JobFilter",
    "JobsView",
    "OperatorsSide",
    "capacity_of",
    "configuration_keys",
]
