"""The registrations of workers, their connections and their fencing tokens."""

from collections.abc import Callable, Iterable, Set

import structlog

from gooseberrydeck_coordination.decoding import DecodingError
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_coordination.store import Entry, EventKind, WatchBatch
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.state import RunState, Worker
from gooseberrydeck_fleet.worker_calls import PollReply, WorkerCalls
from gooseberrydeck_member.known_ends import KnownEnds
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.worker_dispatcher import WorkerDispatcher
from gooseberrydeck_member.worker_polling import WorkerPollState, worker_token
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["WorkerRegistry"]

log = structlog.get_logger(__name__)

REGISTRATION = UnreadableEvent.REGISTRATION


class WorkerRegistry:
    """The workers that are polled, as registered and as recorded by a predecessor."""

    def __init__(
        self,
        scheduler: Scheduler,
        dispatcher: WorkerDispatcher,
        known_ends: KnownEnds,
        metrics: Metrics,
        unreadable: UnreadableLog,
        token: Epoch,
        connect: Callable[[Registration], WorkerCalls],
        decode_registration: Callable[[str, bytes], Registration],
        prefix: str,
        unknown_until_s: float,
    ) -> None:
        """Start without workers; their registrations have keys below ``prefix``.

        ``decode_registration`` raises ``DecodingError`` for entries that name no
        worker.
        ``token`` is the shard's. Runs of a predecessor on workers that don't answer
        have ended by ``unknown_until_s``.
        """
        self.scheduler = scheduler
        self.dispatcher = dispatcher
        self.known_ends = known_ends
        self.metrics = metrics
        self.unreadable = unreadable
        self.token = token
        self.connect = connect
        self.decode_registration = decode_registration
        self.prefix = prefix
        self.unknown_until_s = unknown_until_s
        # The workers on which a predecessor may have started tasks.
        self.recorded: Set[WorkerId] = frozenset()
        self.poll_states: dict[WorkerId, WorkerPollState] = {}
        # Restarts of workers that have been removed, and may register again.
        self.former_restarts: dict[WorkerId, int] = {}

    def predecessor_stopped(self, lease_expiry_s: float) -> None:
        """Limit how long workers are waited for that have not been added yet.

        The predecessor's confirmation may come before the stored workers are read.
        """
        self.unknown_until_s = min(self.unknown_until_s, lease_expiry_s)

    def registrations_changed(self, batch: WatchBatch, now_s: float) -> None:
        """Apply changes of registrations reported by the store."""
        for event in batch.events:
            if event.kind is EventKind.PUT:
                self.registration_changed(event.entry.key, event.entry.value, now_s)
            else:
                self.registration_removed(event.entry.key, now_s)

    def registrations_read(self, entries: tuple[Entry, ...], now_s: float) -> None:
        """Apply a complete read of the registrations."""
        listed = {entry.key for entry in entries}
        for entry in entries:
            self.registration_changed(entry.key, entry.value, now_s)
        self.unreadable.forget_missing(REGISTRATION, listed)
        for worker in list(self.poll_states):
            if self.prefix + worker not in listed:
                self.registration_removed(self.prefix + worker, now_s)

    def restore_recorded(self, recorded: Iterable[Registration], now_s: float) -> None:
        """Add the workers that a predecessor has recorded."""
        for entry in recorded:
            if entry.worker not in self.poll_states:
                # Its registration is gone or unreadable, but it may have runs.
                self.add_worker(entry, now_s)
                self.scheduler.worker_unregistered(entry.worker)
            self.scheduler.worker_recorded(entry, now_s)

    def registration_changed(self, key: str, value: bytes, now_s: float) -> None:
        """Add or update a worker from its registration."""
        try:
            entry = self.decode_registration(key, value)
        except DecodingError as error:
            self.registration_unreadable(key, value, str(error))
            return
        self.unreadable.forget(REGISTRATION, key)
        worker = self.scheduler.ledger.workers.get(entry.worker)
        if worker is not None and worker.entry.is_draining != entry.is_draining:
            log.info(
                "worker drains" if entry.is_draining else "worker is ready",
                worker=entry.worker,
                remaining_s=entry.remaining_s,
                runs=len(worker.runs),
            )
        self.add_worker(entry, now_s)

    def registration_unreadable(self, key: str, value: bytes, reason: str) -> None:
        """Ignore an entry that names no worker, and log each new reason for that.

        A worker that the entry named before starts nothing new, but may be alive.
        """
        self.metrics.unreadable_entries.labels("registration").inc()
        self.unreadable.report(REGISTRATION, key, reason, bytes=len(value))
        self.scheduler.worker_unreadable(WorkerId(key.removeprefix(self.prefix)))

    def add_worker(self, entry: Registration, now_s: float) -> None:
        """Register a worker with the scheduler and connect to its current address."""
        known = self.scheduler.ledger.workers.get(entry.worker)
        moved = known is not None and known.entry.address != entry.address
        if known is not None and entry.born_ms not in (0, known.entry.born_ms):
            self.registration_restarted(known, entry)
        # Runs started by a predecessor may still be active on the workers it recorded.
        is_recorded = entry.worker in self.recorded
        unknown_until_s = self.unknown_until_s if is_recorded else 0.0
        is_new = self.scheduler.worker_registered(entry, now_s, unknown_until_s)
        if is_new or moved:
            self.dispatcher.connect(entry.worker, self.connect(entry))
        if entry.worker not in self.poll_states:
            former = self.former_restarts.get(entry.worker)
            restarts = 0 if former is None else former + 1
            self.poll_states[entry.worker] = WorkerPollState(restarts)
        elif is_new:
            # It was forgotten while a poll of it was in flight.
            self.poll_states[entry.worker].restart_seen()

    def registration_restarted(self, worker: Worker, entry: Registration) -> None:
        """Raise the token for a worker whose registration is that of a new process."""
        poll_state = self.poll_states.get(worker.id)
        if poll_state is not None and poll_state.born_ms not in (0, entry.born_ms):
            self.report_restart(worker, "registration", entry.born_ms)
            poll_state.restart_seen()
            self.scheduler.worker_restarting(worker.id)

    def start_answered(
        self, worker_id: WorkerId, former_born_ms: int, born_ms: int, now_s: float
    ) -> None:
        """Raise the token for a worker whose next process has answered a start.

        ``former_born_ms`` is the process that the start was meant for, ``born_ms`` the
        one that answered, or 0 if that isn't known. Nothing is to be done if its
        restart is known and has been confirmed.
        """
        worker = self.scheduler.ledger.workers.get(worker_id)
        poll_state = self.poll_states.get(worker_id)
        if worker is None or poll_state is None:
            return
        if born_ms:
            is_known = poll_state.born_ms in (0, born_ms)
        else:
            is_known = poll_state.born_ms != former_born_ms
        if is_known and not poll_state.is_restart_unconfirmed:
            return
        if not poll_state.is_restart_unconfirmed:
            self.report_restart(worker, "start", born_ms)
            poll_state.restart_seen()
            poll_state.due_s = now_s
        self.scheduler.start_answered_by_next_process(worker_id, now_s)

    def registration_removed(self, key: str, now_s: float) -> None:
        """Unregister a worker whose registration was removed."""
        self.unreadable.forget(REGISTRATION, key)
        worker = WorkerId(key.removeprefix(self.prefix))
        log.info("worker entry removed", worker=worker)
        self.scheduler.worker_unregistered(worker)

    def forget(self, worker: WorkerId) -> None:
        """Forget a worker that is gone and has no polls in flight."""
        self.former_restarts[worker] = self.poll_states[worker].restarts
        self.known_ends.worker_forgotten(worker)
        self.dispatcher.worker_forgotten(worker)
        del self.poll_states[worker]

    def token_of(self, worker: WorkerId) -> Epoch:
        """Return the fencing token of calls that are sent to a worker now."""
        poll_state = self.poll_states.get(worker)
        if poll_state is not None:
            return worker_token(self.token, poll_state.restarts)
        return worker_token(self.token, self.former_restarts.get(worker, 0))

    def report_restart(
        self,
        worker: Worker,
        source: str,
        born_ms: int,
        reply: PollReply | None = None,
        failed_polls: int = 0,
    ) -> None:
        """Log and count that a worker's process was started again under its id."""
        self.metrics.worker_restarts.labels(source).inc()
        poll_state = self.poll_states[worker.id]
        numbers = [end.number for end in reply.ends] if reply is not None else []
        unanswered = (RunState.STARTING, RunState.UNCERTAIN)
        runs = worker.runs.values()
        log.warning(
            "worker restarted",
            worker=worker.id,
            source=source,
            born_ms=born_ms,
            former_born_ms=poll_state.born_ms,
            former_last_end=worker.last_end_number,
            former_acknowledged=poll_state.acknowledged,
            first_end=min(numbers, default=None),
            last_end=max(numbers, default=None),
            polls_in_flight=poll_state.calls_in_flight,
            failed_polls=failed_polls or poll_state.failures,
            unanswered_starts=sum(run.state in unanswered for run in runs),
            runs=len(runs),
        )
