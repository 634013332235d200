"""What a member may admit for each team on the shards that it owns."""

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
    """A slice record and the revision at which the store holds it."""

    record: SliceRecord
    revision: Revision


class ShardUse(msgspec.Struct):
    """What runs on an owned shard, by team, and what has been offered away."""

    ownership_revision: Revision
    running: dict[TeamName, int]
    offers: dict[TeamName, SliceOffer]


class SliceLedger:
    """Admit work on owned shards within the teams' slices.

    It may be called from several threads, since requests are admitted on the
    callers' threads and tasks by the jobs controller.

    An offer binds units to one revision of the record: any later revision
    either contains the move or makes it impossible, so only observing a later
    revision gives the units back.

    Other members rewrite the record when a limit changes. So a slice is scaled
    by the lowest limit seen since its record was written, and after a gap in
    the configurations seen, where a lower limit may have been missed, nothing is
    admitted until the records have been read again.
    """

    def __init__(self) -> None:
        """Begin with no shards, no limits and no slices."""
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
        """Put the limits of a configuration in force; an older one is ignored."""
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
                self._remember_limit(limit)

    def confirm(self, number: ConfigurationNumber) -> None:
        """Tell that all records were read after configuration ``number`` was known."""
        with self._lock:
            if number >= self.number:
                self.is_confirmed = True

    def observe(self, stored: StoredSlices) -> None:
        """Take in a record from the store, unless a newer one is known."""
        team = stored.record.team
        with self._lock:
            known = self.stored.get(team)
            if known is not None and known.revision >= stored.revision:
                return
            self.stored[team] = stored
            self._forget_limits(stored.record)
            for use in self.shards.values():
                _drop_older_offer(use, team, stored.revision)

    def add_shard(
        self,
        shard: ShardId,
        ownership_revision: Revision,
        running: Mapping[TeamName, int],
    ) -> None:
        """Begin to admit on a shard, given what runs on it already.

        The slice records must have been read after the shard was claimed.
        """
        with self._lock:
            self.shards[shard] = ShardUse(ownership_revision, dict(running), {})

    def remove_shard(self, shard: ShardId) -> None:
        """Stop admitting on a shard that is no longer owned."""
        with self._lock:
            self.shards.pop(shard, None)

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        """Count ``units`` as running if the team's slice has room for all."""
        with self._lock:
            use = self.shards.get(shard)
            if use is None or self._idle_units(team, shard, use) < units:
                return False
            use.running[team] = use.running.get(team, 0) + units
            return True

    def count_running(self, team: TeamName, shard: ShardId, units: int) -> None:
        """Count units that were found running, whatever the slice allows."""
        with self._lock:
            use = self.shards.get(shard)
            if use is not None:
                use.running[team] = use.running.get(team, 0) + units

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        """Count units as ended; a shard that has gone is not an error."""
        with self._lock:
            use = self.shards.get(shard)
            if use is not None:
                use.running[team] = max(0, use.running.get(team, 0) - units)

    def allowance(self, team: TeamName, shard: ShardId) -> int:
        """Return the units that the team may have running on the shard."""
        with self._lock:
            use = self.shards.get(shard)
            return 0 if use is None else self._allowance(team, shard, use)

    def idle_units(self, team: TeamName, shard: ShardId) -> int:
        """Return the units of the slice that are not in use."""
        with self._lock:
            use = self.shards.get(shard)
            return 0 if use is None else self._idle_units(team, shard, use)

    def offer(self, request: SliceRequest, kept_units: int = 0) -> SliceOffer | None:
        """Give up idle units for another shard, or None if there are none.

        ``kept_units`` of the idle units are not offered, for demand of its own.
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
        """Tell whether a request was made for the record that is known here."""
        with self._lock:
            return self._is_current(request)

    def has_offers(self, team: TeamName) -> bool:
        """Tell whether units of a team are withheld for an offer."""
        with self._lock:
            return any(team in use.offers for use in self.shards.values())

    def outdated_limits(self) -> tuple[TeamLimit, ...]:
        """Return the limits that the store's records do not show yet."""
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

    def _remember_limit(self, limit: TeamLimit) -> None:
        seen = self.limits_since_record.setdefault(limit.team, [])
        if seen and seen[-1].limit == limit.limit:
            return
        seen.append(limit)
        stored = self.stored.get(limit.team)
        if stored is not None:
            self._forget_limits(stored.record)

    def _forget_limits(self, record: SliceRecord) -> None:
        """Forget the limits that the record already takes into account."""
        self.limits_since_record[record.team] = [
            limit
            for limit in self.limits_since_record.get(record.team, ())
            if limit.configuration_number > record.configuration_number
        ]


def _drop_older_offer(use: ShardUse, team: TeamName, revision: Revision) -> None:
    offer = use.offers.get(team)
    if offer is not None and offer.record_revision < revision:
        del use.offers[team]
