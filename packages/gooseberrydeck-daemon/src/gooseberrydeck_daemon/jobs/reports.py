"""Conversion of a worker's task reports for the scheduler."""

from gooseberrydeck_platform.workers import RunningState, TaskReport
from gooseberrydeck_scheduling import EndKind, TaskEnd

__all__ = ["is_ended", "to_task_end"]

END_KINDS = {
    RunningState.SUCCEEDED: EndKind.SUCCEEDED,
    RunningState.FAILED: EndKind.FAILED,
    RunningState.STOPPED: EndKind.STOPPED,
    RunningState.CHECKPOINTED: EndKind.CHECKPOINTED,
    RunningState.LEASE_LAPSED: EndKind.LOST,
}


def is_ended(report: TaskReport) -> bool:
    """Return True if a report describes a task that is no longer running."""
    return report.state is not RunningState.RUNNING


def to_task_end(report: TaskReport) -> TaskEnd:
    """Return the task end that a report describes."""
    return TaskEnd(
        report.task,
        END_KINDS[report.state],
        report.run_s,
        report.exit_code,
        report.result,
        report.checkpoint,
        report.usage,
    )
