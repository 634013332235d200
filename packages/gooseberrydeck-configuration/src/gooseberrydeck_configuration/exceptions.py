"""Exceptions raised for invalid configurations and rejected keys."""

from collections.abc import Sequence

from gooseberrydeck_configuration.checks.messages import Problem

__all__ = [
    "AuthenticationError",
    "ConfigurationError",
    "ConfigurationInvalidError",
    "ConfigurationStaleError",
    "KeyAlreadyExistsError",
    "KeyMissingError",
    "KeyNotFoundError",
    "KeyUnknownError",
]


class ConfigurationError(Exception):
    """Base class of the exceptions of this package."""


class ConfigurationInvalidError(ConfigurationError):
    """The configuration is invalid; ``problems`` holds everything that was found."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """Create the exception from the problems of all files and checks."""
        self.problems = tuple(problems)
        super().__init__(f"the configuration has {len(self.problems)} problems")


class KeyNotFoundError(ConfigurationError):
    """The configuration has no key with the given id."""


class KeyAlreadyExistsError(ConfigurationError):
    """The id is already used by a different key."""


class AuthenticationError(ConfigurationError):
    """Base class of the reasons for rejecting a key."""


class KeyMissingError(AuthenticationError):
    """The request carries no key."""


class KeyUnknownError(AuthenticationError):
    """No key in the current configuration matches the secret."""


class ConfigurationStaleError(AuthenticationError):
    """The member cannot verify that its configuration is the newest."""
