"""When the roster is changed, and when a change is settled."""

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
from gooseberrydeck_coordination.timing import Timing

__all__ = ["RosterPlanner", "declare_dead"]


class RosterPlanner:
    """Plan the next roster from the members that have sessions.

    A change waits until the one before is settled: no majority of the former seats is
    left that does not know of it, or nobody can have acted on the former roster for
    longer than authority without the store lasts.
    """

    def __init__(self, clock: Clock, timing: Timing) -> None:
        """Begin without history."""
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
    ) -> RosterRecord | None:
        """Return the roster to write, or None to leave it.

        ``informed_seats`` are the seats that have told that they know this version.
        """
        staying = {each.seat for each in members.values() if not each.is_leaving}
        if roster is None:
            return RosterRecord(1, tuple(sorted(staying))) if staying else None
        self._observe(roster, members)
        if not roster.is_settled:
            return (
                roster.settled() if self._is_settled(roster, informed_seats) else None
            )
        removed = {seat for seat in roster.seats if self._is_gone(seat, members)}
        added = staying - set(roster.seats)
        if not added and not removed:
            return None
        changed = roster.changed(added, removed)
        return changed if changed.seats else None

    def _observe(
        self, roster: RosterRecord, members: Mapping[MemberId, MemberRecord]
    ) -> None:
        """Note since when seats have had no session, and since when the version is."""
        now_s = self.clock.monotonic()
        if roster.version != self.version:
            self.version, self.version_since_s = roster.version, now_s
        present = {each.seat for each in members.values()}
        self.absent_since_s = {
            seat: self.absent_since_s.get(seat, now_s)
            for seat in roster.seats
            if seat not in present
        }

    def _is_settled(self, roster: RosterRecord, informed_seats: Set[Seat]) -> bool:
        """Tell whether nobody can lean on the former seats any more."""
        age_s = self.clock.monotonic() - self.version_since_s
        limit_s = self.timing.lengthen_for_drift(self.timing.peer_authority_limit_s)
        return (
            leaves_no_majority(roster.former_seats, informed_seats) or age_s > limit_s
        )

    def _is_gone(self, seat: Seat, members: Mapping[MemberId, MemberRecord]) -> bool:
        """Tell whether a seat is free: leaving, restarted or long absent."""
        record = members.get(seat.member)
        if record is not None:
            return record.seat != seat or record.is_leaving
        absent_s = self.clock.monotonic() - self.absent_since_s[seat]
        return absent_s > self.timing.forget_member_s


def declare_dead(
    store: Store, keys: StoreKeys, dead: Set[Seat], timeout_s: float
) -> RosterRecord | None:
    """Take seats off the roster on an operator's word that their processes ended.

    It is needed where a majority was lost at once: what ran on workers that cannot be
    reached is placed again only after it, or after the limit of authority without the
    store. Return the roster written, or None if it changed meanwhile or leaves no seat.
    """
    entry = store.read(keys.roster, timeout_s)
    if entry is None:
        return None
    roster = msgspec.json.decode(entry.value, type=RosterRecord).without_dead(dead)
    if not roster.seats:
        return None
    put = Put(keys.roster, msgspec.json.encode(roster))
    change = Transaction((compare_unchanged(entry),), (put,))
    return roster if store.commit(change, timeout_s).succeeded else None
