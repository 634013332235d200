"""What members ask each other, and what reaches the limits task."""

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.slices import SliceOffer, SliceRequest
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_daemon.limits.admission import TeamShard
from gooseberrydeck_daemon.peers import Inbound, PeerMessage

__all__ = [
    "LimitsMessage",
    "MemberOffers",
    "OffersReceived",
    "RecordChanged",
    "UnitsAnswer",
    "UnitsRequest",
    "UnitsRequested",
    "WatchInterrupted",
]


class UnitsRequest(PeerMessage, frozen=True):
    """Ask a member for idle units of several of its shards at once.

    The team has waited for ``waited_s`` seconds on the shard that asks.
    """

    requests: tuple[SliceRequest, ...]
    waited_s: float = 0.0


class UnitsAnswer(PeerMessage, frozen=True):
    """What the asked member gives up; it may be nothing.

    ``is_conclusive`` is false if nothing could be offered whatever is idle: the record
    has changed since the question was asked, or another shard has waited longer.
    """

    offers: tuple[SliceOffer, ...] = ()
    is_conclusive: bool = True


class UnitsRequested(msgspec.Struct, frozen=True):
    """Another member asks us for units."""

    inbound: Inbound


class MemberOffers(msgspec.Struct, frozen=True):
    """What one member offered; None if it gave no answer that tells what is idle."""

    member: MemberId
    offers: tuple[SliceOffer, ...] | None


class OffersReceived(msgspec.Struct, frozen=True):
    """Every member that was asked for units has answered or is too late."""

    team_shard: TeamShard
    units: int
    answers: tuple[MemberOffers, ...]


class RecordChanged(msgspec.Struct, frozen=True):
    """The store's watch has shown a new slice record."""

    entry: Entry


class WatchInterrupted(msgspec.Struct, frozen=True):
    """The watch had a gap, so every record has to be read again."""


LimitsMessage = UnitsRequested | OffersReceived | RecordChanged | WatchInterrupted
