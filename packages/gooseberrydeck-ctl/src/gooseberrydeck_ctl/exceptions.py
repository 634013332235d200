"""Exceptions and exit codes of gooseberryctl."""

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
    "UnauthorizedError",
    "UnreachableError",
    "UsageError",
]


class ExitCode(IntEnum):
    """Exit codes of gooseberryctl."""

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
    """Base class of errors that are reported to the operator."""

    exit_code = ExitCode.FAILED


class UsageError(CtlError):
    """A required option or environment variable is missing or malformed."""

    exit_code = ExitCode.USAGE


class InvalidError(CtlError):
    """The configuration is invalid; ``problems`` holds one line for each problem."""

    exit_code = ExitCode.INVALID

    def __init__(self, message: str, problems: Sequence[str]) -> None:
        """Create the exception with one line for each problem."""
        super().__init__(message)
        self.problems = tuple(problems)


class ConflictError(CtlError):
    """A newer configuration exists; ``changes`` holds one line for each difference."""

    exit_code = ExitCode.CONFLICT

    def __init__(self, message: str, changes: Sequence[Any]) -> None:
        """Create the exception with one line for each difference."""
        super().__init__(message)
        self.changes = tuple(changes)


class UnreachableError(CtlError):
    """No member answered, or the members cannot reach the store."""

    exit_code = ExitCode.UNREACHABLE


class UnauthorizedError(CtlError):
    """The operator's key is missing or unknown."""

    exit_code = ExitCode.REFUSED


class NotFoundError(CtlError):
    """The requested object does not exist."""

    exit_code = ExitCode.NOT_FOUND


class OutcomeUnknownError(CtlError):
    """It is unknown whether the request took effect."""

    exit_code = ExitCode.OUTCOME_UNKNOWN
