"""Following changes below a key prefix in the store."""

from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreCompactedError, StoreError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Entry, Store, WatchBatch
from gooseberrydeck_member.threads import SYSTEM_CLOCK, SYSTEM_THREADS, Threads

__all__ = ["PrefixChanged", "PrefixConfirmed", "PrefixRead", "StoreFollower"]

log = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 0.8
"""Timeout of a read, and of a watch beyond the time that it may wait for changes."""

BATCH_DELAY_S = 0.2
"""Delay after a watch reported changes, which batches further ones.

Each worker writes about once a second and each store call has a cost. The platform
allows two seconds for what this delays."""

RETRY_DELAY_S = 0.15
"""Delay after a failed call, so that a failing store is not called in a tight loop."""


class PrefixRead(msgspec.Struct, frozen=True):
    """All entries below a prefix, to replace those known before."""

    prefix: str
    entries: tuple[Entry, ...]


class PrefixChanged(msgspec.Struct, frozen=True):
    """Changes below a prefix since the previous message."""

    prefix: str
    batch: WatchBatch


class PrefixConfirmed(msgspec.Struct, frozen=True):
    """All changes have been posted that were stored when the store was asked.

    ``asked_s`` is monotonic. The store's response may have taken long.
    """

    prefix: str
    asked_s: float


class StoreFollower:
    """Read a prefix once, then watch it and post its changes."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        post: Callable[[object], None],
        threads: Threads = SYSTEM_THREADS,
        clock: Clock = SYSTEM_CLOCK,
        posts_confirmations: bool = False,
    ) -> None:
        """Follow ``prefix``; ``post`` is called in the follower's thread.

        With ``posts_confirmations``, each response is posted, also one without changes.
        """
        self.name = f"follow {prefix}"
        self.store = store
        self.prefix = prefix
        self.post = post
        self.clock = clock
        self.posts_confirmations = posts_confirmations
        self.stopping = threads.event()
        # When the store last responded, in monotonic seconds. Other threads read it.
        self.confirmed_s = clock.monotonic()
        self.revision: Revision | None = None
        self.is_lost = False

    def start_at(self, revision: Revision) -> None:
        """Skip the initial read and watch from a revision that has been read."""
        self.confirmed_s = self.clock.monotonic()
        self.revision = revision

    def run(self) -> None:
        """Follow the prefix until stopped, reading it again after a compaction."""
        while not self.stopping.is_set():
            try:
                self.follow()
            except StoreCompactedError as error:
                log.warning("history lost", prefix=self.prefix, reason=str(error))
                self.revision = None
            except StoreError as error:
                self.report_failure(error)
                self.stopping.wait(RETRY_DELAY_S)
            except Exception:
                # Nobody waits for the end of this thread, and following is repeatable.
                self.report_crash()
                self.stopping.wait(RETRY_DELAY_S)

    def follow(self) -> None:
        """Read the prefix if needed, then watch it until a call fails."""
        asked_s = self.clock.monotonic()
        if self.revision is None:
            snapshot = self.store.read_prefix(self.prefix, CALL_TIMEOUT_S)
            self.post(PrefixRead(self.prefix, snapshot.entries))
            self.revision = snapshot.revision
            self.post_confirmation(asked_s)
            asked_s = self.clock.monotonic()
        start = Revision(self.revision + 1)
        for batch in self.store.watch(self.prefix, start, CALL_TIMEOUT_S):
            if self.stopping.is_set():
                return
            self.confirmed_s = self.clock.monotonic()
            self.report_recovery()
            if batch.events:
                self.post(PrefixChanged(self.prefix, batch))
            self.revision = batch.revision
            self.post_confirmation(asked_s)
            if batch.events:
                # Changes during the delay are returned at once by the next call.
                self.stopping.wait(BATCH_DELAY_S)
            asked_s = self.clock.monotonic()

    def post_confirmation(self, asked_s: float) -> None:
        """Post that the store has responded, after what it responded with."""
        if self.posts_confirmations:
            self.post(PrefixConfirmed(self.prefix, asked_s))

    def report_failure(self, error: StoreError) -> None:
        """Log the first of consecutive failures."""
        if not self.is_lost:
            self.is_lost = True
            log.warning("store lost", prefix=self.prefix, reason=str(error))

    def report_crash(self) -> None:
        """Log the first of consecutive unexpected errors."""
        if not self.is_lost:
            self.is_lost = True
            log.exception("follower crashed", prefix=self.prefix)

    def report_recovery(self) -> None:
        """Log the first success after failures."""
        if self.is_lost:
            self.is_lost = False
            log.info("store regained", prefix=self.prefix, revision=self.revision)

    def stop(self) -> None:
        """Ask the follower to end after the current call."""
        self.stopping.set()
