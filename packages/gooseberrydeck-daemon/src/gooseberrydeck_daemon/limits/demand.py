"""What is wanted, and which members are worth asking for it."""

import math
from collections.abc import Callable, Iterable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import MemberId, ShardId, TeamName
from gooseberrydeck_daemon.limits.admission import Slot

__all__ = ["AskBudget", "Demand", "DemandBook"]

DEMAND_LIFETIME_S = 2.0
ASK_PERIOD_S = 0.1
CLAIM_AFTER_S = 0.5
"""Wait from which a shard goes before others, long before a request is given up."""
CLAIM_LIFETIME_S = 3 * ASK_PERIOD_S
"""How long a shard that does not ask again goes before others: some periods."""
MAX_ASKED_MEMBERS = 8
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 16.0
ASKS_PER_S = 20.0
ASK_BURST = 64.0


class Demand(msgspec.Struct):
    """Units that a team wants on a shard, and when it was last refused or asked for.

    ``since_s`` is when it was first refused after it had last been given units.
    """

    units: int
    refused_at_s: float
    asked_at_s: float | None = None
    since_s: float | None = None
    met_at_s: float = -math.inf


class Claim(msgspec.Struct, frozen=True):
    """The shard that has waited longest for units of a team, as far as is known."""

    slot: Slot
    since_s: float
    heard_at_s: float


class Backoff(msgspec.Struct):
    """How long a member that had nothing to give is left alone."""

    until_s: float
    length_s: float


class AskBudget:
    """Bound the messages that asking costs."""

    def __init__(self, clock: Clock) -> None:
        """Begin with a whole burst."""
        self.clock = clock
        self.tokens = ASK_BURST
        self.refilled_at_s = clock.monotonic()

    def take(self, count: int) -> int:
        """Return how many of ``count`` members may be asked now."""
        now_s = self.clock.monotonic()
        earned = (now_s - self.refilled_at_s) * ASKS_PER_S
        self.tokens = min(ASK_BURST, self.tokens + earned)
        self.refilled_at_s = now_s
        granted = min(count, int(self.tokens))
        self.tokens -= granted
        return granted


class DemandBook:
    """Remember demand by team and shard, and who had nothing to give."""

    def __init__(self, clock: Clock) -> None:
        """Begin without demand."""
        self.clock = clock
        self.budget = AskBudget(clock)
        self.demands: dict[Slot, Demand] = {}
        self.claims: dict[TeamName, Claim] = {}
        self.backoffs: dict[tuple[TeamName, MemberId], Backoff] = {}

    def want(self, slot: Slot, units: int) -> None:
        """Note that work was refused."""
        now_s = self.clock.monotonic()
        demand = self.demands.setdefault(slot, Demand(units, now_s))
        demand.units = max(units, demand.units)
        demand.refused_at_s = now_s
        if demand.since_s is None:
            demand.since_s = now_s

    def note_met(self, slot: Slot) -> None:
        """Note that a slot has been given units."""
        demand = self.demands.get(slot)
        if demand is not None:
            demand.since_s = None
            demand.met_at_s = self.clock.monotonic()

    def note_idle(self, idle_units: Callable[[TeamName, ShardId], int]) -> None:
        """Note the slots that have as many idle units by now as they want."""
        for slot, demand in self.demands.items():
            if demand.since_s is not None and idle_units(*slot) >= demand.units:
                demand.since_s = None

    def waited_s(self, slot: Slot) -> float:
        """Return for how long a slot has been wanted without being given units."""
        demand = self.demands.get(slot)
        if demand is None or demand.since_s is None:
            return 0.0
        return self.clock.monotonic() - demand.since_s

    def is_first(self, slot: Slot, waited_s: float) -> bool:
        """Tell whether no other slot that asks for the team has waited longer.

        Every move of a team's units voids the offers for all others, so that a member
        whose calls take longer would never get any.
        """
        now_s = self.clock.monotonic()
        claim = self.claims.get(slot[0])
        if claim is not None and now_s - claim.heard_at_s > CLAIM_LIFETIME_S:
            claim = None
        since_s = now_s - waited_s
        if claim is not None and claim.slot != slot and claim.since_s < since_s:
            return False
        if waited_s >= CLAIM_AFTER_S:
            self.claims[slot[0]] = Claim(slot, since_s, now_s)
        elif claim is not None and claim.slot == slot:
            del self.claims[slot[0]]
        return True

    def kept_units(self, slot: Slot, idle: int) -> int:
        """Return how many of a shard's idle units are not for other members.

        Units that have just been given are left to the work that waited for them; half
        is kept where the team waits for more.
        """
        demand = self.demands.get(slot)
        if demand is None:
            return 0
        if self.clock.monotonic() - demand.met_at_s <= ASK_PERIOD_S:
            return min(idle, demand.units)
        return (idle + 1) // 2 if demand.since_s is not None else 0

    def due(self) -> list[Slot]:
        """Return what to ask for now, and forget what is no longer wanted."""
        now_s = self.clock.monotonic()
        for slot, demand in list(self.demands.items()):
            if now_s - demand.refused_at_s > DEMAND_LIFETIME_S:
                del self.demands[slot]
        return [
            slot
            for slot, demand in self.demands.items()
            if demand.since_s is not None
            and (demand.asked_at_s is None or now_s - demand.asked_at_s >= ASK_PERIOD_S)
        ]

    def note_asked(self, slot: Slot) -> int:
        """Note that a slot is being asked for; return the units that are wanted."""
        demand = self.demands[slot]
        demand.asked_at_s = self.clock.monotonic()
        return demand.units

    def choose(self, team: TeamName, members: Iterable[MemberId]) -> list[MemberId]:
        """Return the members to ask, the first ones first, within the budget."""
        now_s = self.clock.monotonic()
        candidates = [
            member
            for member in members
            if (backoff := self.backoffs.get((team, member))) is None
            or now_s >= backoff.until_s
        ]
        chosen = candidates[:MAX_ASKED_MEMBERS]
        return chosen[: self.budget.take(len(chosen))]

    def note_answer(self, team: TeamName, member: MemberId, has_offered: bool) -> None:
        """Leave a member alone for longer each time that it has nothing to give."""
        key = (team, member)
        if has_offered:
            self.backoffs.pop(key, None)
            return
        known = self.backoffs.get(key)
        length_s = FIRST_BACKOFF_S
        if known is not None:
            length_s = min(MAX_BACKOFF_S, known.length_s * 2)
        self.backoffs[key] = Backoff(self.clock.monotonic() + length_s, length_s)
