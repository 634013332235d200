"""Deadlines until which a member may act.

Ownership of shards and freshness of the configuration follow the same rule.
"""

from collections.abc import Callable

import msgspec

from gooseberrydeck_coordination.attestation import (
    AttestationAnswer,
    Attestor,
    ShardEpoch,
)
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import ConfigurationNumber, Epoch, ShardId
from gooseberrydeck_coordination.roster import Seat, is_majority
from gooseberrydeck_coordination.timing import Timing

__all__ = ["Authority", "NEVER_S", "PeerContact"]

NEVER_S = float("-inf")
"""An earlier time than any other, so that a deadline set to it has passed."""


class PeerContact(msgspec.Struct, frozen=True):
    """The attestation answer of a peer and the time at which its request was sent."""

    sent_s: float
    held: tuple[ShardEpoch, ...]
    answer: AttestationAnswer

    def supports(self, shard_epoch: ShardEpoch) -> bool:
        """Return True if the request listed ``shard_epoch``.

        The answer names every newer epoch that the peer knows, and the asker records
        those, so the peer confirmed any listed epoch that has not been superseded.
        """
        return shard_epoch in self.held


class Authority:
    """Compute deadlines of authority from the send times of successful requests.

    A member may act for the session's time to live after it contacted the store, or
    after it contacted a majority of the roster's seats, provided that none of these
    has seen a newer epoch. Authority through peers also ends
    ``Timing.peer_authority_limit_s`` after the last read of the store.

    One thread records contacts, and any thread may compute deadlines. Contacts and
    roster are replaced, never modified, and a deadline computed from a mixture of old
    and new ones is never too late.
    """

    def __init__(self, attestor: Attestor, clock: Clock, timing: Timing) -> None:
        """Initialize without any contact, so that every deadline has passed."""
        self.attestor = attestor
        self.clock = clock
        self.timing = timing
        self.session_sent_s = NEVER_S
        """Send time of the last successful keep-alive, in local monotonic seconds."""

        self.read_sent_s = NEVER_S
        """A time before the last read of roster and shards began, in local monotonic
        seconds.
        """

        self.contacts: dict[Seat, PeerContact] = {}

    def record_session(self, sent_s: float) -> None:
        """Record a successful keep-alive of the session, sent at ``sent_s``."""
        self.session_sent_s = max(self.session_sent_s, sent_s)

    def record_read(self, sent_s: float) -> None:
        """Record a read of roster and shards that began after ``sent_s``."""
        self.read_sent_s = max(self.read_sent_s, sent_s)

    def record_peer_answer(self, contact: PeerContact) -> None:
        """Record a peer's answer, unless a later request was answered already.

        Contacts of members that are no longer in the roster are dropped.
        """
        known = self.contacts.get(contact.answer.answerer)
        if known is None or contact.sent_s > known.sent_s:
            seats = self.attestor.roster.seats if self.attestor.roster else ()
            kept = {seat: each for seat, each in self.contacts.items() if seat in seats}
            self.contacts = {**kept, contact.answer.answerer: contact}

    def shard_deadline_s(self, shard: ShardId, epoch: Epoch) -> float:
        """Return the time until which the owner of ``shard`` at ``epoch`` may act."""
        if self.attestor.epochs.get(shard, 0) > epoch:
            return NEVER_S
        shard_epoch = ShardEpoch(shard, epoch)
        return max(
            self.store_deadline_s(self.session_sent_s),
            self._peer_deadline_s(lambda peer: peer.supports(shard_epoch)),
        )

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return the time until which configuration ``number`` counts as fresh.

        ``read_sent_s`` is the send time of the last successful read of the head.
        """
        if self.attestor.configuration > number:
            return NEVER_S
        return max(
            self.store_deadline_s(read_sent_s),
            self._peer_deadline_s(lambda peer: peer.answer.configuration <= number),
        )

    def store_deadline_s(self, sent_s: float) -> float:
        """Return when the authority from a store request sent at ``sent_s`` expires."""
        return sent_s + self.timing.shorten_for_drift(self.timing.session_ttl_s)

    def _peer_deadline_s(self, supports: Callable[[PeerContact], bool]) -> float:
        """Return the time until which a majority of the seats supports this member.

        The majority is made of the most recent supporting contacts, so the authority
        expires with the oldest one of these.
        """
        roster = self.attestor.roster
        if roster is None or not self.attestor.has_read_store:
            return NEVER_S
        limit_s = self.read_sent_s + self.timing.shorten_for_drift(
            self.timing.peer_authority_limit_s
        )
        sent_s = sorted(self._support_times(supports), reverse=True)
        for count, oldest_s in enumerate(sent_s, start=1):
            if is_majority(count, len(roster.seats)):
                expiry_s = oldest_s + self.timing.shorten_for_drift(
                    self.timing.session_ttl_s
                )
                return min(expiry_s, limit_s)
        return NEVER_S

    def _support_times(self, supports: Callable[[PeerContact], bool]) -> list[float]:
        """Return the send times of supporting contacts, one for each supporting seat.

        This member supports itself at the current time.
        """
        roster = self.attestor.roster
        assert roster is not None
        times = []
        for seat in roster.seats:
            if seat == self.attestor.seat:
                times.append(self.clock.monotonic())
                continue
            contact = self.contacts.get(seat)
            if contact and contact.answer.attests and supports(contact):
                times.append(contact.sent_s)
        return times
