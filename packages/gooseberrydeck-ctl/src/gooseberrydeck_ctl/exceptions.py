"""Failures of gooseberryctl, each with its exit code."""

from collections.abc import Sequence
from enum import IntEnum
from typing import Any

__all__ = [
    "ConflictError",
    "CtlError",
    "ExitCode",
    "InvalidError",
    "NotFoundError",
    "OutcomeUnknownError",
    "RefusedError",
    "UnreachableError",
    "UsageError",
]


class ExitCode(IntEnum):
    """What an exit code of gooseberryctl means."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    REFUSED = 6
    NOT_FOUND = 7
    OUTCOME_UNKNOWN = 8
    NOT_IN_FORCE = 9


class CtlError(Exception):
    """The base of every failure; its text is what the operator reads."""

    exit_code = ExitCode.FAILED


class UsageError(CtlError):
    """The command line lacks something."""

    exit_code = ExitCode.USAGE


class InvalidError(CtlError):
    """A configuration has errors; ``problems`` are lines to print."""

    exit_code = ExitCode.INVALID

    def __init__(self, message: str, problems: Sequence[str]) -> None:
        """Keep the lines."""
        super().__init__(message)
        self.problems = tuple(problems)


class ConflictError(CtlError):
    """Another configuration was published; ``changes`` are lines to print."""

    exit_code = ExitCode.CONFLICT

    def __init__(self, message: str, changes: Sequence[Any]) -> None:
        """Keep the lines."""
        super().__init__(message)
        self.changes = tuple(changes)


class UnreachableError(CtlError):
    """No address answered, or the member cannot reach the store."""

    exit_code = ExitCode.UNREACHABLE


class RefusedError(CtlError):
    """The operator's key is missing or not known."""

    exit_code = ExitCode.REFUSED


class NotFoundError(CtlError):
    """There is nothing of that name."""

    exit_code = ExitCode.NOT_FOUND


class OutcomeUnknownError(CtlError):
    """The publication may or may not have been made."""

    exit_code = ExitCode.OUTCOME_UNKNOWN
