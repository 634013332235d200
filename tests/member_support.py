"""Support for tests of the scheduler's task."""

from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.worker_dispatcher import WorkerDispatcher


def use_dispatcher(task: SchedulerTask, dispatcher: WorkerDispatcher) -> None:
    """Replace the dispatcher of a task and of its parts."""
    task.dispatcher.close()
    task.dispatcher = dispatcher
    task.workers.dispatcher = dispatcher
    task.polls.dispatcher = dispatcher
