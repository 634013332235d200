"""The coordination state of one member, free of any I/O."""

from collections.abc import Iterable

import msgspec

from gooseberrydeck_coordination.assignments import HostSpecification
from gooseberrydeck_coordination.attestation import (
    AttestationAnswer,
    AttestationRequest,
    Attestor,
    ShardEpoch,
)
from gooseberrydeck_coordination.authority import Authority, PeerContact
from gooseberrydeck_coordination.claimed_shards import (
    ClaimedShard,
    is_superseded,
    new_claimed_shard,
)
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    Epoch,
    HostName,
    MemberId,
    ShardId,
    StoreLeaseId,
)
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.rounds import RoundPlan, RoundResult, ShardRelease
from gooseberrydeck_coordination.snapshots import CellSnapshot
from gooseberrydeck_coordination.timing import Timing

__all__ = ["Coordinator", "OutgoingRequest"]

MAX_INFORMED_SEATS = 1_024


class OutgoingRequest(msgspec.Struct, frozen=True):
    """An attestation request and the member to send it to."""

    member: MemberId
    request: AttestationRequest


class SentRequest(msgspec.Struct, frozen=True):
    """A sent request that may still be answered."""

    member: MemberId
    sent_s: float
    held: tuple[ShardEpoch, ...]


class Coordinator:
    """Maintain a member's knowledge of the cell and derive what it may do.

    The caller runs each ``RoundPlan`` with ``StoreRounds`` and passes the result to
    ``apply_round``, carries requests and answers between members, and acts on
    ``view``. Lost, late, duplicated or reordered messages can cost a member its
    authority but never violate safety.
    """

    def __init__(self, record: MemberRecord, clock: Clock, timing: Timing) -> None:
        """Initialize without any contact to the store or to peers."""
        self.record = record
        self.clock = clock
        self.timing = timing
        self.attestor = Attestor(record.seat)
        self.authority = Authority(self.attestor, clock, timing)
        self.claimed_shards: dict[ShardId, ClaimedShard] = {}
        self.members: dict[MemberId, MemberRecord] = {}
        self.owners: dict[ShardId, MemberId] = {}
        self.shard_of_host: dict[HostName, ShardId] = {}
        self.hosts: tuple[HostSpecification, ...] = ()
        self.informed_seats: dict[Seat, int] = {}
        self.sent: dict[int, SentRequest] = {}
        self.last_number = 0
        self.rounds_planned = 0
        self.roster_round = 0
        self.verified_lease: StoreLeaseId | None = None
        self.is_leaving = False

    # Store rounds.

    def plan_round(self) -> RoundPlan:
        """Return the plan of the next store round."""
        self.rounds_planned += 1
        if self.is_leaving:
            self._release_next()
        version = self.attestor.roster_version
        return RoundPlan(
            releases=self._due_releases(),
            roster_version=version,
            informed_seats=frozenset(
                {
                    seat
                    for seat, known in self.informed_seats.items()
                    if known >= version
                }
                | {self.record.seat}
            ),
            hosts=self.hosts,
            is_leaving=self.is_leaving,
        )

    def apply_round(self, result: RoundResult) -> None:
        """Apply the result of the most recently planned round."""
        snapshot = result.snapshot
        if snapshot is not None:
            self.verified_lease = result.lease
            self.authority.record_read(result.session_sent_s)
            self._apply_snapshot(snapshot)
        # A reopened session gives authority only once the shards were read under it:
        # another member may have claimed them while there was no session.
        if result.lease is not None and result.lease == self.verified_lease:
            self.authority.record_session(result.session_sent_s)
        if result.handover is not None:
            self.begin_release(result.handover)
        self._check_claimed_shards()

    def observe_hosts(self, hosts: Iterable[HostSpecification]) -> None:
        """Replace the list of the platform's hosts, which are given shards if new."""
        self.hosts = tuple(hosts)

    # Attestation by peers.

    def attestation_requests(self) -> list[OutgoingRequest]:
        """Return a request for every other member.

        They must be sent immediately: authority is counted from the time of this call.
        """
        now_s = self.clock.monotonic()
        oldest_s = now_s - self.timing.session_ttl_s
        self.sent = {
            number: sent for number, sent in self.sent.items() if sent.sent_s > oldest_s
        }
        held = tuple(
            ShardEpoch(shard, claimed.epoch)
            for shard, claimed in sorted(self.claimed_shards.items())
        )
        seats = self.attestor.roster.seats if self.attestor.roster else ()
        names = {seat.member for seat in seats} | set(self.members)
        return [
            self._new_request(member, held, now_s)
            for member in sorted(names - {self.record.member})
        ]

    def on_request(self, request: AttestationRequest) -> AttestationAnswer:
        """Return the answer to another member's request."""
        answer = self.attestor.answer(request)
        self._record_informed(request.asker, request.roster_version)
        self._check_claimed_shards()
        return answer

    def on_answer(self, answer: AttestationAnswer) -> None:
        """Apply a peer's answer; one that matches no pending request is ignored."""
        sent = self.sent.get(answer.number)
        if answer.asker != self.record.seat or sent is None:
            return
        if sent.member != answer.answerer.member:
            return
        del self.sent[answer.number]
        self.attestor.observe_answer(answer)
        self.authority.record_peer_answer(PeerContact(sent.sent_s, sent.held, answer))
        self._record_informed(answer.answerer, answer.roster_version)
        for shard_epoch in sent.held:
            claimed = self.claimed_shards.get(shard_epoch.shard)
            if claimed is not None and claimed.epoch == shard_epoch.epoch:
                claimed.acknowledged.add(answer.answerer)
        self._check_claimed_shards()

    # Interface to the rest of the process.

    def view(self) -> OwnershipView:
        """Return an immutable view of the current ownership."""
        return OwnershipView(
            clock=self.clock,
            member=self.record.member,
            owned={
                shard: OwnedShard(
                    shard,
                    claimed.epoch,
                    claimed.revision,
                    self.authority.shard_deadline_s(shard, claimed.epoch),
                    claimed.quarantine,
                    claimed.release_s is not None,
                )
                for shard, claimed in self.claimed_shards.items()
            },
            owners=dict(self.owners),
            members=dict(self.members),
            shard_of_host=dict(self.shard_of_host),
        )

    def observe_configuration(self, number: ConfigurationNumber) -> None:
        """Record the number of a configuration that this member has."""
        self.attestor.observe_configuration(number)

    def mark_settled(self, shard: ShardId, epoch: Epoch, is_settled: bool) -> None:
        """Record whether every worker of an owned shard has been adopted."""
        claimed = self.claimed_shards.get(shard)
        if claimed is not None and claimed.epoch == epoch:
            claimed.is_settled = is_settled

    def begin_release(self, shard: ShardId) -> None:
        """Stop acting for a shard and release it once no sent call can take effect."""
        claimed = self.claimed_shards.get(shard)
        if claimed is not None and claimed.release_s is None:
            effect_s = self.timing.lengthen_for_drift(self.timing.call_effect_limit_s)
            claimed.release_s = self.clock.monotonic() + effect_s

    def mark_idle(self, shard: ShardId, epoch: Epoch) -> None:
        """Allow the release of a shard at once, as all of its calls were answered."""
        claimed = self.claimed_shards.get(shard)
        if claimed is None or claimed.epoch != epoch or claimed.release_s is None:
            return
        claimed.release_s = min(claimed.release_s, self.clock.monotonic())

    def begin_leaving(self) -> None:
        """Start to release the shards one by one; claim none and leave the roster."""
        self.is_leaving = True

    @property
    def has_left(self) -> bool:
        """Whether no shard is owned and this member's seat is off the roster.

        If every member is leaving, nobody remains to remove the seat, so it is not
        waited for.
        """
        if not self.is_leaving or self.claimed_shards:
            return False
        roster = self.attestor.roster
        is_seated = roster is not None and self.record.seat in roster.seats
        return not is_seated or all(each.is_leaving for each in self.members.values())

    def _new_request(
        self, member: MemberId, held: tuple[ShardEpoch, ...], now_s: float
    ) -> OutgoingRequest:
        """Return a new request to ``member`` and record its send time."""
        self.last_number += 1
        self.sent[self.last_number] = SentRequest(member, now_s, held)
        request = AttestationRequest(
            self.record.seat,
            self.last_number,
            self.attestor.roster_version,
            held,
            self.attestor.configuration,
        )
        return OutgoingRequest(member, request)

    def _apply_snapshot(self, snapshot: CellSnapshot) -> None:
        """Apply a snapshot of the cell and find this member's claims in it."""
        self.attestor.observe_store(snapshot.roster, snapshot.epochs())
        self.roster_round = self.rounds_planned
        self.members = snapshot.members
        self.owners = {
            shard: record.owner.member
            for shard, record in snapshot.shards.items()
            if not record.is_released
        }
        self.shard_of_host = snapshot.assignments.shards()
        own = {
            shard: record
            for shard, record in snapshot.shards.items()
            if record.owner == self.record.seat and not record.is_released
        }
        for shard in set(self.claimed_shards) - set(own):
            del self.claimed_shards[shard]
        for shard, record in own.items():
            known = self.claimed_shards.get(shard)
            if known is None or known.epoch != record.epoch:
                self.claimed_shards[shard] = new_claimed_shard(
                    record,
                    snapshot.shard_revisions[shard],
                    self.timing,
                    self.clock.monotonic(),
                    self.rounds_planned,
                )

    def _check_claimed_shards(self) -> None:
        """Drop superseded shards and update when predecessors were blocked."""
        now_s = self.clock.monotonic()
        roster = self.attestor.roster
        for shard, claimed in list(self.claimed_shards.items()):
            if is_superseded(claimed, shard, self.attestor.epochs):
                del self.claimed_shards[shard]
            elif roster is not None and self.roster_round > claimed.claim_round:
                claimed.acknowledged.add(self.record.seat)
                claimed.update_quorum_blocked(roster, now_s)

    def _release_next(self) -> None:
        """Start to release a shard unless one is being released already."""
        is_releasing = any(
            each.release_s is not None for each in self.claimed_shards.values()
        )
        if self.claimed_shards and not is_releasing:
            self.begin_release(min(self.claimed_shards))

    def _due_releases(self) -> tuple[ShardRelease, ...]:
        """Return the shards whose calls can no longer take effect."""
        now_s = self.clock.monotonic()
        due = [
            ShardRelease(shard, claimed.epoch, claimed.is_settled)
            for shard, claimed in sorted(self.claimed_shards.items())
            if claimed.release_s is not None and now_s >= claimed.release_s
        ]
        return tuple(due)

    def _record_informed(self, seat: Seat, version: int) -> None:
        """Record the newest roster version that a seat is known to have."""
        self.informed_seats[seat] = max(version, self.informed_seats.get(seat, 0))
        if len(self.informed_seats) > MAX_INFORMED_SEATS:
            del self.informed_seats[next(iter(self.informed_seats))]
