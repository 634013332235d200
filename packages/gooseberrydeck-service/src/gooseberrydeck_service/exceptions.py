"""Exceptions raised when tasks fail."""

__all__ = ["TaskCrashedError"]


class TaskCrashedError(Exception):
    """A task raised an exception, which is set as the cause."""

    def __init__(self, task_name: str) -> None:
        """Create the error for the task with the given name."""
        super().__init__(f"task {task_name} crashed")
        self.task_name = task_name
