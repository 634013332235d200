"""Conversion of a worker's task reports for the scheduler."""

from gooseberrydeck_platform.workers import TaskReport, WorkerTaskState
from gooseberrydeck_scheduling import EndKind, TaskEnd

__all__ = ["is_ended", "to_task_end"]

END_KINDS = {
    WorkerTaskState.SUCCEEDED: EndKind.SUCCEEDED,
    WorkerTaskState.FAILED: EndKind.FAILED,
    WorkerTaskState.STOPPED: EndKind.STOPPED,
    WorkerTaskState.CHECKPOINTED: EndKind.CHECKPOINTED,
    WorkerTaskState.LEASE_LAPSED: EndKind.LOST,
}


def is_ended(report: TaskReport) -> bool:
    """Return True if a report describes a task that is no longer running."""
    return report.state is not WorkerTaskState.RUNNING


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
