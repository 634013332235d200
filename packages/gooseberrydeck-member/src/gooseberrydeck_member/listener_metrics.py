"""Metrics of the listeners' connections, read when metrics are rendered."""

from collections.abc import Iterator, Mapping

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from gooseberrydeck_service.connection_budget import (
    CloseReason,
    ConnectionBudget,
    ConnectionState,
)

__all__ = ["ListenerCollector"]


class ListenerCollector(Collector):
    """Reports what the listeners hold; requests cause no work for it."""

    def __init__(self, budgets: Mapping[str, ConnectionBudget]) -> None:
        """Report the budgets by the name of their listener."""
        self.budgets = budgets

    def collect(self) -> Iterator[Metric]:
        """Return the present values."""
        held = GaugeMetricFamily(
            "gooseberrydeck_held_bytes",
            "Bytes of requests that have not been answered",
            labels=["listener"],
        )
        connections = GaugeMetricFamily(
            "gooseberrydeck_connections",
            "Open connections of clients by state",
            labels=["listener", "state"],
        )
        closed = CounterMetricFamily(
            "gooseberrydeck_connections_closed",
            "Connections closed on behalf of a limit, by reason",
            labels=["listener", "reason"],
        )
        for name, budget in self.budgets.items():
            held.add_metric([name], budget.held_bytes())
            states = budget.states()
            for state in ConnectionState:
                connections.add_metric([name, state.value], states[state])
            for reason in CloseReason:
                closed.add_metric([name, reason.value], budget.closed[reason])
        yield from (held, connections, closed)
