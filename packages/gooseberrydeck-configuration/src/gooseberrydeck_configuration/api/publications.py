"""Response bodies of the configuration and key endpoints."""

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
    """Metadata of a published configuration."""

    number: int
    publication: str = ""
    author: str = ""
    comment: str = ""
    published_s: float = 0.0


class VersionResponse(msgspec.Struct, frozen=True):
    """A published configuration.

    ``is_fresh`` is True if the member has verified that it is the newest version.
    """

    header: VersionHeader
    configuration: Configuration
    is_fresh: bool = True


class HistoryResponse(msgspec.Struct, frozen=True):
    """Metadata of published configurations, newest first."""

    versions: tuple[VersionHeader, ...]


class DifferenceResponse(msgspec.Struct, frozen=True):
    """The differences between two published configurations."""

    before: int
    after: int
    differences: tuple[Difference, ...]


class CheckResponse(msgspec.Struct, frozen=True):
    """The result of checking a proposed configuration.

    ``differences`` are the changes relative to the configuration in force, which has
    the given ``number``.
    """

    number: int
    problems: tuple[Problem, ...]
    differences: tuple[Difference, ...]


class PublicationResponse(msgspec.Struct, frozen=True):
    """An accepted publication and its rollout state.

    ``confirmed`` and ``unconfirmed`` list the members by whether they have applied it.
    ``is_in_force`` is True if all members have confirmed it. ``is_guaranteed`` is True
    if enough members have confirmed it that no member can accept keys of an older
    configuration for long.
    """

    header: VersionHeader
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]
    is_in_force: bool
    is_guaranteed: bool
    problems: tuple[Problem, ...] = ()
    differences: tuple[Difference, ...] = ()


class KeyResponse(msgspec.Struct, frozen=True):
    """A granted or withdrawn key and the publication of that change.

    The client that requests a key generates its secret; members only receive the hash.
    """

    id: str
    published: PublicationResponse


class KeysResponse(msgspec.Struct, frozen=True):
    """The keys in the current configuration, which has the given ``number``."""

    number: int
    keys: tuple[Key, ...]
