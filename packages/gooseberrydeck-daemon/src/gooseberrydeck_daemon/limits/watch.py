"""Watch on the slice records in the store."""

import threading
from collections.abc import Callable

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import EventKind, Store
from gooseberrydeck_daemon.limits.messages import RecordChanged, WatchInterrupted
from gooseberrydeck_daemon.metrics import Metrics

__all__ = ["SlicesWatch"]

IDLE_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 2.0
RETRY_S = 0.5

Deliver = Callable[[RecordChanged | WatchInterrupted], bool]


class SlicesWatch:
    """Deliver every change of a slice record, on a thread of its own.

    Changes may be missed between two streams, so ``WatchInterrupted`` is delivered at
    the start of each stream.
    """

    def __init__(
        self, store: Store, prefix: str, deliver: Deliver, metrics: Metrics
    ) -> None:
        """Watch the keys that start with ``prefix``."""
        self.name = "slices-watch"
        self.store = store
        self.prefix = prefix
        self.deliver = deliver
        self.metrics = metrics
        self.stopping = threading.Event()

    def run(self) -> None:
        """Watch the records until stopped."""
        while not self.stopping.is_set():
            try:
                self.follow()
            except StoreError:
                self.metrics.count("limits.watch.lost")
            self.stopping.wait(RETRY_S)

    def stop(self) -> None:
        """Make ``run`` return, at the latest when the stream's idle timeout ends."""
        self.stopping.set()

    def follow(self) -> None:
        """Process one stream until it ends."""
        snapshot = self.store.read_prefix(self.prefix, READ_TIMEOUT_S)
        self.deliver(WatchInterrupted())
        start = Revision(snapshot.revision + 1)
        for batch in self.store.watch(self.prefix, start, IDLE_TIMEOUT_S):
            for event in batch.events:
                if event.kind is EventKind.PUT:
                    self.deliver(RecordChanged(event.entry))
            if self.stopping.is_set():
                return
