"""When a member may act: one rule for ownership, keys and configuration."""

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
"""A deadline that has always passed."""


class PeerContact(msgspec.Struct, frozen=True):
    """An answer of a peer, dated by when its request was sent."""

    sent_s: float
    held: tuple[ShardEpoch, ...]
    answer: AttestationAnswer

    def supports(self, shard_epoch: ShardEpoch) -> bool:
        """Tell whether the peer was asked about ``shard_epoch``.

        Had it known anything newer, the asker would have learned that with the answer.
        """
        return shard_epoch in self.held


class Authority:
    """Judge until when a member may act, from the send times of its contacts.

    It may act for a session's time to live after contact with the store, or after
    contact with more than half of the seats none of which has seen anything newer.
    The second holds for a limited time after the last read of the store only.

    One thread notes contacts; any may ask for deadlines, since contacts and roster
    are replaced, never changed, and a mixture of old and new is never too late.
    """

    def __init__(self, attestor: Attestor, clock: Clock, timing: Timing) -> None:
        """Begin without any contact."""
        self.attestor = attestor
        self.clock = clock
        self.timing = timing
        self.session_sent_s = NEVER_S
        """When the last keep-alive that succeeded was sent, in local seconds."""

        self.read_sent_s = NEVER_S
        """A time before the last read of roster and shards, in local seconds."""

        self.contacts: dict[Seat, PeerContact] = {}

    def record_session(self, sent_s: float) -> None:
        """Record a keep-alive that succeeded."""
        self.session_sent_s = max(self.session_sent_s, sent_s)

    def record_read(self, sent_s: float) -> None:
        """Record a read of roster and shards that was made after ``sent_s``."""
        self.read_sent_s = max(self.read_sent_s, sent_s)

    def record_peer_answer(self, contact: PeerContact) -> None:
        """Record an answer; answers to later requests replace earlier ones."""
        known = self.contacts.get(contact.answer.answerer)
        if known is None or contact.sent_s > known.sent_s:
            seats = self.attestor.roster.seats if self.attestor.roster else ()
            kept = {seat: each for seat, each in self.contacts.items() if seat in seats}
            self.contacts = {**kept, contact.answer.answerer: contact}

    def shard_deadline_s(self, shard: ShardId, epoch: Epoch) -> float:
        """Return until when the owner of ``shard`` at ``epoch`` may act."""
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
        """Return until when configuration ``number`` counts as fresh.

        ``read_sent_s`` is when the last read of the head that succeeded was sent.
        """
        if self.attestor.configuration > number:
            return NEVER_S
        return max(
            self.store_deadline_s(read_sent_s),
            self._peer_deadline_s(lambda peer: peer.answer.configuration <= number),
        )

    def store_deadline_s(self, sent_s: float) -> float:
        """Return until when a contact with the store supports this member."""
        return sent_s + self.timing.shorten_for_drift(self.timing.session_ttl_s)

    def _peer_deadline_s(self, supports: Callable[[PeerContact], bool]) -> float:
        """Return until when supporting contacts are more than half of the seats."""
        roster = self.attestor.roster
        if roster is None or not self.attestor.has_read_store:
            return NEVER_S
        limit_s = self.read_sent_s + self.timing.shorten_for_drift(
            self.timing.peer_authority_limit_s
        )
        sent_s = sorted(self._support_times(supports), reverse=True)
        for count, oldest_s in enumerate(sent_s, start=1):
            if is_majority(count, len(roster.seats)):
                lapse_s = oldest_s + self.timing.shorten_for_drift(
                    self.timing.session_ttl_s
                )
                return min(lapse_s, limit_s)
        return NEVER_S

    def _support_times(self, supports: Callable[[PeerContact], bool]) -> list[float]:
        """Return the send times of the supporting contacts with seated members."""
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
