"""Counters and gauges, kept in memory and sent to statsd."""

import threading
from collections import Counter
from typing import Protocol

import statsd

from gooseberrydeck_service.tasks import Task

__all__ = ["InMemoryMetrics", "Metrics", "StatsdTask"]

FLUSH_PERIOD_S = 1.0


class Metrics(Protocol):
    """Interface through which the daemon records its metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class InMemoryMetrics:
    """Counters and gauges in memory; counters may be changed from any thread."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self.lock = threading.Lock()
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            self.counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def snapshot(self) -> dict[str, int]:
        """Return a copy of the counters."""
        with self.lock:
            return dict(self.counts)


class StatsdTask(Task[None]):
    """Send metrics to statsd once per second, batched into few datagrams."""

    def __init__(
        self, metrics: InMemoryMetrics, address: str, port: int, prefix: str
    ) -> None:
        """Create a task that sends to ``address:port``, with names under ``prefix``."""
        super().__init__("statsd", tick_s=FLUSH_PERIOD_S)
        self.metrics = metrics
        self.client = statsd.StatsClient(address, port, prefix=prefix)
        self.sent_counts: dict[str, int] = {}

    def tick(self) -> None:
        """Send the increases of counters since the last call, and all gauges."""
        counts = self.metrics.snapshot()
        with self.client.pipeline() as pipeline:
            for name, value in counts.items():
                increase = value - self.sent_counts.get(name, 0)
                if increase:
                    pipeline.incr(name, increase)
            for name, level in dict(self.metrics.gauges).items():
                pipeline.gauge(name, level)
        self.sent_counts = counts

    def end(self) -> None:
        """Send the metrics a last time."""
        self.tick()
