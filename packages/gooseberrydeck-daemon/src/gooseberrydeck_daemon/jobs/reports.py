"""What a worker's report of a task means to the scheduler."""

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
    """Tell whether a task runs no more."""
    return report.state is not RunningState.RUNNING


def to_task_end(report: TaskReport) -> TaskEnd:
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
