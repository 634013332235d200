"""Following the keys below a prefix in the store."""

import threading
from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreCompactedError, StoreError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Entry, Store, WatchBatch

__all__ = ["PrefixChanged", "PrefixRead", "StoreFollower"]

log = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 0.8
"""For a read, and for the silence of a watch beyond its own wait."""

BATCH_DELAY_S = 0.2
"""Pause after a watch told of changes: workers write every second or so each, and each
call of the store costs. What it delays may take two seconds by the platform's terms."""

RETRY_DELAY_S = 0.15
"""Pause after a failed call, so that a store that refuses is not called in a loop."""


class PrefixRead(msgspec.Struct, frozen=True):
    """All entries below a prefix."""

    prefix: str
    entries: tuple[Entry, ...]


class PrefixChanged(msgspec.Struct, frozen=True):
    """Changes below a prefix since the last message."""

    prefix: str
    batch: WatchBatch


class StoreFollower:
    """Read a prefix, watch it from there on, and post what is found."""

    def __init__(
        self, store: Store, prefix: str, post: Callable[[object], None]
    ) -> None:
        """Follow ``prefix``; ``post`` is called in the follower's thread."""
        self.name = f"follow {prefix}"
        self.store = store
        self.prefix = prefix
        self.post = post
        self.stopping = threading.Event()
        self.revision: Revision | None = None
        self.is_lost = False

    def start_at(self, revision: Revision) -> None:
        """Watch from a revision that has been read already."""
        self.revision = revision

    def run(self) -> None:
        """Follow until stopped."""
        while not self.stopping.is_set():
            try:
                self.follow()
            except StoreCompactedError as error:
                log.warning("history lost", prefix=self.prefix, reason=str(error))
                self.revision = None
            except StoreError as error:
                self.report_failure(error)
                self.stopping.wait(RETRY_DELAY_S)

    def follow(self) -> None:
        """Read if needed, and then watch until a call fails."""
        if self.revision is None:
            snapshot = self.store.read_prefix(self.prefix, CALL_TIMEOUT_S)
            self.revision = snapshot.revision
            self.post(PrefixRead(self.prefix, snapshot.entries))
        start = Revision(self.revision + 1)
        for batch in self.store.watch(self.prefix, start, CALL_TIMEOUT_S):
            if self.stopping.is_set():
                return
            self.report_recovery()
            self.revision = batch.revision
            if batch.events:
                self.post(PrefixChanged(self.prefix, batch))
                # The next call returns at once if more has changed meanwhile.
                self.stopping.wait(BATCH_DELAY_S)

    def report_failure(self, error: StoreError) -> None:
        """Log the first of a row of failures."""
        if not self.is_lost:
            self.is_lost = True
            log.warning("store lost", prefix=self.prefix, reason=str(error))

    def report_recovery(self) -> None:
        """Log the first success after failures."""
        if self.is_lost:
            self.is_lost = False
            log.info("store regained", prefix=self.prefix, revision=self.revision)

    def stop(self) -> None:
        """Ask the follower to end after the call at hand."""
        self.stopping.set()
