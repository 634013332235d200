"""Planning of changes to the roster."""

from collections.abc import Mapping, Set

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.roster import RosterRecord, Seat, leaves_no_majority
from gooseberrydeck_coordination.store import (
    Put,
    Store,
    Transaction,
    compare_unchanged,
)
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_coordination.timing import Timing

__all__ = ["RosterPlanner", "declare_dead"]


class RosterPlanner:
    """Plan the next roster from the members that have sessions.

    A change is made only once the previous one is settled. That is the case when the
    former seats that don't know of it are no majority, or when the change is older
    than ``Timing.peer_authority_limit_s``, so that no authority based on the former
    roster can still be valid.
    """

    def __init__(self, clock: Clock, timing: Timing) -> None:
        """Initialize without observations."""
        self.clock = clock
        self.timing = timing
        self.absent_since_s: dict[Seat, float] = {}
        self.version = 0
        self.version_since_s = 0.0

    def plan(
        self,
        roster: RosterRecord | None,
        members: Mapping[MemberId, MemberRecord],
        informed_seats: Set[Seat],
        unreadable: Set[MemberId] = frozenset(),
    ) -> RosterRecord | None:
        """Return the roster to write, or None if no change is due.

        ``informed_seats`` are the seats that have reported this version of the roster.
        Members whose records are ``unreadable`` may be running and keep their seats.
        """
        staying = {each.seat for each in members.values() if not each.is_leaving}
        if roster is None:
            return RosterRecord(1, tuple(sorted(staying))) if staying else None
        self._observe(roster, members, unreadable)
        if not roster.is_settled:
            return (
                roster.settled() if self._is_settled(roster, informed_seats) else None
            )
        removed = {
            seat
            for seat in roster.seats
            if seat.member not in unreadable and self._is_gone(seat, members)
        }
        added = staying - set(roster.seats)
        if not added and not removed:
            return None
        changed = roster.changed(added, removed)
        return changed if changed.seats else None

    def _observe(
        self,
        roster: RosterRecord,
        members: Mapping[MemberId, MemberRecord],
        unreadable: Set[MemberId],
    ) -> None:
        """Record when seats lost their session and when the version was first seen."""
        now_s = self.clock.monotonic()
        if roster.version != self.version:
            self.version, self.version_since_s = roster.version, now_s
        present = {each.seat for each in members.values()}
        self.absent_since_s = {
            seat: self.absent_since_s.get(seat, now_s)
            for seat in roster.seats
            if seat not in present and seat.member not in unreadable
        }

    def _is_settled(self, roster: RosterRecord, informed_seats: Set[Seat]) -> bool:
        """Return True if no member can rely on a majority of the former seats."""
        age_s = self.clock.monotonic() - self.version_since_s
        limit_s = self.timing.lengthen_for_drift(self.timing.peer_authority_limit_s)
        return (
            leaves_no_majority(roster.former_seats, informed_seats) or age_s > limit_s
        )

    def _is_gone(self, seat: Seat, members: Mapping[MemberId, MemberRecord]) -> bool:
        """Return True if a seat can be removed.

        Its member is leaving, has restarted, or has had no session for longer than
        ``Timing.forget_member_s``.
        """
        record = members.get(seat.member)
        if record is not None:
            return record.seat != seat or record.is_leaving
        absent_s = self.clock.monotonic() - self.absent_since_s[seat]
        return absent_s > self.timing.forget_member_s


def declare_dead(
    store: Store, keys: StoreKeys, dead: Set[Seat], timeout_s: float
) -> RosterRecord | None:
    """Remove seats whose processes have ended, as confirmed by an operator.

    This is needed after the loss of a majority at once. Until then, tasks of
    unreachable workers are placed again only after ``Timing.peer_authority_limit_s``.
    Return the roster that was written, or None if it changed concurrently or would
    have no seat left. Raise ``RecordUnreadableError`` if it can't be read.
    """
    entry = store.read(keys.roster, timeout_s)
    if entry is None:
        return None
    roster = decode_entry(entry, RosterRecord).without_dead(dead)
    if not roster.seats:
        return None
    put = Put(keys.roster, msgspec.json.encode(roster))
    change = Transaction((compare_unchanged(entry),), (put,))
    return roster if store.commit(change, timeout_s).succeeded else None
