"""Messages about configurations and keys."""

import msgspec

from gooseberrydeck_configuration.checks.messages import Problem
from gooseberrydeck_configuration.differences import Difference
from gooseberrydeck_configuration.objects import Configuration, Key

__all__ = [
    "CheckResponse",
    "DifferenceResponse",
    "HistoryResponse",
    "KeyResponse",
    "KeysResponse",
    "PublicationResponse",
    "VersionHeader",
    "VersionResponse",
]


class VersionHeader(msgspec.Struct, frozen=True):
    """A published configuration without its content."""

    number: int
    publication: str = ""
    author: str = ""
    comment: str = ""
    published_s: float = 0.0


class VersionResponse(msgspec.Struct, frozen=True):
    """A published configuration.

    ``is_fresh`` tells whether the member knows that it is the newest.
    """

    header: VersionHeader
    configuration: Configuration
    is_fresh: bool = True


class HistoryResponse(msgspec.Struct, frozen=True):
    """Published configurations, the newest first."""

    versions: tuple[VersionHeader, ...]


class DifferenceResponse(msgspec.Struct, frozen=True):
    """What differs between two configurations."""

    before: int
    after: int
    differences: tuple[Difference, ...]


class CheckResponse(msgspec.Struct, frozen=True):
    """The problems of a proposed configuration, and what it would change."""

    number: int
    problems: tuple[Problem, ...]
    differences: tuple[Difference, ...]


class PublicationResponse(msgspec.Struct, frozen=True):
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


class KeyResponse(msgspec.Struct, frozen=True):
    """A granted or withdrawn key, and the publication that made it so.

    Secrets are made by who asks for a key; only their hashes reach a member.
    """

    id: str
    published: PublicationResponse


class KeysResponse(msgspec.Struct, frozen=True):
    """The keys of the configuration in force."""

    number: int
    keys: tuple[Key, ...]
