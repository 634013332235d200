"""Collection of offers from other members, and creation of offers to them."""

import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.slices import SliceLedger, SliceOffer, SliceRequest
from gooseberrydeck_daemon.limits.demand import DemandTracker
from gooseberrydeck_daemon.limits.messages import MemberOffers, UnitsAnswer

__all__ = ["OfferCollector", "make_offers", "trim_offers"]


class OfferCollector:
    """Collect the replies of all members that were asked for the same units."""

    def __init__(
        self, count: int, on_complete: Callable[[tuple[MemberOffers, ...]], None]
    ) -> None:
        """Call ``on_complete`` once ``count`` members have replied or failed."""
        self.outstanding = count
        self.on_complete = on_complete
        self.answers: list[MemberOffers] = []
        self.lock = threading.Lock()

    def add_reply(self, member: MemberId, future: Future[Any]) -> None:
        """Add the reply of one member. Thread-safe."""
        offers = None
        if future.exception() is None and isinstance(future.result(), UnitsAnswer):
            answer = future.result()
            if answer.offers or answer.is_conclusive:
                offers = answer.offers
        with self.lock:
            self.answers.append(MemberOffers(member, offers))
            self.outstanding -= 1
            is_last = self.outstanding == 0
        if is_last:
            self.on_complete(tuple(self.answers))


def make_offers(
    ledger: SliceLedger,
    demand: DemandTracker,
    requests: Sequence[SliceRequest],
    waited_s: float,
) -> UnitsAnswer:
    """Offer idle units of this member's shards, in total at most the requested number.

    Units that the donor shards need themselves are reserved.
    """
    offers: list[SliceOffer] = []
    if requests:
        team_shard = (requests[0].team, requests[0].recipient)
        if not demand.has_precedence(team_shard, waited_s):
            return UnitsAnswer(is_conclusive=False)
    for request in requests:
        left = request.units - sum(offer.units for offer in offers)
        if left <= 0:
            break
        team_shard = (request.team, request.donor)
        kept = demand.reserved_units(team_shard, ledger.idle_units(*team_shard))
        offer = ledger.offer(msgspec.structs.replace(request, units=left), kept)
        if offer is not None:
            offers.append(offer)
    is_current = all(ledger.is_current(request) for request in requests)
    return UnitsAnswer(tuple(offers), is_conclusive=is_current)


def trim_offers(offers: Iterable[SliceOffer], units: int) -> list[SliceOffer]:
    """Return the first offers that add up to ``units``, with the last one reduced.

    Units that are not accepted return to their donors with the next revision of the
    record.
    """
    trimmed: list[SliceOffer] = []
    for offer in offers:
        if units <= 0:
            break
        taken = min(units, offer.units)
        trimmed.append(msgspec.structs.replace(offer, units=taken))
        units -= taken
    return trimmed
