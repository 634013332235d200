"""Messages about configurations and keys."""

import msgspec

from gooseberrydeck_configuration.checks.messages import Problem
from gooseberrydeck_configuration.differences import Difference
from gooseberrydeck_configuration.objects import Configuration, Key

__all__ = [
    "CheckAnswer",
    "DifferenceAnswer",
    "HistoryAnswer",
    "KeyAnswer",
    "KeysAnswer",
    "PublishedAnswer",
    "VersionAnswer",
    "VersionHeader",
]


class VersionHeader(msgspec.Struct, frozen=True):
    """A published configuration without its content."""

    number: int
    publication: str = ""
    author: str = ""
    comment: str = ""
    published_s: float = 0.0


class VersionAnswer(msgspec.Struct, frozen=True):
    """A published configuration.

    ``is_fresh`` tells whether the member knows that it is the newest.
    """

    header: VersionHeader
    configuration: Configuration
    is_fresh: bool = True


class HistoryAnswer(msgspec.Struct, frozen=True):
    """Published configurations, the newest first."""

    versions: tuple[VersionHeader, ...]


class DifferenceAnswer(msgspec.Struct, frozen=True):
    """What differs between two configurations."""

    before: int
    after: int
    differences: tuple[Difference, ...]


class CheckAnswer(msgspec.Struct, frozen=True):
    """The problems of a proposed configuration, and what it would change."""

    number: int
    problems: tuple[Problem, ...]
    differences: tuple[Difference, ...]


class PublishedAnswer(msgspec.Struct, frozen=True):
    """An accepted publication, and which members hold it by now.

    ``is_in_force`` tells that every member confirmed it. ``is_guaranteed`` tells that
    so many did that no member can go on with older keys for long.
    """

    header: VersionHeader
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]
    is_in_force: bool
    is_guaranteed: bool
    problems: tuple[Problem, ...] = ()
    differences: tuple[Difference, ...] = ()


class KeyAnswer(msgspec.Struct, frozen=True):
    """A granted or withdrawn key, and the publication that made it so.

    Secrets are made by who asks for a key; only their hashes reach a member.
    """

    id: str
    published: PublishedAnswer


class KeysAnswer(msgspec.Struct, frozen=True):
    """The keys of the configuration in force."""

    number: int
    keys: tuple[Key, ...]
