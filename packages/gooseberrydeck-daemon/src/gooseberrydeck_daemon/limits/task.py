"""Task that keeps the slices of owned shards in line with limits and demand."""

import zlib
from collections.abc import Callable
from functools import partial
from typing import Protocol

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import RecordUnreadableError, StoreError
from gooseberrydeck_coordination.ids import Epoch, MemberId, Revision, ShardId, TeamName
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.slices import (
    SliceController,
    SliceLedger,
    SliceOffer,
    SliceRequest,
    TeamLimit,
)
from gooseberrydeck_coordination.slices.controller import MoveOutcome
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_daemon.limits.admission import TeamAdmission, TeamShard
from gooseberrydeck_daemon.limits.demand import DemandTracker
from gooseberrydeck_daemon.limits.messages import (
    LimitsMessage,
    MemberOffers,
    OffersReceived,
    RecordChanged,
    UnitsAnswer,
    UnitsRequest,
    UnitsRequested,
    WatchInterrupted,
)
from gooseberrydeck_daemon.limits.offers import (
    OfferCollector,
    make_offers,
    trim_offers,
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound, Peers
from gooseberrydeck_daemon.views import ConfigurationView
from gooseberrydeck_service.tasks import Task
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["LimitsTask", "OwnershipSource"]

TICK_S = 0.05
REQUEST_TIMEOUT_S = 0.5
OFFER_LIFETIME_S = 2.0
STORE_RETRY_S = 1.0


class OwnershipSource(Protocol):
    """Provides the newest view of ownership."""

    def view(self) -> OwnershipView:
        """Return the newest view."""


class LimitsTask(Task[LimitsMessage]):
    """Split, scale and transfer slices of team limits for the owned shards."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        keys: StoreKeys,
        shard_count: int,
        raise_delay_s: float,
        ownership: OwnershipSource,
        configuration: ConfigurationView,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        """Create the task; other components admit work with its ``admission``.

        The callbacks in ``on_change`` are called after slices of owned shards may have
        grown, so that work waiting for units can be retried.
        """
        super().__init__("limits", tick_s=TICK_S)
        self.store = store
        self.clock = clock
        self.keys = keys
        self.shards = tuple(ShardId(number) for number in range(shard_count))
        self.ownership = ownership
        self.configuration = configuration
        self.peers = peers
        self.metrics = metrics
        self.ledger = SliceLedger()
        self.unreadable = UnreadableLog(clock.monotonic)
        self.admission = TeamAdmission(self.ledger, metrics)
        self.demand = DemandTracker(clock)
        self.controller = SliceController(
            store,
            clock,
            self.ledger,
            self.shards,
            keys.slices_prefix,
            keys.shard,
            raise_delay_s,
            self.report_unreadable,
        )
        self.on_change: list[Callable[[], None]] = []
        self.owned_shards: dict[ShardId, tuple[Epoch, Revision]] = {}
        self.offered_at_s: dict[TeamName, float] = {}
        self.store_pause_until_s = 0.0

    # Thread-safe methods.

    def receive_request(self, inbound: Inbound) -> None:
        """Queue a peer's ``UnitsRequest``, or offer nothing if the inbox is full."""
        if not self.post(UnitsRequested(inbound)):
            inbound.reply(UnitsAnswer())

    # Methods that run on the task's thread only.

    def handle(self, message: LimitsMessage) -> None:
        """Handle one message, and run a tick if the inbox is empty."""
        match message:
            case UnitsRequested():
                self.reply_to_peer(message.inbound)
            case OffersReceived():
                self.accept(message)
            case RecordChanged():
                self.controller.observe(message.entry)
                self.notify_changed()
            case WatchInterrupted():
                self.call_store(self.controller.refresh_all)
                self.notify_changed()
        if self.inbox.empty():
            self.tick()

    def tick(self) -> None:
        """Apply ownership and configuration, and request units that are needed."""
        self.unreadable.summarize()
        self.sync_configuration()
        self.sync_ownership()
        for team_shard, units in self.admission.pop_demand().items():
            self.demand.record_refusal(team_shard, units)
        if self.is_store_paused():
            return
        self.void_expired_offers()
        self.demand.clear_satisfied(self.ledger.idle_units)
        for team_shard in self.demand.due():
            self.request_units(team_shard)

    def sync_configuration(self) -> None:
        """Apply the newest limits, and update the records that this member writes."""
        configuration = self.configuration.current
        if configuration.number > self.ledger.number:
            limits = limits_from(configuration)
            self.ledger.set_limits(configuration.number, limits)
        if self.is_store_paused():
            return
        if not self.ledger.is_confirmed:
            self.call_store(self.controller.refresh_all)
        # To avoid conflicting writes, only the owner of the shard that a team's name
        # hashes to rewrites the record of that team.
        self.call_store(lambda: self.controller.write_limits(self.is_writer_of))

    def report_unreadable(self, error: RecordUnreadableError) -> None:
        """Log and count a slice record that can't be read; its team has to wait."""
        self.metrics.count("limits.records.unreadable")
        # Called once for each revision: the record may have been repaired in between.
        self.unreadable.forget(UnreadableEvent.COORDINATION_RECORD, error.key)
        self.unreadable.report(
            UnreadableEvent.COORDINATION_RECORD, error.key, error.reason
        )

    def is_writer_of(self, team: TeamName) -> bool:
        """Return True if this member is responsible for rewriting a team's record."""
        shard = self.shards[zlib.crc32(team.encode()) % len(self.shards)]
        return shard in self.owned_shards

    def sync_ownership(self) -> None:
        """Add newly owned shards and remove those that are no longer owned."""
        owned = self.ownership.view().owned
        for shard, (epoch, _) in list(self.owned_shards.items()):
            if shard not in owned or owned[shard].epoch != epoch:
                self.ledger.remove_shard(shard)
                del self.owned_shards[shard]
        for shard, owned_shard in owned.items():
            if shard not in self.owned_shards and not self.is_store_paused():
                self.call_store(partial(self.add_shard, owned_shard))

    def add_shard(self, owned_shard: OwnedShard) -> None:
        """Start admitting work on a claimed shard."""
        self.controller.take_shard(owned_shard.shard, owned_shard.revision, {})
        self.owned_shards[owned_shard.shard] = (owned_shard.epoch, owned_shard.revision)
        self.notify_changed()

    def request_units(self, team_shard: TeamShard) -> None:
        """Request units from the members whose shards have units of the team."""
        team, recipient = team_shard
        if recipient not in self.owned_shards:
            return
        # Request at least a doubling of the slice, so that it grows to the full demand
        # in few rounds after a cold start.
        allowance = self.ledger.allowance(team, recipient)
        units = max(self.demand.mark_requested(team_shard), allowance)
        by_owner = self.by_owner(self.controller.requests_for(team, recipient, units))
        member = self.ownership.view().member
        waited_s = self.demand.waited_s(team_shard)
        own_reply = make_offers(
            self.ledger, self.demand, by_owner.pop(member, ()), waited_s
        )
        own = MemberOffers(member, own_reply.offers)
        chosen = self.demand.choose_members(team, by_owner)
        if not chosen:
            self.accept(OffersReceived(team_shard, units, (own,)))
            return
        collector = OfferCollector(
            len(chosen),
            lambda answers: self.post_offers(
                OffersReceived(team_shard, units, (own, *answers))
            ),
        )
        for peer in chosen:
            request = UnitsRequest(tuple(by_owner[peer]), waited_s)
            future = self.peers.request(peer, request, REQUEST_TIMEOUT_S)
            future.add_done_callback(partial(collector.add_reply, peer))

    def by_owner(
        self, requests: tuple[SliceRequest, ...]
    ) -> dict[MemberId, list[SliceRequest]]:
        """Return the requests grouped by the member that owns the donor shard."""
        view = self.ownership.view()
        by_owner: dict[MemberId, list[SliceRequest]] = {}
        for request in requests:
            owner = view.owner_of(request.donor)
            if owner is not None:
                by_owner.setdefault(owner, []).append(request)
        return by_owner

    def post_offers(self, received: OffersReceived) -> None:
        """Post collected offers to the inbox; if it is full, the offers expire."""
        if not self.post(received):
            self.metrics.count("limits.offers.dropped")

    def accept(self, received: OffersReceived) -> None:
        """Transfer offered units to an owned shard, at most as many as are needed."""
        team, recipient = received.team_shard
        own = self.ownership.view().member
        offers: list[SliceOffer] = []
        for answer in received.answers:
            offers.extend(answer.offers or ())
            if answer.member != own and answer.offers is not None:
                self.demand.record_reply(team, answer.member, bool(answer.offers))
        shard_claim = self.owned_shards.get(recipient)
        usable = trim_offers(offers, received.units)
        if shard_claim is None or not usable:
            return
        outcome = self.controller.accept_offers(recipient, shard_claim[1], usable)
        self.metrics.count(f"limits.moves.{outcome.value}")
        if outcome is MoveOutcome.MOVED:
            self.demand.record_units_received(received.team_shard)
        if outcome is MoveOutcome.STORE_OUT:
            self.pause_store()
        self.notify_changed()

    def reply_to_peer(self, inbound: Inbound) -> None:
        """Offer a peer the idle units of this member's shards."""
        requests: tuple[SliceRequest, ...] = inbound.message.requests
        waited_s: float = inbound.message.waited_s
        answer = make_offers(self.ledger, self.demand, requests, waited_s)
        now_s = self.clock.monotonic()
        for offer in answer.offers:
            self.offered_at_s[offer.team] = now_s
        inbound.reply(answer)

    def void_expired_offers(self) -> None:
        """Rewrite the records of teams whose offers were not accepted in time.

        Otherwise the offered units would stay unused until the record changes.
        """
        now_s = self.clock.monotonic()
        for team, offered_at_s in list(self.offered_at_s.items()):
            if not self.ledger.has_offers(team):
                del self.offered_at_s[team]
            elif now_s - offered_at_s > OFFER_LIFETIME_S:
                self.metrics.count("limits.offers.voided")
                self.call_store(partial(self.controller.void_offers, team))
                self.offered_at_s[team] = now_s

    def notify_changed(self) -> None:
        """Call the ``on_change`` callbacks."""
        for notify in self.on_change:
            notify()

    def call_store(self, call: Callable[[], object]) -> None:
        """Call the store, and pause further calls if it is unavailable."""
        try:
            is_unavailable = call() is MoveOutcome.STORE_OUT
        except StoreError:
            is_unavailable = True
        if is_unavailable:
            self.pause_store()

    def pause_store(self) -> None:
        """Make no calls to the store for ``STORE_RETRY_S`` seconds."""
        self.metrics.count("limits.store.failed")
        self.store_pause_until_s = self.clock.monotonic() + STORE_RETRY_S

    def is_store_paused(self) -> bool:
        """Return True if the store failed recently."""
        return self.clock.monotonic() < self.store_pause_until_s


def limits_from(configuration: Configuration) -> list[TeamLimit]:
    """Return the team limits of a configuration."""
    return [
        TeamLimit(limit.team, limit.max_running, configuration.number)
        for limit in configuration.limits
    ]
