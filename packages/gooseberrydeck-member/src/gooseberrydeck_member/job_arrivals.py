"""How jobs reach the scheduler: from the store, by notification and by lookups."""

from collections.abc import Callable

import structlog

from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_coordination.store import Entry, EventKind, WatchBatch
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.work import JobRecord
from gooseberrydeck_member.job_lookups import JobAbsent, JobFound, LookupFailed
from gooseberrydeck_member.known_ends import KnownEnds
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import JobAccepted
from gooseberrydeck_member.threads import Event
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["JobArrivals"]

log = structlog.get_logger(__name__)


class JobArrivals:
    """Pass jobs to the scheduler, unless they show that the shard is lost."""

    def __init__(
        self,
        scheduler: Scheduler,
        known_ends: KnownEnds,
        metrics: Metrics,
        unreadable: UnreadableLog,
        token: Epoch,
        lost: Event,
        mark_shard_lost: Callable[[], None],
    ) -> None:
        """Pass jobs to ``scheduler``, which schedules under the shard's ``token``.

        ``mark_shard_lost`` is called, and sets ``lost``, if a job shows a newer holder.
        """
        self.scheduler = scheduler
        self.known_ends = known_ends
        self.metrics = metrics
        self.unreadable = unreadable
        self.token = token
        self.lost = lost
        self.mark_shard_lost = mark_shard_lost
        self.configuration_version = 0
        # Notifications that came before the stored state was loaded.
        self.early_notifications: list[JobAccepted] = []
        self.is_loaded = False

    def loaded(self) -> None:
        """Apply the notifications that came before the stored state was loaded."""
        self.is_loaded = True
        for notification in self.early_notifications:
            self.job_announced(notification)
        self.early_notifications.clear()

    def configuration_changed(self, configuration: FleetConfiguration) -> None:
        """Apply a new configuration, which may hold queues that jobs wait for."""
        self.configuration_version = configuration.version
        waiting = self.scheduler.jobs_without_queue()
        self.scheduler.set_configuration(configuration)
        for job in waiting:
            if not job.has_unconfigured_queue:
                log.info(
                    "queue of job configured",
                    job=job.id,
                    queue=job.record.queue,
                    configuration=self.configuration_version,
                )

    def job_record_changed(self, entry: Entry) -> None:
        """Add the job of a record that was read from the store."""
        record = self.read_record(entry)
        if record is not None:
            self.add_job(record, int(entry.mod_revision), predates_takeover=False)

    def read_record(self, entry: Entry) -> JobRecord | None:
        """Return a job's record, or None if it is ignored as unreadable."""
        try:
            return decode_entry(entry, JobRecord)
        except RecordUnreadableError as error:
            self.record_unreadable(error)
            return None

    def record_unreadable(self, error: RecordUnreadableError) -> None:
        """Log and count a record that is ignored."""
        self.metrics.unreadable_entries.labels("record").inc()
        self.unreadable.report(UnreadableEvent.RECORD, error.key, error.reason)

    def add_job(
        self, record: JobRecord, revision: int, predates_takeover: bool
    ) -> None:
        """Add a job to the scheduler, unless it shows that the shard is lost."""
        if self.is_superseded_by(record):
            return
        if not self.scheduler.accept(record, revision, predates_takeover):
            self.report_unconfigured_queue(record, revision)

    def is_superseded_by(self, record: JobRecord) -> bool:
        """Give up the shard if a job was accepted under a newer holder.

        The newer holder relies on that: it doesn't wait for runs of such jobs. Returns
        whether the shard was given up.
        """
        if record.holder_token <= self.token:
            return False
        if not self.lost.is_set():
            log.warning(
                "superseded, as a job shows",
                token=self.token,
                newer_token=record.holder_token,
                job=record.id,
            )
            self.mark_shard_lost()
        return True

    def report_unconfigured_queue(self, record: JobRecord, revision: int) -> None:
        """Log a job whose queue only the accepting member's configuration holds."""
        log.warning(
            "queue of job not configured",
            job=record.id,
            queue=record.queue,
            revision=revision,
            jobs_revision=self.scheduler.jobs_revision,
            configuration=self.configuration_version,
        )

    def job_announced(self, notification: JobAccepted) -> None:
        """Add a job announced by a member, unless it is known from the store."""
        if not self.is_loaded:
            # Whether the job has to wait for workers depends on those in the store.
            self.early_notifications.append(notification)
            return
        record, revision = notification.record, notification.revision
        if self.is_superseded_by(record):
            return
        is_new = self.scheduler.accept_announced(record, revision)
        log.info(
            "job announced",
            job=record.id,
            revision=revision,
            jobs_revision=self.scheduler.jobs_revision,
            is_new=is_new,
            has_ended=record.id in self.scheduler.changes.ended,
        )
        if is_new and not self.scheduler.is_queue_known(record):
            self.report_unconfigured_queue(record, revision)

    def job_looked_up(
        self, result: JobFound | JobAbsent | LookupFailed, now_s: float
    ) -> None:
        """Apply the lookup of a job that only workers have reported."""
        if isinstance(result, LookupFailed):
            self.scheduler.lookup_failed(result.job)
            return
        if isinstance(result, JobAbsent):
            job, outcome = result.job, "absent"
            if result.state is None:
                self.known_ends.job_absent(job)
            else:
                outcome = result.state.value
                self.known_ends.job_ended(job, result.state, now_s)
            self.scheduler.job_absent(job, result.state, now_s)
        else:
            job, outcome = result.record.id, "open"
            if self.is_superseded_by(result.record):
                return
            self.scheduler.job_found(
                result.record,
                result.revision,
                result.progress,
                result.progress_revision,
            )
            if result.progress is not None:
                self.known_ends.progress_stored(
                    job, result.progress, now_s, is_inherited=True
                )
            if not self.scheduler.is_queue_known(result.record):
                self.report_unconfigured_queue(result.record, result.revision)
        self.metrics.job_lookups.labels(outcome).inc()
        log.info(
            "job looked up",
            job=job,
            outcome=outcome,
            revision=result.revision if isinstance(result, JobFound) else None,
            jobs_revision=self.scheduler.jobs_revision,
        )

    def jobs_changed(self, batch: WatchBatch) -> None:
        """Apply changes of job records reported by the store."""
        last_kinds = {each.entry.key: each.kind for each in batch.events}
        for event in batch.events:
            if event.kind is not EventKind.PUT:
                continue
            if last_kinds[event.entry.key] is EventKind.PUT:
                self.job_record_changed(event.entry)
                continue
            # The job has ended since.
            record = self.read_record(event.entry)
            if record is not None:
                self.is_superseded_by(record)
        self.scheduler.jobs_read(int(batch.revision))

    def jobs_read(self, entries: tuple[Entry, ...]) -> None:
        """Apply a complete read of the job records."""
        for entry in entries:
            self.job_record_changed(entry)
