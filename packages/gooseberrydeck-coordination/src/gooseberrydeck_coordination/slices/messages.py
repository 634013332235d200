"""Messages between shard owners that move idle units of a limit."""

import msgspec

from gooseberrydeck_coordination.ids import Revision, ShardId, TeamName

__all__ = ["SliceOffer", "SliceRequest"]


class SliceRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request to the owner of ``donor`` for units of a team's limit.

    ``record_revision`` is the revision of the team's slice record that the requesting
    owner has seen. An offer is valid only for this revision.
    """

    team: TeamName
    donor: ShardId
    recipient: ShardId
    units: int
    record_revision: Revision


class SliceOffer(msgspec.Struct, frozen=True, array_like=True):
    """An offer of ``units`` of the donor's slice, valid while the record is unchanged.

    The donor has already stopped using the units. ``ownership_revision`` is the
    revision at which the donor's owner claimed its shard.
    """

    team: TeamName
    donor: ShardId
    recipient: ShardId
    units: int
    record_revision: Revision
    ownership_revision: Revision
