"""Records of the members of a cell in the store."""

import msgspec

from gooseberrydeck_coordination.exceptions import RecordUnreadableError
from gooseberrydeck_coordination.ids import DataCentre, MemberId
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.store import Entry
from gooseberrydeck_coordination.stored_records import decode_entry

__all__ = ["MemberRecord", "decode_member", "member_of"]


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


def decode_member(entry: Entry) -> MemberRecord:
    """Return a member's record; raise ``RecordUnreadableError`` if it is malformed.

    A record of another member than the key's counts as malformed.
    """
    record = decode_entry(entry, MemberRecord)
    if record.member != member_of(entry):
        raise RecordUnreadableError(entry.key, "the record is of another member")
    return record


def member_of(entry: Entry) -> MemberId:
    """Return the member whose record an entry contains, by its key."""
    return MemberId(entry.key.rsplit("/", 1)[-1])
