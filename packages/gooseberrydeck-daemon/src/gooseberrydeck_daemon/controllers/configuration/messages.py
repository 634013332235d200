"""What the configuration's controller is told, and what members tell each other."""

from collections.abc import Callable

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.versioned import VersionedRecord, VersionNumber
from gooseberrydeck_daemon.peers import PeerMessage

__all__ = [
    "AwaitConfiguration",
    "ConfigurationContent",
    "ConfigurationHeld",
    "ConfigurationMessage",
    "FetchConfiguration",
    "FetchFailed",
    "NumberRead",
    "ConfigurationAwaited",
    "RecordFound",
]


class AwaitConfiguration(PeerMessage, frozen=True):
    """Ask a member to answer once it holds configuration ``number`` or a newer one."""

    number: int


class ConfigurationHeld(PeerMessage, frozen=True):
    """Tell which configuration the sender holds."""

    number: int


class FetchConfiguration(PeerMessage, frozen=True):
    """Ask a member for the configuration that it holds."""


class ConfigurationContent(PeerMessage, frozen=True):
    """The stored form of the configuration that the sender holds, or nothing."""

    record: bytes


class RecordFound(msgspec.Struct, frozen=True):
    """A record that came from the store, from a peer or from a publication."""

    record: VersionedRecord


class NumberRead(msgspec.Struct, frozen=True):
    """The store's newest number, by a read that was sent at ``sent_s``."""

    number: VersionNumber
    sent_s: float


class ConfigurationAwaited(msgspec.Struct, frozen=True):
    """A peer that waits until this member holds ``number``."""

    sender: MemberId
    number: VersionNumber
    reply: Callable[[PeerMessage], None]


class FetchFailed(msgspec.Struct, frozen=True):
    """A peer did not give its configuration."""


ConfigurationMessage = RecordFound | NumberRead | ConfigurationAwaited | FetchFailed
