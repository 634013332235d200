"""Records of the members of a cell in the store."""

from collections.abc import Iterable

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, MemberId
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.store import Entry

__all__ = ["MemberRecord", "decode_members"]


class MemberRecord(msgspec.Struct, frozen=True):
    """A running member; each start of the process has a new ``incarnation``."""

    member: MemberId
    incarnation: str
    address: str
    port: int
    data_centre: DataCentre
    public_key: str = ""
    is_leaving: bool = False

    @property
    def seat(self) -> Seat:
        """The roster seat of this run of the member."""
        return Seat(self.member, self.incarnation)


def decode_members(entries: Iterable[Entry]) -> dict[MemberId, MemberRecord]:
    """Return the member records in entries read under the members' prefix."""
    records = (msgspec.json.decode(entry.value, type=MemberRecord) for entry in entries)
    return {record.member: record for record in records}
