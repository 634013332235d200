"""Exceptions of the daemon."""

__all__ = ["DaemonError", "SettingsInvalidError"]


class DaemonError(Exception):
    """Base class of the daemon's exceptions."""


class SettingsInvalidError(ExceptionGroup[DaemonError]):
    """Raised for invalid settings; contains one exception for each problem."""
