"""Failures of the daemon; each has a type of its own."""

__all__ = ["DaemonError", "SettingsInvalidError", "TaskCrashedError"]


class DaemonError(Exception):
    """The base of the daemon's own failures."""


class TaskCrashedError(DaemonError):
    """A task ended by an exception, which is this error's cause."""

    def __init__(self, task_name: str) -> None:
        """Remember the name of the task."""
        super().__init__(f"task {task_name} crashed")
        self.task_name = task_name


class SettingsInvalidError(ExceptionGroup[DaemonError]):
    """Every problem that the checks found in the settings, told at once."""
