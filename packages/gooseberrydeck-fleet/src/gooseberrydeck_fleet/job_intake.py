"""Jobs that become known to the scheduler: new ones and a predecessor's."""

from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_fleet.changes import ChangeLog
from gooseberrydeck_fleet.configuration import (
    FleetConfiguration,
    Queue,
    accepted_queue,
    unconfigured_queue,
)
from gooseberrydeck_fleet.crashes import CrashTracker
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.poll_replies import PollReplyHandler
from gooseberrydeck_fleet.progress import Progress
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.shares import ShareTracker
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.takeover import Takeover
from gooseberrydeck_fleet.work import JobRecord, JobState

__all__ = ["JobIntake"]


class JobIntake:
    """Add jobs to the ledger, with their progress, and open their occurrences."""

    def __init__(
        self,
        ledger: Ledger,
        ends: RunEndHandler,
        changes: ChangeLog,
        takeover: Takeover,
        shares: ShareTracker,
        poll_replies: PollReplyHandler,
        crashes: CrashTracker,
    ) -> None:
        """Create an intake without queues for one ledger."""
        self.ledger = ledger
        self.ends = ends
        self.changes = changes
        self.takeover = takeover
        self.shares = shares
        self.poll_replies = poll_replies
        self.crashes = crashes
        # All jobs stored up to this revision have been read or watched.
        self.jobs_revision = 0
        self.configuration_version = 0
        self.queues: dict[QueueName, Queue] = {}
        self.periodic_jobs: dict[JobId, Job] = {}

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply the queues and shares of a version of the configuration.

        Jobs of a queue that is no longer configured keep that queue's last settings.
        Jobs whose queue was not configured before may start now. Jobs whose queue
        allows fewer attempts than before may have used them up. All jobs of a team
        without a share are within it.
        """
        self.configuration_version = configuration.version
        self.queues = {queue.name: queue for queue in configuration.queues}
        self.shares.set_rates({team.name: team.weight for team in configuration.teams})
        for job in list(self.ledger.jobs.values()):
            if self.shares.returns_all(job.record.team):
                job.is_within_share = True
            queue = self.queues.get(job.record.queue)
            was_unconfigured = job.has_unconfigured_queue
            if queue is None and was_unconfigured:
                queue = self.queue_of(job.record)
            if queue is not None:
                are_attempts_fewer = queue.max_attempts < job.queue.max_attempts
                job.queue = queue
                if was_unconfigured:
                    job.compute_due()
                if are_attempts_fewer:
                    self.ends.fail_if_exhausted(job)

    def queue_of(self, record: JobRecord) -> Queue:
        """Return a job's queue: as configured, else as it was at the acceptance.

        A job that was accepted under a newer configuration waits for that, which may
        also limit its team.
        """
        queue = self.queues.get(record.queue)
        if queue is not None:
            return queue
        accepted = record.queue_settings
        if accepted is not None and accepted.version <= self.configuration_version:
            return accepted_queue(record.queue, accepted)
        return unconfigured_queue(record.queue)

    def accept(
        self, record: JobRecord, revision: int, predates_takeover: bool = False
    ) -> bool:
        """Add or update a stored job; return False if its queue is not known.

        Such a job starts nothing until the queue is configured, but its runs and ends
        count.

        A job that predates the takeover may have runs that are unknown until every
        worker has reported. The same holds for a new job that a predecessor may have
        learned of.
        """
        if record.id in self.changes.ended:
            # The notification may be older than the stored end of the job.
            return True
        known = self.ledger.jobs.get(record.id)
        if known is not None:
            if predates_takeover and not known.predates_takeover:
                # A job announced before the stored state is loaded is no new one.
                known.predates_takeover = True
                self.takeover.hold_if_unsafe(known)
            self.update(known, record, revision)
            return not known.has_unconfigured_queue
        durations = self.ledger.durations
        job = Job(record, self.queue_of(record), revision, durations)
        job.late_starts = self.ledger.late_starts
        # Only a predecessor can have started a job that is not known yet.
        was_started = record.id in self.poll_replies.unknown_jobs
        job.predates_takeover = predates_takeover or was_started
        self.shares.job_arrived(job)
        self.takeover.hold_if_unsafe(job)
        self.ledger.jobs[record.id] = job
        if job.is_periodic:
            self.periodic_jobs[record.id] = job
        else:
            self.ledger.open_occurrence(job)
        if record.is_cancelled:
            self.ends.finish(job, JobState.CANCELLED)
        if was_started:
            self.poll_replies.apply_unknown(record.id)
        return not job.has_unconfigured_queue

    def accept_announced(self, record: JobRecord, revision: int) -> bool:
        """Add a job that a member announces; return False if that tells nothing new.

        An unknown job that is not newer than those read or watched has ended.
        """
        if self.ledger.knows(record.id) or revision <= self.jobs_revision:
            return False
        self.accept(record, revision)
        return True

    def update(self, job: Job, record: JobRecord, revision: int) -> None:
        """Apply a changed job record; cancellation is the only possible change."""
        job.record = record
        job.revision = revision
        if record.is_cancelled and not job.state.is_final:
            self.ends.finish(job, JobState.CANCELLED)

    def restore(self, job_id: JobId, progress: Progress, revision: int) -> None:
        """Restore the progress of a job that a predecessor stored."""
        job = self.ledger.jobs.get(job_id)
        if job is None:
            return
        was_changed = job_id in self.ledger.changed
        job.progress_revision = revision
        for stored in progress.steps:
            while job.next_occurrence <= stored.occurrence:
                self.ledger.open_occurrence(job)
            step = job.steps[StepRef(job_id, stored.occurrence, stored.step)]
            for task in step.tasks:
                index = task.ref.number
                task.failures.update(stored.failures.get(index, ()))
                if not task.is_done and not task.checkpoint:
                    task.checkpoint = stored.checkpoints.get(index, "")
                if stored.done >> index & 1 and not task.is_done:
                    task.is_done = True
                    step.remaining_tasks -= 1
                if not task.is_done:
                    for record in stored.crashes.get(index, ()):
                        self.crashes.restore(task, record)
            self.ledger.mark_running(job)
        self.ends.fail_if_exhausted(job)
        self.ends.finish_if_complete(job)
        self.ledger.touch(job)
        if not was_changed:
            self.ledger.changed.pop(job_id, None)

    def open_due_occurrences(self, wall_s: float) -> None:
        """Open the occurrences of periodic jobs that are due."""
        for job in list(self.periodic_jobs.values()):
            while (
                not job.state.is_final
                and job.next_occurrence < job.occurrences
                and job.occurrence_due_s(job.next_occurrence) <= wall_s
            ):
                self.ledger.open_occurrence(job)
            if job.state.is_final or job.next_occurrence == job.occurrences:
                del self.periodic_jobs[job.id]
