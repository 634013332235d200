"""The task that keeps the configuration up to date."""

import threading
from collections.abc import Callable

import structlog

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.exceptions import (
    StoreCompactedError,
    StoreError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import EventKind, Store, WatchBatch
from gooseberrydeck_member.configuration import (
    UNKNOWN_REVISION,
    AnnouncedConfiguration,
    ConfigurationCache,
    KnownConfiguration,
)
from gooseberrydeck_member.configuration_fetcher import ConfigurationFetcher
from gooseberrydeck_member.observability import Metrics

__all__ = [
    "CONFIGURATION_STALL_TIMEOUT_S",
    "CONFIGURATION_WATCH_WAIT_S",
    "ConfigurationTask",
]

log = structlog.get_logger(__name__)

CONFIGURATION_WATCH_WAIT_S = 0.25
"""How long the store may wait for a change; a version is confirmed only as of when the
call was sent."""

CONFIGURATION_STALL_TIMEOUT_S = 0.6
"""Time without a byte from the store after which a call has failed."""

TRANSFER_TIMEOUT_S = 4.5
"""Timeout of a transfer from the store: 1 MB in base64 takes half of it on a link of
5 Mbit/s. A stopping process waits for five seconds."""

STORE_CALL_INTERVAL_S = 0.25
"""Least interval between calls of the store."""

CONFIGURATION_MAX_AGE_S = 0.9
"""Age from which a follower asks the store itself."""

PEER_FETCH_LIMIT_S = 0.6
"""Time without success after which an announced version is read from the store."""

POLL_INTERVAL_S = 0.1
"""Interval of checks of the age, and of attempts to fetch an announced version."""


class ConfigurationTask:
    """Fetch announced versions from other members, and confirm the version in force.

    The holder confirms it all the time by watching the store. Followers ask the store
    only if the holder's confirmations are missing. The value is transferred only if it
    has changed. One transfer is in progress at a time, in this task's thread, so that
    heartbeats and lease renewals never wait for one.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        configuration: ConfigurationCache,
        fetcher: ConfigurationFetcher,
        is_leading: Callable[[], bool],
        metrics: Metrics,
        clock: Clock | None = None,
    ) -> None:
        """Keep ``configuration`` like the store's value of ``key``."""
        self.name = "configuration"
        self.store = store
        self.key = key
        self.configuration = configuration
        self.fetcher = fetcher
        self.is_leading = is_leading
        self.metrics = metrics
        self.clock = clock or SystemClock()
        self.stopping = threading.Event()
        self.store_due_s = 0.0
        self.is_store_failing = False
        self.missing_version = 0
        self.missing_since_s = 0.0
        # The revision up to which the store has only an unreadable newer value.
        self.unreadable_revision = UNKNOWN_REVISION

    def run(self) -> None:
        """Keep the configuration up to date until stopped."""
        while not self.stopping.is_set():
            self.refresh()
            pause_s = POLL_INTERVAL_S
            if self.is_leading():
                pause_s = max(0.0, self.store_due_s - self.clock.monotonic())
            self.configuration.version_announced.wait(pause_s)
            self.configuration.version_announced.clear()

    def stop(self) -> None:
        """Ask the task to end after the current transfer."""
        self.stopping.set()
        self.configuration.version_announced.set()

    def refresh(self) -> None:
        """Fetch an announced version, or confirm the one in force if that is due."""
        if self.is_leading():
            self.ask_store()
            return
        announced = self.configuration.missing()
        if announced is not None:
            self.note_missing(announced)
            if not self.fetcher.fetch(announced) and self.is_overdue():
                self.ask_store()
            return
        age_s = self.clock.monotonic() - self.configuration.confirmed_s
        if self.configuration.current is None or age_s >= CONFIGURATION_MAX_AGE_S:
            self.ask_store()

    def note_missing(self, announced: AnnouncedConfiguration) -> None:
        """Note since when this member lacks an announced version."""
        if announced.version != self.missing_version:
            self.missing_version = announced.version
            self.missing_since_s = self.clock.monotonic()

    def is_overdue(self) -> bool:
        """Return whether a version could not be fetched for too long."""
        missing_s = self.clock.monotonic() - self.missing_since_s
        return missing_s >= PEER_FETCH_LIMIT_S

    def ask_store(self) -> None:
        """Confirm the version in force, or read a newer one from the store."""
        sent_s = self.clock.monotonic()
        if sent_s < self.store_due_s:
            return
        self.store_due_s = sent_s + STORE_CALL_INTERVAL_S
        try:
            self.read_changes(sent_s)
        except StoreCompactedError as error:
            log.warning("history lost", prefix=self.key, reason=str(error))
            self.configuration.forget_revision()
            self.unreadable_revision = UNKNOWN_REVISION
            self.store_due_s = 0.0
        except StoreError as error:
            self.count("failed")
            if not self.is_store_failing:
                self.is_store_failing = True
                reason = f"{type(error).__name__}: {error}"
                log.warning("store lost", prefix=self.key, reason=reason)
        else:
            if self.is_store_failing:
                self.is_store_failing = False
                log.info("store regained", prefix=self.key)

    def read_changes(self, sent_s: float) -> None:
        """Read the changes since the last known revision, or else the value."""
        known = self.configuration.known()
        after = max(known.revision, self.unreadable_revision)
        if after == UNKNOWN_REVISION:
            snapshot = self.store.read_prefix(self.key, TRANSFER_TIMEOUT_S)
            for entry in snapshot.entries:
                if entry.key == self.key:
                    self.offer(entry.value, sent_s, snapshot.revision)
            return
        start = Revision(after + 1)
        for batch in self.store.watch(self.key, start, TRANSFER_TIMEOUT_S):
            if batch.revision < after:
                reason = f"revision {batch.revision} is before {after}"
                raise StoreUnavailableError(reason)
            self.handle_batch(known, batch, sent_s)
            return
        raise StoreUnavailableError("watch ended without a response")

    def handle_batch(
        self, known: KnownConfiguration, batch: WatchBatch, sent_s: float
    ) -> None:
        """Put the newest value in force, or confirm the known one without a change."""
        changes = [event for event in batch.events if event.entry.key == self.key]
        if changes and changes[-1].kind is EventKind.PUT:
            self.offer(changes[-1].entry.value, sent_s, batch.revision)
        elif not changes and known.revision > self.unreadable_revision:
            self.configuration.confirm(known.version, sent_s, batch.revision)
            self.count("unchanged")

    def offer(self, value: bytes, sent_s: float, revision: Revision) -> None:
        """Put a value of the store in force."""
        is_readable = self.configuration.offer(value, sent_s, "store", revision)
        if not is_readable:
            self.unreadable_revision = revision
        self.count("fetched" if is_readable else "malformed")
        log.info(
            "configuration read",
            version=self.configuration.version,
            bytes=len(value),
            revision=revision,
            seconds=round(self.clock.monotonic() - sent_s, 3),
        )

    def count(self, outcome: str) -> None:
        """Count a call of the store by its outcome."""
        self.metrics.configuration_fetches.labels("store", outcome).inc()
