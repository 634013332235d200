"""Report snapshots of members in the store, where they survive a host failure."""

import threading
from collections.abc import Callable
from typing import TypeVar

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import RecordUnreadableError, StoreError
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import (
    Delete,
    Entry,
    Operation,
    Put,
    Store,
    Transaction,
)
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.reports.accumulator import BurnAccumulator, BurnSnapshot
from gooseberrydeck_daemon.reports.usage import UsageSnapshot, UsageSource
from gooseberrydeck_daemon.reports.windows import Level
from gooseberrydeck_service.unreadable_log import UnreadableEvent

__all__ = ["BURN", "USAGE", "ReportWriter", "SnapshotReader"]

BURN = "burn"
USAGE = "usage"
FOLD_PERIOD_S = 10.0
SAVE_PERIOD_S = 60.0
CALL_TIMEOUT_S = 2.0
SAVES_PER_CLEANUP = 60
MAX_SNAPSHOT_AGE_S = Level.THREE_DAYS.window_s + Level.THREE_DAYS.bucket_s
MAX_DELETES = 64

SnapshotT = TypeVar("SnapshotT", BurnSnapshot, UsageSnapshot)

log = structlog.get_logger(__name__)


class SnapshotHeader(msgspec.Struct, frozen=True):
    """Field common to all snapshot types."""

    taken_s: float


class SnapshotReader:
    """Reads the snapshots of the other members."""

    def __init__(self, store: Store, keys: StoreKeys, member: MemberId) -> None:
        """Skip the snapshots of ``member``, which has newer counts in memory."""
        self.store = store
        self.keys = keys
        self.member = member

    def read(self, name: str, snapshot_type: type[SnapshotT]) -> list[SnapshotT]:
        """Return the other members' snapshots of that name.

        Snapshots that cannot be decoded are skipped. Raise ``StoreError`` if the store
        is unavailable.
        """
        prefix = self.keys.reports_prefix
        own = self.keys.report(self.member, name)
        found = []
        for entry in self.store.read_prefix(prefix, CALL_TIMEOUT_S).entries:
            if entry.key.rpartition("/")[2] != name or entry.key == own:
                continue
            try:
                found.append(decode_entry(entry, snapshot_type))
            except RecordUnreadableError as error:
                report_unreadable(error)
        return found


class ReportWriter:
    """Thread that writes the snapshots of this member once a minute.

    It writes nothing until it has read the earlier snapshot of the member, which would
    be overwritten. A planned stop writes the snapshots a last time.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        member: MemberId,
        burn: BurnAccumulator,
        usage: UsageSource | None,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Write the counts of ``burn`` and, if given, the result of ``usage``."""
        self.name = "reports"
        self.store = store
        self.keys = keys
        self.member = member
        self.burn = burn
        self.usage = usage
        self.clock = clock
        self.metrics = metrics
        self.stopping = threading.Event()
        self.is_restored = False
        self.next_save_s = clock.monotonic() + SAVE_PERIOD_S
        self.saves = 0

    def run(self) -> None:
        """Fold counts and save snapshots until stopped, then save once more."""
        while not self.stopping.is_set():
            self.call_store(self.restore)
            self.stopping.wait(FOLD_PERIOD_S)
            self.burn.fold()
            if self.clock.monotonic() >= self.next_save_s:
                self.next_save_s = self.clock.monotonic() + SAVE_PERIOD_S
                self.call_store(self.save)
        self.call_store(self.save)

    def stop(self) -> None:
        """Make ``run`` save the snapshots and return."""
        self.stopping.set()

    def call_store(self, step: Callable[[], None]) -> None:
        """Run ``step``; count a store failure, as the next period tries again."""
        try:
            step()
        except StoreError:
            self.metrics.count("reports.store.failed")

    def restore(self) -> None:
        """Add the counts that an earlier process of this member stored, once."""
        if self.is_restored:
            return
        key = self.keys.report(self.member, BURN)
        entry = self.store.read(key, CALL_TIMEOUT_S)
        self.is_restored = True
        if entry is None:
            return
        try:
            snapshot = decode_entry(entry, BurnSnapshot)
        except RecordUnreadableError as error:
            report_unreadable(error)
        else:
            self.burn.restore(snapshot)

    def save(self) -> None:
        """Write the snapshots, and periodically delete expired ones."""
        if not self.is_restored:
            return
        snapshots = {BURN: msgspec.json.encode(self.burn.snapshot())}
        if self.usage is not None:
            snapshots[USAGE] = msgspec.json.encode(self.usage())
        puts: list[Operation] = [
            Put(self.keys.report(self.member, name), value)
            for name, value in snapshots.items()
        ]
        self.store.commit(Transaction((), tuple(puts)), CALL_TIMEOUT_S)
        self.saves += 1
        if self.saves % SAVES_PER_CLEANUP == 0:
            self.delete_expired()

    def delete_expired(self) -> None:
        """Delete snapshots older than the longest window, up to ``MAX_DELETES``."""
        oldest_s = self.clock.wall() - MAX_SNAPSHOT_AGE_S
        snapshot = self.store.read_prefix(self.keys.reports_prefix, CALL_TIMEOUT_S)
        deletes = [
            Delete(entry.key)
            for entry in snapshot.entries
            if snapshot_time_s(entry) < oldest_s
        ][:MAX_DELETES]
        if deletes:
            self.store.commit(Transaction((), tuple(deletes)), CALL_TIMEOUT_S)


def snapshot_time_s(entry: Entry) -> float:
    """Return the time of a snapshot; 0 if it cannot be decoded."""
    try:
        return decode_entry(entry, SnapshotHeader).taken_s
    except RecordUnreadableError:
        return 0.0


def report_unreadable(error: RecordUnreadableError) -> None:
    """Log a snapshot that is left out of a report."""
    log.warning(UnreadableEvent.REPORT.value, key=error.key, reason=error.reason)
