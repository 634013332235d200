"""Whether a command that was decided on may still be sent.

A command may have to wait for a thread. What it rested on is checked again at the
moment of sending, by the same functions as when it was decided.
"""

from enum import Enum

from gooseberrydeck_coordination.resources import NO_RESOURCES
from gooseberrydeck_fleet.commands import RunCommand, StartRun, StopRun, ThrottleRun
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.start_permission import StartObstacle, find_run_obstacle
from gooseberrydeck_fleet.state import Run, RunState, Worker, WorkerObstacle

__all__ = ["Obstacle", "SendObstacle", "SendPermission"]


class SendObstacle(Enum):
    """What forbids to send a command, besides what forbids to decide on it."""

    NO_AUTHORITY = "no_authority"
    WORKER_FORGOTTEN = "worker_forgotten"
    WORKER_SILENT = "worker_silent"
    WORKER_REPLACED = "worker_replaced"
    RUN_ENDED = "run_ended"
    RUN_STOPPED = "run_stopped"
    RUN_REPORTED = "run_reported"
    END_KNOWN = "end_known"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    CAPACITY_EXCEEDED = "capacity_exceeded"
    WORKER_SHARE_EXCEEDED = "worker_share_exceeded"
    LABEL_REMOVED = "label_removed"
    QUEUE_REROUTED = "queue_rerouted"
    LIMIT_EXCEEDED = "limit_exceeded"
    TICKET_INVALID = "ticket_invalid"


Obstacle = StartObstacle | WorkerObstacle | SendObstacle


class SendPermission:
    """Check commands at the moment of sending."""

    def __init__(self, ledger: Ledger, placer: Placer) -> None:
        """Check commands about the runs of one ledger."""
        self.ledger = ledger
        self.placer = placer

    def find_obstacle(self, command: RunCommand, now_s: float) -> Obstacle | None:
        """Return what forbids to send a command, or None if it may be sent.

        Stops are always sent, also for runs that this scheduler doesn't know.
        """
        worker = self.ledger.workers.get(command.worker)
        if worker is None:
            return SendObstacle.WORKER_FORGOTTEN
        if isinstance(command, StopRun):
            return None
        if isinstance(command, ThrottleRun):
            run = worker.runs.get((command.task, command.run))
            return find_throttle_obstacle(run)
        return self.find_start_obstacle(command, worker, now_s)

    def find_start_obstacle(
        self, command: StartRun, worker: Worker, now_s: float
    ) -> Obstacle | None:
        """Return what forbids to send a start."""
        request = command.request
        run = worker.runs.get((request.task, request.run))
        if run is None:
            return SendObstacle.RUN_ENDED
        return (
            find_run_obstacle(run)
            or find_state_obstacle(run)
            or worker.find_obstacle()
            or self.find_process_obstacle(command, worker, now_s)
            or self.find_room_obstacle(run)
            or self.find_ticket_obstacle(command, run, now_s)
        )

    def find_process_obstacle(
        self, command: StartRun, worker: Worker, now_s: float
    ) -> Obstacle | None:
        """Return what forbids a start by its validity, on the worker's clock.

        The clock of another process says nothing about it.
        """
        if worker.born_ms != command.born_ms:
            return SendObstacle.WORKER_REPLACED
        if worker.clock_at(now_s) >= command.request.lease_until_ms:
            return SendObstacle.EXPIRED
        return None

    def find_room_obstacle(self, run: Run) -> Obstacle | None:
        """Return what forbids a start by its worker's room or its team's limit.

        The run itself is counted in both.
        """
        worker, step = run.worker, run.task.step
        if worker.entry.service != step.job.queue.service:
            return SendObstacle.QUEUE_REROUTED
        if not self.placer.has_label(worker, step):
            return SendObstacle.LABEL_REMOVED
        if not NO_RESOURCES.fits_in(worker.free):
            return SendObstacle.CAPACITY_EXCEEDED
        most = step.spec.max_per_worker
        if most and self.placer.count_runs(worker, step) > most:
            return SendObstacle.WORKER_SHARE_EXCEEDED
        if not self.ledger.quotas.still_allows(run.team, run.quota_usage):
            return SendObstacle.LIMIT_EXCEEDED
        return None

    def find_ticket_obstacle(
        self, command: StartRun, run: Run, now_s: float
    ) -> Obstacle | None:
        """Return what forbids a start by its ticket, if its queue requires advice."""
        worker, step = run.worker, run.task.step
        if step.job.queue.advice is None:
            return None
        ticket = step.advice.ticket(worker.id, worker.born_ms, now_s)
        is_valid = ticket is not None and ticket == command.request.ticket
        return None if is_valid else SendObstacle.TICKET_INVALID


def find_state_obstacle(run: Run) -> Obstacle | None:
    """Return what forbids to start a run by its state."""
    if run.state is RunState.STARTING:
        return None
    if run.state is RunState.STOPPING:
        return SendObstacle.RUN_STOPPED
    return SendObstacle.RUN_REPORTED


def find_throttle_obstacle(run: Run | None) -> Obstacle | None:
    """Return what forbids to set the speed of a run."""
    if run is None:
        return SendObstacle.RUN_ENDED
    return SendObstacle.RUN_STOPPED if run.state is RunState.STOPPING else None
