"""Operators' HTTP API: configuration, keys, views of the cell and reports."""

from gooseberrydeck_daemon.operators.component import (
    OperatorsComponent,
    compute_cell_capacity,
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
    "OperatorsComponent",
    "compute_cell_capacity",
    "configuration_keys",
]
