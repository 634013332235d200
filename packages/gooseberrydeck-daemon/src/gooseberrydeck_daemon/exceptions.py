"""Failures of the daemon; each has a type of its own."""

__all__ = ["DaemonError", "SettingsInvalidError"]


class DaemonError(Exception):
    """The base of the daemon's own failures."""


class SettingsInvalidError(ExceptionGroup[DaemonError]):
    """Every problem that the checks found in the settings, told at once."""
