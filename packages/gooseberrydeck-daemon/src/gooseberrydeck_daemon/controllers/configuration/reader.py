"""Threads that read the configuration from the store."""

import threading
from collections.abc import Callable

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import (
    RecordUnreadableError,
    StoreCompactedError,
    StoreError,
)
from gooseberrydeck_coordination.store import Entry, Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_coordination.versioned import (
    Follower,
    VersionedKeys,
    VersionedRecord,
    VersionNumber,
)
from gooseberrydeck_daemon.controllers.configuration.messages import (
    ConfigurationMessage,
    NumberRead,
    RecordFound,
    RecordUnreadable,
)
from gooseberrydeck_daemon.metrics import Metrics

__all__ = ["ConfigurationPoller", "ConfigurationWatch"]

CALL_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.25
POLL_PERIOD_S = 1.0

Post = Callable[[ConfigurationMessage], bool]


class ConfigurationWatch:
    """Watch the head key and post every record; read it again after a failure."""

    def __init__(
        self, store: Store, keys: VersionedKeys, post: Post, metrics: Metrics
    ) -> None:
        """Create a watch that passes its messages to ``post``."""
        self.name = "configuration watch"
        self.store = store
        self.post = post
        self.metrics = metrics
        # Bounds the time that a stop takes, since a pending watch can't be cancelled.
        self.watch_timeout_s = WATCH_TIMEOUT_S
        self.follower = Follower(self.post_record, keys.head, self.post_unreadable)
        self.stopping = threading.Event()

    def post_record(self, record: VersionedRecord) -> None:
        """Post a record; if the inbox is full, schedule a new read of the head."""
        if not self.post(RecordFound(record)):
            self.metrics.count("configuration.watch.dropped")
            self.follower.on_compacted()

    def post_unreadable(self, error: RecordUnreadableError) -> None:
        """Count a head that can't be read, and pass it on to be logged."""
        self.metrics.count("configuration.undecodable")
        self.post(RecordUnreadable(error.key, error.reason))

    def run(self) -> None:
        """Watch the head until stopped."""
        while not self.stopping.is_set():
            try:
                self.watch_once()
            except StoreCompactedError:
                self.metrics.count("configuration.watch.compacted")
                self.follower.on_compacted()
            except StoreError:
                self.metrics.count("configuration.watch.failed")
                self.stopping.wait(RETRY_DELAY_S)

    def watch_once(self) -> None:
        """Read the head if it is not known yet, else watch until the stream ends."""
        if self.follower.start is None:
            snapshot = self.store.read_prefix(self.follower.head, CALL_TIMEOUT_S)
            self.follower.on_read(snapshot)
            return
        start = self.follower.start
        for batch in self.store.watch(self.follower.head, start, self.watch_timeout_s):
            self.follower.on_batch(batch)
            if self.stopping.is_set():
                return
        self.stopping.wait(RETRY_DELAY_S)

    def stop(self) -> None:
        """Request the thread to end after the current batch."""
        self.stopping.set()


class ConfigurationPoller:
    """Poll the newest number every second; read the head if it is not held yet.

    The number has a key of its own, so that a poll transfers only a few bytes. Polling
    also recovers from a watch that hangs.
    """

    def __init__(
        self,
        store: Store,
        keys: VersionedKeys,
        clock: Clock,
        post: Post,
        get_held_number: Callable[[], VersionNumber],
        metrics: Metrics,
    ) -> None:
        """Compare the store's number with the result of ``get_held_number``."""
        self.name = "configuration confirmation"
        self.store = store
        self.keys = keys
        self.clock = clock
        self.post = post
        self.get_held_number = get_held_number
        self.metrics = metrics
        self.stopping = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            try:
                self.poll_once()
            except StoreError:
                self.metrics.count("configuration.confirm.failed")
            except ValueError as error:
                self.metrics.count("configuration.confirm.undecodable")
                self.post(RecordUnreadable(self.keys.number, str(error)))
            self.stopping.wait(POLL_PERIOD_S)

    def poll_once(self) -> None:
        """Read the number, and the head too if the number is newer than that held."""
        sent_s = self.clock.monotonic()
        entry = self.store.read(self.keys.number, CALL_TIMEOUT_S)
        number = VersionNumber(int(entry.value)) if entry else VersionNumber(0)
        if number > self.get_held_number():
            head = self.store.read(self.keys.head, CALL_TIMEOUT_S)
            if head is not None:
                self.post_head(head)
        # Also posted without the head, so that the member knows that it is behind.
        self.post(NumberRead(number, sent_s))

    def post_head(self, head: Entry) -> None:
        """Post the record of the head, or why it can't be read."""
        try:
            record = decode_entry(head, VersionedRecord)
        except RecordUnreadableError as error:
            self.metrics.count("configuration.confirm.undecodable")
            self.post(RecordUnreadable(error.key, error.reason))
        else:
            self.post(RecordFound(record))

    def stop(self) -> None:
        """Request the thread to end."""
        self.stopping.set()
