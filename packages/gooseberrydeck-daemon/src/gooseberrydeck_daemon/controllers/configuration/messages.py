"""Messages of the configuration controller, to its own inbox and between members."""

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
    "RecordUnreadable",
]


class AwaitConfiguration(PeerMessage, frozen=True):
    """Request a reply once the recipient holds ``number`` or a newer one."""

    number: int


class ConfigurationHeld(PeerMessage, frozen=True):
    """Reply with the number of the configuration that the sender holds."""

    number: int


class FetchConfiguration(PeerMessage, frozen=True):
    """Request the configuration that the recipient holds."""


class ConfigurationContent(PeerMessage, frozen=True):
    """Reply with the sender's encoded configuration record, empty if it has none."""

    record: bytes


class RecordFound(msgspec.Struct, frozen=True):
    """A record was received from the store, from a peer or from a publication."""

    record: VersionedRecord


class RecordUnreadable(msgspec.Struct, frozen=True):
    """A record or number could not be decoded; the configuration stays in force."""

    key: str
    reason: str


class NumberRead(msgspec.Struct, frozen=True):
    """The store's newest number was read by a call that was sent at ``sent_s``."""

    number: VersionNumber
    sent_s: float


class ConfigurationAwaited(msgspec.Struct, frozen=True):
    """A peer waits for a reply until this member holds ``number``."""

    sender: MemberId
    number: VersionNumber
    reply: Callable[[PeerMessage], None]


class FetchFailed(msgspec.Struct, frozen=True):
    """A peer did not return a usable configuration."""


ConfigurationMessage = (
    RecordFound | RecordUnreadable | NumberRead | ConfigurationAwaited | FetchFailed
)
