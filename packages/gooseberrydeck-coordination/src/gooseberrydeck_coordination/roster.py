"""The roster: the members whose attestations count towards a majority.

A session ends with its store lease, but the roster remains until it is changed
explicitly, so that a member that is cut off from the store keeps its seat. A change is
settled once the former seats that have not learned of it are no majority; the next
change may be made only then. A member that knows a roster has seen every epoch claimed
before that roster was written, because it reads the shards after the roster or
receives both from a peer.
"""

from collections.abc import Iterable, Set

import msgspec

from gooseberrydeck_coordination.ids import MemberId

__all__ = ["RosterRecord", "Seat", "is_majority", "leaves_no_majority"]


class Seat(msgspec.Struct, frozen=True, order=True):
    """One run of a member in the roster; a restarted member needs a new seat."""

    member: MemberId
    incarnation: str


class RosterRecord(msgspec.Struct, frozen=True):
    """The current seats and, while the change is not settled, the former ones."""

    version: int
    seats: tuple[Seat, ...]
    former_seats: tuple[Seat, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Whether no member can rely on a majority of the former seats."""
        return not self.former_seats

    def changed(self, added: Iterable[Seat], removed: Iterable[Seat]) -> "RosterRecord":
        """Return the next version, with the current seats as the former ones."""
        seats = (set(self.seats) | set(added)) - set(removed)
        return RosterRecord(self.version + 1, tuple(sorted(seats)), self.seats)

    def settled(self) -> "RosterRecord":
        """Return this version without the former seats."""
        return RosterRecord(self.version, self.seats)

    def without_dead(self, dead: Set[Seat]) -> "RosterRecord":
        """Return the next version without seats that an operator declared dead.

        No other change relies on an operator's statement. It is safe only if the
        processes of these seats have certainly ended.
        """
        return RosterRecord(
            self.version + 1,
            tuple(seat for seat in self.seats if seat not in dead),
            tuple(seat for seat in self.former_seats if seat not in dead),
        )

    def is_blocked_by(self, acknowledged: Set[Seat]) -> bool:
        """Return True if every majority contains a seat that has acknowledged."""
        return leaves_no_majority(self.seats, acknowledged) and (
            self.is_settled or leaves_no_majority(self.former_seats, acknowledged)
        )


def is_majority(count: int, seats: int) -> bool:
    """Return True if ``count`` is more than half of ``seats``."""
    return 2 * count > seats


def leaves_no_majority(seats: Iterable[Seat], acknowledged: Set[Seat]) -> bool:
    """Return True if the seats that have not acknowledged are no majority."""
    seated = set(seats)
    return not is_majority(len(seated - acknowledged), len(seated))
