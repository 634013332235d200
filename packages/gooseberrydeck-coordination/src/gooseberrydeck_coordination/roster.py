"""The members whose word counts for authority while the store is out of reach.

Sessions come and go with store leases; the roster stays until it is changed on
purpose, so that a member cut off from the store keeps its seat. A change is settled
once no majority of the former seats is left that has not learned of it; only then may
the next change be made. Whoever knows a roster has seen every epoch claimed before
that roster was written: it reads the shards after the roster, or is told both.
"""

from collections.abc import Iterable, Set

import msgspec

from gooseberrydeck_coordination.ids import MemberId

__all__ = ["RosterRecord", "Seat", "is_majority", "leaves_no_majority"]


class Seat(msgspec.Struct, frozen=True, order=True):
    """One run of a member; a restarted member needs a new seat."""

    member: MemberId
    incarnation: str


class RosterRecord(msgspec.Struct, frozen=True):
    """The seats, and the former ones while the change is not settled."""

    version: int
    seats: tuple[Seat, ...]
    former_seats: tuple[Seat, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Tell whether nobody can lean on the former seats any more."""
        return not self.former_seats

    def changed(self, added: Iterable[Seat], removed: Iterable[Seat]) -> "RosterRecord":
        """Return the next roster; the present one becomes the former."""
        seats = (set(self.seats) | set(added)) - set(removed)
        return RosterRecord(self.version + 1, tuple(sorted(seats)), self.seats)

    def settled(self) -> "RosterRecord":
        """Return this roster with its change settled."""
        return RosterRecord(self.version, self.seats)

    def without_dead(self, dead: Set[Seat]) -> "RosterRecord":
        """Return the next roster after an operator has declared seats dead.

        That is the only change which rests on somebody's word: it is safe only if the
        processes of these seats have certainly ended.
        """
        return RosterRecord(
            self.version + 1,
            tuple(seat for seat in self.seats if seat not in dead),
            tuple(seat for seat in self.former_seats if seat not in dead),
        )

    def is_blocked_by(self, acknowledged: Set[Seat]) -> bool:
        """Tell whether every majority to lean on holds an acknowledging seat."""
        return leaves_no_majority(self.seats, acknowledged) and (
            self.is_settled or leaves_no_majority(self.former_seats, acknowledged)
        )


def is_majority(count: int, seats: int) -> bool:
    """Tell whether ``count`` is more than half of ``seats``."""
    return 2 * count > seats


def leaves_no_majority(seats: Iterable[Seat], acknowledged: Set[Seat]) -> bool:
    """Tell whether the seats that have not acknowledged are no majority."""
    seated = set(seats)
    return not is_majority(len(seated - acknowledged), len(seated))
