"""Failures of configurations and keys; each has a type of its own."""

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
    """The base of every failure of this package."""


class ConfigurationInvalidError(ConfigurationError):
    """A configuration has errors; ``problems`` lists all of them."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """Keep every problem."""
        self.problems = tuple(problems)
        super().__init__(f"the configuration has {len(self.problems)} problems")


class KeyNotFoundError(ConfigurationError):
    """There is no key of that id to withdraw."""


class KeyAlreadyExistsError(ConfigurationError):
    """A key of that id has been granted."""


class AuthenticationError(ConfigurationError):
    """The base of the reasons for taking no work with a key."""


class KeyMissingError(AuthenticationError):
    """The caller sent no key."""


class KeyUnknownError(AuthenticationError):
    """No key of the configuration in force has that secret."""


class ConfigurationStaleError(AuthenticationError):
    """A member cannot tell whether its configuration is the newest."""
