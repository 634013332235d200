"""Checks and reports of the starts and ends of runs, beside the scheduler's decisions.

A start of a task whose end is stored or acknowledged is not sent, whatever the
scheduler believes of the task.
"""

import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.losses import LossReason, LostRun, SilentWorker
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.work import JobState
from gooseberrydeck_fleet.worker_calls import PollReply
from gooseberrydeck_member.known_ends import EndEvidence, KnownEnd, KnownEnds
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.threads import SYSTEM_CLOCK

__all__ = ["RunAudit"]

log = structlog.get_logger(__name__)


class RunAudit:
    """Check, log and count the starts and ends of runs."""

    def __init__(
        self,
        scheduler: Scheduler,
        known_ends: KnownEnds,
        metrics: Metrics,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """Check the starts of ``scheduler`` against ``known_ends``."""
        self.scheduler = scheduler
        self.known_ends = known_ends
        self.metrics = metrics
        self.clock = clock

    # Starts.

    def admit_start(self, command: StartRun, now_s: float) -> bool:
        """Return False if a start must not be sent, since the end of its task is known.

        In that case the scheduler learns what it has missed.
        """
        evidence = self.find_evidence(command)
        if evidence is not None:
            job = self.scheduler.ledger.jobs[command.request.task.job]
            self.refuse_start(command, job, evidence, now_s)
        return evidence is None

    def find_evidence(self, command: StartRun) -> EndEvidence | None:
        """Return what shows that the task of a start has ended, or None."""
        task = command.request.task
        spec = self.scheduler.ledger.jobs[task.job].record.work.steps[task.step]
        return self.known_ends.find_evidence(task, spec)

    def start_sent(self, command: StartRun, waited_s: float, now_s: float) -> None:
        """Log a start that is sent ``waited_s`` after it was decided."""
        task = command.request.task
        job = self.scheduler.ledger.jobs[task.job]
        self.observe_wait(job)
        log.info(
            "start",
            job=task.job,
            task=task[1:],
            run=command.request.run,
            worker=command.worker,
            born_ms=command.born_ms,
            resumes=bool(command.request.checkpoint),
            is_cold=self.scheduler.ledger.workers[command.worker].is_cold(now_s),
            waited_s=round(waited_s, 3),
            is_within_share=job.is_within_share,
            use_level=self.scheduler.team_use.levels.get(job.record.team, 0),
            **self.input_ages(job, task, now_s),
            **self.describe_expectation(command),
            **self.describe_former_run(task, now_s),
        )

    def refuse_start(
        self, command: StartRun, job: Job, evidence: EndEvidence, now_s: float
    ) -> None:
        """Log a start after the end of its task, and correct the scheduler's state."""
        task, run = command.request.task, command.request.run
        self.metrics.starts_after_end.labels(evidence.kind.value).inc()
        log.error(
            "start after the end refused",
            job=task.job,
            task=task[1:],
            run=run,
            worker=command.worker,
            evidence=evidence.kind.value,
            ended_as=evidence.job_state.value if evidence.job_state else None,
            stored_age_s=age_s(evidence.stored_s, now_s),
            is_inherited=evidence.is_inherited,
            **describe_end(evidence.end, now_s),
            token=self.scheduler.takeover.token,
            believed_state=job.state.value,
            predates_takeover=job.predates_takeover,
            job_revision=job.revision,
            progress_revision=job.progress_revision,
            jobs_revision=self.scheduler.jobs_revision,
        )
        self.scheduler.start_refused(command.worker, task, run, evidence.job_state)

    def input_ages(self, job: Job, task: TaskRef, now_s: float) -> dict[str, float]:
        """Return, in seconds, how long ago a task became ready and advice arrived."""
        step = job.steps[task.step_ref]
        times = {"ready_age_s": step.ready_s, "advice_age_s": step.advice.answered_s}
        return {
            name: round(now_s - at_s, 3)
            for name, at_s in times.items()
            if at_s is not None
        }

    def describe_expectation(self, command: StartRun) -> dict[str, object]:
        """Return what is expected of a run's duration, if durations are learned."""
        request = command.request
        run = self.scheduler.find_run(command.worker, request.task, request.run)
        expected = None if run is None else run.expectation
        if expected is None:
            return {}
        return {
            "expected_s": round(expected.typical_s, 3),
            "nine_of_ten_s": round(expected.nine_of_ten_s, 3),
            "expected_from": expected.source.value,
            "is_expectation_used": expected.is_used,
        }

    def describe_former_run(self, ref: TaskRef, now_s: float) -> dict[str, object]:
        """Return why a task's former run counts as over, if its end wasn't listed."""
        task = self.scheduler.ledger.find_task(ref)
        lost = None if task is None else task.lost_run
        if lost is None:
            return {}
        return {
            "former_run": lost.run,
            "former_worker": lost.worker,
            "former_born_ms": lost.born_ms,
            "former_reason": lost.reason.value,
            "former_lost_age_s": age_s(lost.lost_s, now_s),
        }

    def observe_wait(self, job: Job) -> None:
        """Record a job's waiting time in the metrics when its first run starts."""
        if job.state is JobState.QUEUED and len(job.runs) == 1:
            waited_s = max(0.0, self.clock.wall() - job.record.accepted_s)
            self.metrics.wait_seconds.labels(job.record.queue).observe(waited_s)

    # Ends.

    def run_lost(self, lost: LostRun) -> None:
        """Log and count a run that has ended without a reported end."""
        self.metrics.run_losses.labels(lost.reason.value).inc()
        log.info(
            "run lost",
            job=lost.task.job,
            task=lost.task[1:],
            run=lost.run,
            worker=lost.worker,
            reason=lost.reason.value,
            born_ms=lost.born_ms,
            reply_age_s=reply_age_s(lost.last_reply_s, lost.lost_s),
            **describe_lease(lost),
            may_hold_longest_lease=lost.may_hold_longest_lease,
            is_restarting=lost.is_restarting,
            has_unanswered_start=lost.has_unanswered_start,
        )

    def leases_expired(self, silent: SilentWorker, claimed_s: float) -> None:
        """Log that a predecessor's worker has not reported by the end of its leases."""
        log.info(
            "leases of a silent worker expired",
            worker=silent.worker,
            born_ms=silent.born_ms,
            claim_age_s=age_s(claimed_s, silent.expired_s),
            reply_age_s=reply_age_s(silent.last_reply_s, silent.expired_s),
            lease_expired_age_s=age_s(silent.lease_expiry_s, silent.expired_s),
            may_hold_longest_lease=silent.may_hold_longest_lease,
            late_starts=silent.late_starts,
        )

    def ends_listed(
        self,
        worker: WorkerId,
        reply: PollReply,
        before: int,
        acknowledged: int,
        now_s: float,
    ) -> None:
        """Record and log the ends in a reply whose numbers exceed ``before``.

        ``acknowledged`` is the number up to which the worker may have forgotten ends.
        """
        for end in reply.ends:
            if end.number <= before:
                continue
            self.known_ends.end_listed(worker, reply.born_ms, end, now_s)
            self.metrics.run_ends.labels(end.kind.value).inc()
            log.info(
                "run ended",
                job=end.task.job,
                task=end.task[1:],
                run=end.run,
                worker=worker,
                kind=end.kind.value,
                number=end.number,
                acknowledged=acknowledged,
                is_job_known=end.task.job in self.scheduler.ledger.jobs,
                has_job_ended=end.task.job in self.scheduler.changes.ended,
            )

    def acknowledgement_sent(
        self, worker: WorkerId, born_ms: int, number: int, token: Epoch, now_s: float
    ) -> None:
        """Record that a poll lets a worker forget its ends up to ``number``.

        An end that is not stored yet would be lost with this holder, and is logged.
        """
        ends = self.known_ends.acknowledged(worker, born_ms, number, token, now_s)
        self.metrics.ends_acknowledged.inc(len(ends))
        for end in ends:
            if self.has_to_be_stored(end):
                self.metrics.unstored_acknowledgements.inc()
                log.error(
                    "end acknowledged but not stored",
                    job=end.task.job,
                    task=end.task[1:],
                    is_job_known=end.task.job in self.scheduler.ledger.jobs,
                    **describe_end(end, now_s),
                )

    def has_to_be_stored(self, end: KnownEnd) -> bool:
        """Return True if an end is not stored, though a successor has to know it."""
        ref = end.task
        job = self.scheduler.ledger.jobs.get(ref.job)
        if job is None:
            is_known = self.scheduler.ledger.knows(ref.job)
            return not (is_known or ref.job in self.known_ends.ended_jobs)
        if job.state.is_final or ref.step >= len(job.record.work.steps):
            return False
        spec = job.record.work.steps[ref.step]
        return not (spec.is_standing or self.known_ends.is_stored(end, spec))


def describe_end(end: KnownEnd | None, now_s: float) -> dict[str, object]:
    """Return the fields of a log line about an end, with its ages in seconds."""
    if end is None:
        return {}
    return {
        "ended_run": end.run,
        "ended_on": end.worker,
        "born_ms": end.born_ms,
        "number": end.number,
        "listed_age_s": age_s(end.listed_s, now_s),
        "acknowledged_age_s": age_s(end.acknowledged_s, now_s),
        "acknowledged_token": end.acknowledged_token,
    }


def describe_lease(lost: LostRun) -> dict[str, object]:
    """Return how long the leases of a run's worker had expired if it ended by that."""
    if lost.reason is not LossReason.LEASE_LAPSED:
        return {}
    return {"lease_expired_age_s": age_s(lost.lease_expiry_s, lost.lost_s)}


def reply_age_s(last_reply_s: float, now_s: float) -> float | None:
    """Return the age of a worker's last reply, or None if it has never replied."""
    return age_s(last_reply_s or None, now_s)


def age_s(at_s: float | None, now_s: float) -> float | None:
    """Return how long ago a monotonic time was, in seconds."""
    return None if at_s is None else round(now_s - at_s, 3)
