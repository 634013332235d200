"""Admission of work within the slices of the shards that a member owns."""

import threading
from collections.abc import Iterable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    Revision,
    ShardId,
    TeamName,
)
from gooseberrydeck_coordination.slices.messages import SliceOffer, SliceRequest
from gooseberrydeck_coordination.slices.records import (
    SliceRecord,
    TeamLimit,
    scale_units,
)

__all__ = ["SliceLedger", "StoredSlices"]


class StoredSlices(msgspec.Struct, frozen=True):
    """A slice record and its revision in the store."""

    record: SliceRecord
    revision: Revision


class ShardUse(msgspec.Struct):
    """The running units and pending offers of an owned shard, by team."""

    ownership_revision: Revision
    running: dict[TeamName, int]
    offers: dict[TeamName, SliceOffer]


class SliceLedger:
    """Admit work on owned shards within the slices of the teams.

    This class is thread-safe: requests are admitted in the callers' threads and tasks
    by the jobs controller.

    An offer reserves units for one revision of the record. Any later revision either
    contains the move or makes it impossible, so the units become available again only
    when a later revision has been observed.

    Other members rewrite the record when a limit changes. Therefore a slice is scaled
    to the lowest limit seen since its record was written. After a gap in the observed
    configurations, in which a lower limit may have been missed, nothing is admitted
    until the records have been read again.
    """

    def __init__(self) -> None:
        """Initialize without shards, limits or slices."""
        self.number = ConfigurationNumber(0)
        self.is_confirmed = True
        self.limits: dict[TeamName, TeamLimit] = {}
        self.limits_since_record: dict[TeamName, list[TeamLimit]] = {}
        self.stored: dict[TeamName, StoredSlices] = {}
        self.shards: dict[ShardId, ShardUse] = {}
        self._lock = threading.Lock()

    def set_limits(
        self, number: ConfigurationNumber, limits: Iterable[TeamLimit]
    ) -> None:
        """Apply the limits of a configuration, unless it is not newer."""
        by_team = {limit.team: limit for limit in limits}
        with self._lock:
            if number <= self.number:
                return
            is_gap = self.number > 0 and number > self.number + 1
            if is_gap:
                self.is_confirmed = False
            self.number = number
            self.limits = by_team
            for limit in by_team.values():
                self._add_limit(limit)

    def confirm(self, number: ConfigurationNumber) -> None:
        """Record that all records were read after configuration ``number`` was seen."""
        with self._lock:
            if number >= self.number:
                self.is_confirmed = True

    def observe(self, stored: StoredSlices) -> None:
        """Record a stored slice record unless a newer one is known."""
        team = stored.record.team
        with self._lock:
            known = self.stored.get(team)
            if known is not None and known.revision >= stored.revision:
                return
            self.stored[team] = stored
            self._drop_applied_limits(stored.record)
            for use in self.shards.values():
                _drop_older_offer(use, team, stored.revision)

    def withdraw(self, team: TeamName, revision: Revision) -> None:
        """Admit nothing for a team whose record of ``revision`` can't be read."""
        with self._lock:
            self.stored.pop(team, None)
            for use in self.shards.values():
                _drop_older_offer(use, team, revision)

    def add_shard(
        self,
        shard: ShardId,
        ownership_revision: Revision,
        running: Mapping[TeamName, int],
    ) -> None:
        """Admit work on a shard from now on, given the units that already run there.

        The slice records must have been read after the shard was claimed.
        """
        with self._lock:
            self.shards[shard] = ShardUse(ownership_revision, dict(running), {})

    def remove_shard(self, shard: ShardId) -> None:
        """Stop admitting on a shard that is no longer owned."""
        with self._lock:
            self.shards.pop(shard, None)

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count ``units`` as running and return True if the slice has room for all."""
        with self._lock:
            use = self.shards.get(shard)
            if use is None or self._idle_units(team, shard, use) < units:
                return False
            use.running[team] = use.running.get(team, 0) + units
            return True

    def count_running(self, team: TeamName, shard: ShardId, units: int) -> None:
        """Count units that already run, even beyond the slice."""
        with self._lock:
            use = self.shards.get(shard)
            if use is not None:
                use.running[team] = use.running.get(team, 0) + units

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended; a shard that is no longer owned is ignored."""
        with self._lock:
            use = self.shards.get(shard)
            if use is not None:
                use.running[team] = max(0, use.running.get(team, 0) - units)

    def allowance(self, team: TeamName, shard: ShardId) -> int:
        """Return how many units of the team may run on the shard."""
        with self._lock:
            use = self.shards.get(shard)
            return 0 if use is None else self._allowance(team, shard, use)

    def idle_units(self, team: TeamName, shard: ShardId) -> int:
        """Return how many units of the slice are not in use."""
        with self._lock:
            use = self.shards.get(shard)
            return 0 if use is None else self._idle_units(team, shard, use)

    def offer(self, request: SliceRequest, kept_units: int = 0) -> SliceOffer | None:
        """Reserve idle units for another shard and return the offer, or None.

        ``kept_units`` of the idle units are not offered, to serve the donor's own
        demand.
        """
        with self._lock:
            use = self.shards.get(request.donor)
            if use is None or not self._is_current(request):
                return None
            if request.team in use.offers:
                return None
            idle = self._idle_units(request.team, request.donor, use) - kept_units
            if idle <= 0:
                return None
            offer = SliceOffer(
                team=request.team,
                donor=request.donor,
                recipient=request.recipient,
                units=min(idle, request.units),
                record_revision=request.record_revision,
                ownership_revision=use.ownership_revision,
            )
            use.offers[request.team] = offer
            return offer

    def is_current(self, request: SliceRequest) -> bool:
        """Return True if a request is for the known revision of the record."""
        with self._lock:
            return self._is_current(request)

    def has_offers(self, team: TeamName) -> bool:
        """Return True if units of a team are reserved for an offer."""
        with self._lock:
            return any(team in use.offers for use in self.shards.values())

    def outdated_limits(self) -> tuple[TeamLimit, ...]:
        """Return the limits for which the stored records are not up to date."""
        with self._lock:
            return tuple(
                limit for limit in self.limits.values() if self._is_outdated(limit)
            )

    def _is_outdated(self, limit: TeamLimit) -> bool:
        stored = self.stored.get(limit.team)
        if stored is None:
            return True
        newer = self.limits_since_record.get(limit.team, ())
        return any(seen.limit != stored.record.limit for seen in newer)

    def _is_current(self, request: SliceRequest) -> bool:
        stored = self.stored.get(request.team)
        return stored is not None and stored.revision == request.record_revision

    def _idle_units(self, team: TeamName, shard: ShardId, use: ShardUse) -> int:
        return self._allowance(team, shard, use) - use.running.get(team, 0)

    def _allowance(self, team: TeamName, shard: ShardId, use: ShardUse) -> int:
        stored = self.stored.get(team)
        if stored is None or team not in self.limits or not self.is_confirmed:
            return 0
        record = stored.record
        units = scale_units(
            record.units.get(shard, 0), record.limit, self._lowest_limit(record)
        )
        offer = use.offers.get(team)
        return units if offer is None else units - offer.units

    def _lowest_limit(self, record: SliceRecord) -> int:
        newer = self.limits_since_record.get(record.team, ())
        return min((limit.limit for limit in newer), default=record.limit)

    def _add_limit(self, limit: TeamLimit) -> None:
        seen = self.limits_since_record.setdefault(limit.team, [])
        if seen and seen[-1].limit == limit.limit:
            return
        seen.append(limit)
        stored = self.stored.get(limit.team)
        if stored is not None:
            self._drop_applied_limits(stored.record)

    def _drop_applied_limits(self, record: SliceRecord) -> None:
        """Drop the limits that the record already takes into account."""
        self.limits_since_record[record.team] = [
            limit
            for limit in self.limits_since_record.get(record.team, ())
            if limit.configuration_number > record.configuration_number
        ]


def _drop_older_offer(use: ShardUse, team: TeamName, revision: Revision) -> None:
    offer = use.offers.get(team)
    if offer is not None and offer.record_revision < revision:
        del use.offers[team]
