"""Messages about units, between members and to the limits task."""

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
    """Requests idle units of several of the receiver's shards at once.

    The team has waited for ``waited_s`` seconds on the requesting shard.
    """

    requests: tuple[SliceRequest, ...]
    waited_s: float = 0.0


class UnitsAnswer(PeerMessage, frozen=True):
    """The units that the receiver offers, possibly none.

    ``is_conclusive`` is false if units could not be offered regardless of what is idle:
    the record has changed since the request, or another shard has waited longer.
    """

    offers: tuple[SliceOffer, ...] = ()
    is_conclusive: bool = True


class UnitsRequested(msgspec.Struct, frozen=True):
    """Another member requests units."""

    inbound: Inbound


class MemberOffers(msgspec.Struct, frozen=True):
    """The offers of one member; None if its reply does not tell what is idle."""

    member: MemberId
    offers: tuple[SliceOffer, ...] | None


class OffersReceived(msgspec.Struct, frozen=True):
    """All members that were asked for units have replied or timed out."""

    team_shard: TeamShard
    units: int
    answers: tuple[MemberOffers, ...]


class RecordChanged(msgspec.Struct, frozen=True):
    """The store's watch delivered a new slice record."""

    entry: Entry


class WatchInterrupted(msgspec.Struct, frozen=True):
    """The watch may have missed changes, so all records must be read again."""


LimitsMessage = UnitsRequested | OffersReceived | RecordChanged | WatchInterrupted
