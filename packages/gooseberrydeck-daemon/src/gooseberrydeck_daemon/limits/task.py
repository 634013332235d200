"""The task that keeps this member's slices up to limits and demand."""

import zlib
from collections.abc import Callable
from functools import partial
from typing import Protocol

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import StoreError
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
from gooseberrydeck_daemon.limits.admission import Slot, TeamAdmission
from gooseberrydeck_daemon.limits.demand import DemandBook
from gooseberrydeck_daemon.limits.messages import (
    LimitsMessage,
    MemberOffers,
    OffersArrived,
    PeerAsked,
    RecordChanged,
    RecordsLost,
    UnitsAnswer,
    UnitsRequest,
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

__all__ = ["LimitsTask", "OwnershipSource"]

TICK_S = 0.05
ASK_TIMEOUT_S = 0.5
OFFER_LIFETIME_S = 2.0
STORE_RETRY_S = 1.0


class OwnershipSource(Protocol):
    """Where the newest picture of ownership comes from."""

    def view(self) -> OwnershipView:
        """Return the newest picture."""


class LimitsTask(Task[LimitsMessage]):
    """Split, scale and move the slices of team limits for the owned shards."""

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
        """Wire the parts; ``admission`` is what the other parts admit with.

        Every ``on_change`` is called after the slices of owned shards may have
        grown, so that work which waits for units can be tried again.
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
        self.admission = TeamAdmission(self.ledger, metrics)
        self.demand = DemandBook(clock)
        self.controller = SliceController(
            store,
            clock,
            self.ledger,
            self.shards,
            keys.slices_prefix,
            keys.shard,
            raise_delay_s,
        )
        self.on_change: list[Callable[[], None]] = []
        self.held: dict[ShardId, tuple[Epoch, Revision]] = {}
        self.offered_at_s: dict[TeamName, float] = {}
        self.store_pause_until_s = 0.0

    # Called from any thread.

    def receive_request(self, inbound: Inbound) -> None:
        """Take a peer's ``UnitsRequest``; offer nothing at once if we are too busy."""
        if not self.post(PeerAsked(inbound)):
            inbound.answer(UnitsAnswer())

    # Called in the task only.

    def handle(self, message: LimitsMessage) -> None:
        """Act on one message, and on what is due once no more wait."""
        match message:
            case PeerAsked():
                self.answer_peer(message.inbound)
            case OffersArrived():
                self.accept(message)
            case RecordChanged():
                self.controller.observe(message.entry)
                self.tell_change()
            case RecordsLost():
                self.ask_store(self.controller.refresh_all)
                self.tell_change()
        if self.inbox.empty():
            self.tick()

    def tick(self) -> None:
        """Follow ownership and configuration, and ask for units that are wanted."""
        self.follow_configuration()
        self.sync_ownership()
        for slot, units in self.admission.take_wanted().items():
            self.demand.want(slot, units)
        if self.is_store_paused():
            return
        self.void_old_offers()
        self.demand.note_idle(self.ledger.idle_units)
        for slot in self.demand.due():
            self.ask_for_units(slot)

    def follow_configuration(self) -> None:
        """Put the newest limits in force, and write the records they concern."""
        configuration = self.configuration.current
        if configuration.number > self.ledger.number:
            limits = limits_of(configuration)
            self.ledger.set_limits(configuration.number, limits)
        if self.is_store_paused():
            return
        if not self.ledger.is_confirmed:
            self.ask_store(self.controller.refresh_all)
        # One member writes a team's record: the owner of a shard that depends on its
        # name, so that members don't race for every record.
        self.ask_store(lambda: self.controller.write_limits(self.is_writer_of))

    def is_writer_of(self, team: TeamName) -> bool:
        """Tell whether this member is the one to rewrite a team's record."""
        shard = self.shards[zlib.crc32(team.encode()) % len(self.shards)]
        return shard in self.held

    def sync_ownership(self) -> None:
        """Begin with shards that are newly owned, and end with those that are not."""
        owned = self.ownership.view().owned
        for shard, (epoch, _) in list(self.held.items()):
            if shard not in owned or owned[shard].epoch != epoch:
                self.ledger.remove_shard(shard)
                del self.held[shard]
        for shard, holding in owned.items():
            if shard not in self.held and not self.is_store_paused():
                self.ask_store(partial(self.take_shard, holding))

    def take_shard(self, holding: OwnedShard) -> None:
        """Begin to admit on a shard that was claimed."""
        self.controller.take_shard(holding.shard, holding.revision, {})
        self.held[holding.shard] = (holding.epoch, holding.revision)
        self.tell_change()

    def ask_for_units(self, slot: Slot) -> None:
        """Ask members whose shards have units of a team that waits."""
        team, recipient = slot
        if recipient not in self.held:
            return
        # A slice is doubled at the least, so that a cold start takes few rounds.
        allowance = self.ledger.allowance(team, recipient)
        units = max(self.demand.note_asked(slot), allowance)
        by_owner = self.by_owner(self.controller.requests_for(team, recipient, units))
        member = self.ownership.view().member
        waited_s = self.demand.waited_s(slot)
        own_answer = make_offers(
            self.ledger, self.demand, by_owner.pop(member, ()), waited_s
        )
        own = MemberOffers(member, own_answer.offers)
        chosen = self.demand.choose(team, by_owner)
        if not chosen:
            self.accept(OffersArrived(slot, units, (own,)))
            return
        collector = OfferCollector(
            len(chosen),
            lambda answers: self.note_offers(
                OffersArrived(slot, units, (own, *answers))
            ),
        )
        for peer in chosen:
            request = UnitsRequest(tuple(by_owner[peer]), waited_s)
            future = self.peers.ask(peer, request, ASK_TIMEOUT_S)
            future.add_done_callback(partial(collector.take, peer))

    def by_owner(
        self, requests: tuple[SliceRequest, ...]
    ) -> dict[MemberId, list[SliceRequest]]:
        """Return requests by the member that owns the donor shard."""
        view = self.ownership.view()
        by_owner: dict[MemberId, list[SliceRequest]] = {}
        for request in requests:
            owner = view.owner_of(request.donor)
            if owner is not None:
                by_owner.setdefault(owner, []).append(request)
        return by_owner

    def note_offers(self, arrived: OffersArrived) -> None:
        """Hand gathered offers to the task; offers that are dropped only expire."""
        if not self.post(arrived):
            self.metrics.count("limits.offers.dropped")

    def accept(self, arrived: OffersArrived) -> None:
        """Move offered units to an owned shard, as many as are wanted."""
        team, recipient = arrived.slot
        own = self.ownership.view().member
        offers: list[SliceOffer] = []
        for answer in arrived.answers:
            offers.extend(answer.offers or ())
            if answer.member != own and answer.offers is not None:
                self.demand.note_answer(team, answer.member, bool(answer.offers))
        held = self.held.get(recipient)
        usable = trim_offers(offers, arrived.units)
        if held is None or not usable:
            return
        outcome = self.controller.accept_offers(recipient, held[1], usable)
        self.metrics.count(f"limits.moves.{outcome.value}")
        if outcome is MoveOutcome.MOVED:
            self.demand.note_met(arrived.slot)
        if outcome is MoveOutcome.STORE_OUT:
            self.pause_store()
        self.tell_change()

    def answer_peer(self, inbound: Inbound) -> None:
        """Offer a peer what is idle on our shards."""
        requests: tuple[SliceRequest, ...] = inbound.message.requests
        waited_s: float = inbound.message.waited_s
        answer = make_offers(self.ledger, self.demand, requests, waited_s)
        now_s = self.clock.monotonic()
        for offer in answer.offers:
            self.offered_at_s[offer.team] = now_s
        inbound.answer(answer)

    def void_old_offers(self) -> None:
        """Write records anew whose offers nobody has taken up for too long.

        Without it the units would stay unused until the record changes.
        """
        now_s = self.clock.monotonic()
        for team, offered_at_s in list(self.offered_at_s.items()):
            if not self.ledger.has_offers(team):
                del self.offered_at_s[team]
            elif now_s - offered_at_s > OFFER_LIFETIME_S:
                self.metrics.count("limits.offers.voided")
                self.ask_store(partial(self.controller.void_offers, team))
                self.offered_at_s[team] = now_s

    def tell_change(self) -> None:
        """Let work that waits for units be tried again."""
        for notify in self.on_change:
            notify()

    def ask_store(self, call: Callable[[], object]) -> None:
        """Make calls to the store, and leave it alone for a while if they fail."""
        try:
            is_out = call() is MoveOutcome.STORE_OUT
        except StoreError:
            is_out = True
        if is_out:
            self.pause_store()

    def pause_store(self) -> None:
        """Leave the store alone for a while."""
        self.metrics.count("limits.store.failed")
        self.store_pause_until_s = self.clock.monotonic() + STORE_RETRY_S

    def is_store_paused(self) -> bool:
        """Tell whether the store has failed a moment ago."""
        return self.clock.monotonic() < self.store_pause_until_s


def limits_of(configuration: Configuration) -> list[TeamLimit]:
    """Return the limits that a configuration sets."""
    return [
        TeamLimit(limit.team, limit.max_running, configuration.number)
        for limit in configuration.limits
    ]
