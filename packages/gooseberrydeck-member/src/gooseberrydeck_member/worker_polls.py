"""Polls of the workers: when they are sent, and what their results show."""

from collections.abc import Callable

import structlog

from gooseberrydeck_fleet.changes import AcknowledgedEnds
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.worker_calls import PollReply
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.run_audit import RunAudit
from gooseberrydeck_member.worker_dispatcher import (
    CallFailed,
    PollSucceeded,
    WorkerDispatcher,
)
from gooseberrydeck_member.worker_polling import ResponseLossTracker
from gooseberrydeck_member.worker_registry import WorkerRegistry

__all__ = ["POLL_WAIT_S", "WorkerPolls"]

log = structlog.get_logger(__name__)

POLL_WAIT_S = 1.0
"""How long a worker may hold a poll open; also the interval of lease extensions."""

UNSTORED_POLL_INTERVAL_S = 0.2
"""Interval between polls of a worker that lists run ends which can't be acknowledged
yet, mostly because they are not stored."""

REPLACED_THRESHOLD = 2
"""Consecutive answers of another process after which a worker's process counts as
ended. A refused connection doesn't show that: a cut network may refuse connections to a
worker that runs on."""

RETIRED_POLL_INTERVAL_S = 2.0
"""Interval between polls of an unregistered worker that runs nothing."""


