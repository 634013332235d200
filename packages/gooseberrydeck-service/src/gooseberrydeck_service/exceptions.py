"""Failures of tasks."""

__all__ = ["TaskCrashedError"]


class TaskCrashedError(Exception):
    """A task ended by an exception, which is this error's cause."""

    def __init__(self, task_name: str) -> None:
        """Remember the name of the task."""
        super().__init__(f"task {task_name} crashed")
        self.task_name = task_name
