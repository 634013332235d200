"""The operators' requests to evacuate data centres, as the holder reads them."""

from collections.abc import Iterable

import structlog

from gooseberrydeck_coordination.ids import DataCentre
from gooseberrydeck_coordination.store import Entry, EventKind, Snapshot, WatchBatch
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.state import Run, RunState, Worker
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.store_follower import StoreFollower
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["Evacuations"]

log = structlog.get_logger(__name__)

MAX_NAME_CHARACTERS = 200
"""Longer names name no data centre; bounds the log lines."""

REPORT_INTERVAL_S = 0.5
"""Interval at which the remaining runs are counted, over all workers."""

MIN_REPORTED_AGE_S = 3.0
"""The store responds to a watch about once a second, also without changes."""

AGE_LINE_INTERVAL_S = 10.0
"""Interval of the log lines while the store doesn't respond."""

PENDING = (RunState.STARTING, RunState.UNCERTAIN)


class Evacuations:
    """Follow the requests, and report the runs that remain in the data centres."""

    def __init__(
        self,
        scheduler: Scheduler,
        follower: StoreFollower,
        metrics: Metrics,
        unreadable: UnreadableLog,
        max_age_s: float,
    ) -> None:
        """Tell ``scheduler`` which data centres are evacuated.

        ``follower`` posts the requests, whose keys end in the name of the data centre.
        The last known requests stay in force while the store doesn't respond, which is
        logged after ``max_age_s``.
        """
        self.scheduler = scheduler
        self.follower = follower
        self.prefix = follower.prefix
        self.metrics = metrics
        self.unreadable = unreadable
        self.max_age_s = max(max_age_s, MIN_REPORTED_AGE_S)
        self.requested: frozenset[DataCentre] = frozenset()
        # The data centres whose last start isn't certain yet, with the newest run.
        self.last_starts: dict[DataCentre, Run | None] = {}
        self.next_report_s = 0.0
        self.next_age_line_s = 0.0

    # What the store holds.

    def reads(self, prefix: str) -> bool:
        """Return True if the requests have keys below ``prefix``."""
        return prefix == self.prefix

    def loaded(self, snapshot: Snapshot, now_s: float) -> None:
        """Apply the requests read with the stored state, and follow them from there."""
        self.replaced(snapshot.entries, now_s)
        self.follower.start_at(snapshot.revision)

    def replaced(self, entries: Iterable[Entry], now_s: float) -> None:
        """Apply a complete read of the requests."""
        keys = {entry.key for entry in entries}
        self.unreadable.forget_missing(UnreadableEvent.EVACUATION, keys)
        names = {self.read_name(key) for key in keys}
        self.apply(frozenset(name for name in names if name), now_s)

    def changed(self, batch: WatchBatch, now_s: float) -> None:
        """Apply changes of the requests reported by the store."""
        requested = set(self.requested)
        for event in batch.events:
            key = event.entry.key
            if event.kind is EventKind.DELETE:
                self.unreadable.forget(UnreadableEvent.EVACUATION, key)
                requested.discard(DataCentre(key.removeprefix(self.prefix)))
            elif name := self.read_name(key):
                requested.add(name)
        self.apply(frozenset(requested), now_s)

    def read_name(self, key: str) -> DataCentre | None:
        """Return the data centre that a key names, or None if it names none."""
        name = key.removeprefix(self.prefix)
        if name and name.isprintable() and len(name) <= MAX_NAME_CHARACTERS:
            return DataCentre(name)
        self.metrics.unreadable_entries.labels("evacuation").inc()
        self.unreadable.report(
            UnreadableEvent.EVACUATION,
            key[: len(self.prefix) + MAX_NAME_CHARACTERS],
            "the key names no data centre",
        )
        return None

    # What follows from it.

    def apply(self, requested: frozenset[DataCentre], now_s: float) -> None:
        """Let the scheduler start nothing in the data centres, and log the changes."""
        former, self.requested = self.requested, requested
        if requested == former:
            return
        since_s = dict(self.scheduler.evacuated.since_s)
        self.scheduler.set_evacuated(requested, now_s)
        for name in sorted(requested - former):
            self.last_starts[name] = None
            log.info("evacuation requested", data_centre=name, **self.count(name))
        for name in sorted(former - requested):
            self.last_starts.pop(name, None)
            self.metrics.evacuated_runs.remove(name)
            log.info(
                "evacuation withdrawn",
                data_centre=name,
                seconds=round(now_s - since_s[name], 3),
                **self.count(name),
            )
        self.next_report_s = now_s

    def workers_in(self, name: DataCentre) -> list[Worker]:
        """Return the workers of a data centre."""
        workers = self.scheduler.ledger.workers.values()
        return [worker for worker in workers if worker.entry.data_centre == name]

    def count(self, name: DataCentre) -> dict[str, int]:
        """Return how many workers and runs a data centre has."""
        workers = self.workers_in(name)
        runs = sum(len(worker.runs) for worker in workers)
        return {"workers": len(workers), "runs": runs}

    def report(self, now_s: float) -> None:
        """Count the remaining runs, and log last starts and the age of the requests."""
        age_s = now_s - self.follower.confirmed_s
        self.metrics.evacuations_age_seconds.set(age_s)
        if age_s > self.max_age_s and now_s >= self.next_age_line_s:
            self.next_age_line_s = now_s + AGE_LINE_INTERVAL_S
            log.warning(
                "evacuations not confirmed",
                seconds=round(age_s, 3),
                in_force=sorted(self.requested),
            )
        if not self.requested or now_s < self.next_report_s:
            return
        self.next_report_s = now_s + REPORT_INTERVAL_S
        for name in self.requested:
            workers = self.workers_in(name)
            if workers:
                remaining = sum(len(worker.runs) for worker in workers)
                self.metrics.evacuated_runs.labels(name).set(remaining)
            if name in self.last_starts:
                self.report_last_start(name, workers, now_s)

    def report_last_start(
        self, name: DataCentre, workers: list[Worker], now_s: float
    ) -> None:
        """Log the last start in a data centre once no start there is unanswered.

        After a takeover, the workers have to report their runs first.
        """
        runs = [run for worker in workers for run in worker.runs.values()]
        started = [run for run in runs if run.state not in PENDING]
        last = self.last_starts[name]
        last = max(
            [*started, last] if last is not None else started,
            key=lambda run: run.started_s,
            default=None,
        )
        self.last_starts[name] = last
        has_reported = all(worker.has_reported for worker in workers)
        if not has_reported or len(started) < len(runs):
            return
        del self.last_starts[name]
        since_s = self.scheduler.evacuated.since_s[name]
        fields: dict[str, object] = {}
        if last is not None:
            ref = last.task.ref
            fields = {
                "job": ref.job,
                "task": ref[1:],
                "run": last.number,
                "worker": last.worker.id,
                "started_after_s": round(last.started_s - since_s, 3),
            }
        log.info(
            "last start in evacuated data centre",
            data_centre=name,
            runs=len(runs),
            seconds=round(now_s - since_s, 3),
            **fields,
        )

    def close(self) -> None:
        """Show no more figures; those of the next holder count."""
        self.metrics.evacuated_runs.clear()
        self.metrics.evacuations_age_seconds.set(0.0)