class WorkerPolls:
    """Poll the workers of a registry, and pass what they report to the scheduler."""

    def __init__(
        self,
        scheduler: Scheduler,
        workers: WorkerRegistry,
        dispatcher: WorkerDispatcher,
        audit: RunAudit,
        metrics: Metrics,
        mark_shard_lost: Callable[[], None],
    ) -> None:
        """Start without polls in flight.

        ``mark_shard_lost`` is called if a worker has seen the token of a successor.
        """
        self.scheduler = scheduler
        self.workers = workers
        self.dispatcher = dispatcher
        self.audit = audit
        self.metrics = metrics
        self.mark_shard_lost = mark_shard_lost
        self.response_losses = ResponseLossTracker()

    def poll_due_workers(self, now_s: float) -> None:
        """Send a poll to each worker that is due."""
        is_lossy = self.response_losses.are_common(now_s)
        for worker_id, poll_state in list(self.workers.poll_states.items()):
            if not poll_state.is_due(now_s, is_lossy):
                continue
            worker = self.scheduler.ledger.workers.get(worker_id)
            if worker is None:
                # Kept until its polls have returned, which belong to it.
                if not poll_state.calls_in_flight:
                    self.workers.forget(worker_id)
                continue
            until_ms = self.scheduler.lease_until_ms(worker, now_s)
            is_acknowledged = poll_state.acknowledged >= worker.last_end_number
            may_wait = worker.born_ms and not poll_state.is_restart_unconfirmed
            wait_s = POLL_WAIT_S if may_wait and is_acknowledged else 0.0
            last_seen = 0
            if worker.is_reachable:
                last_seen = poll_state.last_seen(worker.entry.born_ms)
            poll_state.poll_sent(now_s, last_seen)
            token = self.workers.token_of(worker_id)
            self.audit.acknowledgement_sent(
                worker_id, poll_state.born_ms, last_seen, token, now_s
            )
            self.dispatcher.poll(worker_id, token, last_seen, until_ms, wait_s)

    def handle_poll_success(self, message: PollSucceeded, now_s: float) -> None:
        """Apply the runs and run ends that a worker reports."""
        poll_state = self.workers.poll_states.get(message.worker)
        worker = self.scheduler.ledger.workers.get(message.worker)
        if poll_state is None:
            return
        if worker is None:
            poll_state.poll_ignored()
            return
        self.dispatcher.worker_answered(message.worker)
        reply = message.reply
        failed_polls = poll_state.failures
        if poll_state.poll_succeeded() and poll_state.born_ms == reply.born_ms:
            self.response_lost(now_s)
        if poll_state.is_overtaken(reply.born_ms, message.sent_s):
            log.info(
                "reply of a former process ignored",
                worker=worker.id,
                born_ms=reply.born_ms,
                current_born_ms=poll_state.born_ms,
                runs=len(reply.runs),
                ends=len(reply.ends),
            )
            return
        is_restart = poll_state.born_ms not in (0, reply.born_ms)
        if is_restart:
            self.workers.report_restart(
                worker, "reply", reply.born_ms, reply, failed_polls
            )
        has_newest_token = message.token == self.workers.token_of(worker.id)
        if not poll_state.reply_received(reply.born_ms, has_newest_token, now_s):
            # A call to the former process may still change what is listed.
            self.scheduler.worker_restarting(worker.id)
            poll_state.due_s = now_s
            return
        poll_state.ends_listed(min((end.number for end in reply.ends), default=0))
        if not worker.is_reachable:
            log.info("worker answers", worker=worker.id, runs=len(reply.runs))
        before = worker.last_end_number if worker.born_ms == reply.born_ms else 0
        if before or poll_state.has_seen_start:
            self.report_gap(worker.id, reply, before)
        self.scheduler.poll_answered(message.worker, reply, now_s)
        for end in reply.ends:
            self.dispatcher.run_ended(worker.id, end.task, end.run)
        self.audit.ends_listed(worker.id, reply, before, poll_state.acknowledged, now_s)
        # The worker responds at once while it lists ends.
        last_seen = poll_state.last_seen(worker.entry.born_ms)
        lists_ends = any(end.number > last_seen for end in reply.ends)
        poll_state.due_s = now_s + UNSTORED_POLL_INTERVAL_S if lists_ends else now_s
        runs_nothing = not worker.runs and not worker.has_orphaned_runs
        if not worker.is_registered and runs_nothing:
            poll_state.due_s = now_s + RETIRED_POLL_INTERVAL_S

    def report_gap(self, worker: WorkerId, reply: PollReply, last_number: int) -> None:
        """Log and count a gap after ``last_number`` in the numbers of listed ends.

        An acknowledgement meant for another process may have hidden the missing ends.
        """
        expected = last_number + 1
        for end in reply.ends:
            if end.number > expected:
                self.metrics.end_gaps.inc()
                log.error(
                    "gap in the ends of a worker",
                    worker=worker,
                    born_ms=reply.born_ms,
                    expected=expected,
                    listed=end.number,
                    acknowledged=self.workers.poll_states[worker].acknowledged,
                )
            expected = max(expected, end.number + 1)

    def handle_call_failure(self, message: CallFailed, now_s: float) -> None:
        """Mark a worker as unreachable, or give up the shard if it was fenced off.

        A poll that fails while another poll to the same worker succeeds counts as a
        lost response.
        """
        failure = message.failure
        worker = self.scheduler.ledger.workers.get(message.worker)
        poll_state = self.workers.poll_states.get(message.worker)
        if failure.is_fenced:
            # After a restart of the worker, it refuses calls with an older token.
            if message.token >= self.workers.token_of(message.worker):
                log.warning("fenced", worker=message.worker, token=message.token)
                self.mark_shard_lost()
            elif message.is_poll and poll_state is not None:
                poll_state.poll_ignored()
            return
        if poll_state is None:
            return
        if worker is None:
            if message.is_poll:
                poll_state.poll_ignored()
            return
        if (
            message.is_poll
            and not failure.is_refused
            and not failure.is_replaced
            and worker.last_reply_s > message.sent_s
        ):
            poll_state.poll_ignored()
            self.response_lost(now_s)
            return
        if worker.is_reachable:
            log.warning(
                "worker does not answer",
                worker=worker.id,
                reason=failure.detail,
                runs=len(worker.runs),
                silent_s=round(now_s - worker.last_reply_s, 3),
            )
        self.scheduler.worker_silent(message.worker, now_s, failure.has_timed_out)
        self.dispatcher.worker_silent(message.worker)
        if not message.is_poll:
            return
        is_refused = failure.is_refused or failure.is_replaced
        poll_state.poll_failed(now_s, is_refused, failure.is_replaced)
        if poll_state.replacements == REPLACED_THRESHOLD:
            self.worker_gone(message.worker, now_s)

    def response_lost(self, now_s: float) -> None:
        """Record that the response of a reachable worker was lost."""
        was_common = self.response_losses.are_common(now_s)
        self.response_losses.record_loss(now_s)
        self.metrics.lost_responses.inc()
        if not was_common and self.response_losses.are_common(now_s):
            log.warning("answers of workers are being lost")

    def worker_gone(self, worker: WorkerId, now_s: float) -> None:
        """Mark all runs of a worker as lost in whose place another process answers."""
        lost = self.scheduler.worker_gone(worker, now_s)
        log.warning("worker is gone", worker=worker, lost_runs=len(lost))

    def acknowledge(self, ends: AcknowledgedEnds, now_s: float) -> None:
        """Acknowledge stored run ends, which workers may then discard.

        The acknowledgement is sent with the next poll.
        """
        for worker_id, (born_ms, number) in ends.items():
            poll_state = self.workers.poll_states.get(worker_id)
            if poll_state is None or not poll_state.ends_stored(born_ms, number):
                continue
            if not poll_state.calls_in_flight:
                poll_state.due_s = now_s
