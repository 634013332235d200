"""What a worker's report of a task means to the scheduler."""

from gooseberrydeck_platform.workers import TaskReport, WorkerTaskState
from gooseberrydeck_scheduling import EndKind, TaskEnd

__all__ = ["is_ended", "task_end"]

END_KINDS = {
    WorkerTaskState.SUCCEEDED: EndKind.SUCCEEDED,
    WorkerTaskState.FAILED: EndKind.FAILED,
    WorkerTaskState.STOPPED: EndKind.STOPPED,
    WorkerTaskState.CHECKPOINTED: EndKind.CHECKPOINTED,
    WorkerTaskState.LEASE_LAPSED: EndKind.LOST,
}


def is_ended(report: TaskReport) -> bool:
    """Tell whether a task runs no more."""
    return report.state is not WorkerTaskState.RUNNING


def task_end(report: TaskReport) -> TaskEnd:
    """Return the end that a report tells of."""
    return TaskEnd(
        report.task,
        END_KINDS[report.state],
        report.run_s,
        report.exit_code,
        report.result,
        report.checkpoint,
        report.usage,
    )
