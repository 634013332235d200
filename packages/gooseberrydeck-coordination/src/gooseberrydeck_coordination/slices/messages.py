"""Messages by which the owners of shards move idle units of a limit."""

import msgspec

from gooseberrydeck_coordination.ids import Revision, ShardId, TeamName

__all__ = ["SliceOffer", "SliceRequest"]


class SliceRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask the owner of ``donor`` for units of a team's limit.

    ``record_revision`` is the revision of the team's slice record that the
    asking owner has seen; an offer is only good for that one.
    """

    team: TeamName
    donor: ShardId
    recipient: ShardId
    units: int
    record_revision: Revision


class SliceOffer(msgspec.Struct, frozen=True, array_like=True):
    """Give up ``units`` of the donor's slice, if the record is still the same.

    The donor has already stopped using the units. ``ownership_revision`` is the
    revision at which the donor's owner claimed its shard.
    """

    team: TeamName
    donor: ShardId
    recipient: ShardId
    units: int
    record_revision: Revision
    ownership_revision: Revision
