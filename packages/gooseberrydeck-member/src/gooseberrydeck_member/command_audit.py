"""The check of commands at the moment of sending, with its log lines and metrics."""

import structlog

from gooseberrydeck_fleet.commands import RunCommand, StartRun, StopRun
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.send_permission import Obstacle, SendObstacle
from gooseberrydeck_member.command_lanes import run_of
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.run_audit import RunAudit

__all__ = ["CommandAudit"]

log = structlog.get_logger(__name__)


class CommandAudit:
    """Check, log and count commands when they are handed to a thread or withdrawn."""

    def __init__(self, scheduler: Scheduler, runs: RunAudit, metrics: Metrics) -> None:
        """Check the commands of ``scheduler``, and their starts against known ends."""
        self.scheduler = scheduler
        self.runs = runs
        self.metrics = metrics

    def find_obstacle(
        self, command: RunCommand, is_repeat: bool, now_s: float
    ) -> Obstacle | None:
        """Return what forbids to send a command now, or None.

        A repeated start isn't refused like a first one, since its run may exist.
        """
        obstacle = self.scheduler.find_send_obstacle(command, now_s)
        if obstacle is not None or not isinstance(command, StartRun):
            return obstacle
        if is_repeat:
            may_start = self.runs.find_evidence(command) is None
        else:
            may_start = self.runs.admit_start(command, now_s)
        return None if may_start else SendObstacle.END_KNOWN

    def sending(
        self, command: RunCommand, is_repeat: bool, waited_s: float, now_s: float
    ) -> None:
        """Log the start of a run, and observe how long a command has waited."""
        if is_repeat:
            return
        kind = kind_of(command)
        self.metrics.command_wait_seconds.labels(kind).observe(waited_s)
        if isinstance(command, StartRun):
            self.runs.start_sent(command, waited_s, now_s)

    def withdrawn(
        self, command: RunCommand, is_repeat: bool, obstacle: Obstacle, waited_s: float
    ) -> None:
        """Log and count a command that is not sent."""
        kind = kind_of(command)
        self.metrics.commands_withdrawn.labels(kind, obstacle.value).inc()
        task, run = run_of(command)
        log.warning(
            f"{kind} withdrawn",
            job=task.job,
            task=task[1:],
            run=run,
            worker=command.worker,
            reason=obstacle.value,
            waited_s=round(waited_s, 3),
            was_sent=is_repeat,
        )


def kind_of(command: RunCommand) -> str:
    """Return the name of a command's kind, for logs and metrics."""
    if isinstance(command, StartRun):
        return "start"
    return "stop" if isinstance(command, StopRun) else "throttle"
