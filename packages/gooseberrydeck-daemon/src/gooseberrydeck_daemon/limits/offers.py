"""Gather the offers of several members, and give offers to them."""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from typing import Any

import msgspec

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.slices import SliceLedger, SliceOffer, SliceRequest
from gooseberrydeck_daemon.limits.demand import DemandBook
from gooseberrydeck_daemon.limits.messages import MemberOffers, UnitsAnswer

__all__ = ["OfferCollector", "make_offers", "trim_offers"]


class OfferCollector:
    """Gather the answers of all members that were asked for the same units."""

    def __init__(
        self, count: int, finish: Callable[[tuple[MemberOffers, ...]], None]
    ) -> None:
        """Call ``finish`` once ``count`` members have answered or failed."""
        self.missing = count
        self.finish = finish
        self.answers: list[MemberOffers] = []
        self.lock = threading.Lock()

    def take(self, member: MemberId, future: Future[Any]) -> None:
        """Take the answer of one member, from any thread."""
        offers = None
        if future.exception() is None and isinstance(future.result(), UnitsAnswer):
            offers = future.result().offers
        with self.lock:
            self.answers.append(MemberOffers(member, offers))
            self.missing -= 1
            is_last = self.missing == 0
        if is_last:
            self.finish(tuple(self.answers))


def make_offers(
    ledger: SliceLedger, demand: DemandBook, requests: Iterable[SliceRequest]
) -> tuple[SliceOffer, ...]:
    """Return offers from our shards, together not more than was asked for.

    Where a team waits on the donor's shard too, half of its idle units are kept.
    """
    offers: list[SliceOffer] = []
    for request in requests:
        left = request.units - sum(offer.units for offer in offers)
        if left <= 0:
            break
        slot = (request.team, request.donor)
        kept = 0
        if demand.is_wanted(slot):
            kept = (ledger.idle_units(*slot) + 1) // 2
        offer = ledger.offer(msgspec.structs.replace(request, units=left), kept)
        if offer is not None:
            offers.append(offer)
    return tuple(offers)


def trim_offers(offers: Iterable[SliceOffer], units: int) -> list[SliceOffer]:
    """Return the first offers that give ``units`` together, the last one cut.

    What is left over goes back to its donors with the next revision of the record.
    """
    trimmed: list[SliceOffer] = []
    for offer in offers:
        if units <= 0:
            break
        taken = min(units, offer.units)
        trimmed.append(msgspec.structs.replace(offer, units=taken))
        units -= taken
    return trimmed
