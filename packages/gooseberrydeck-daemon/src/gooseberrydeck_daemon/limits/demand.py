"""What is wanted, and which members are worth asking for it."""

from collections.abc import Iterable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import MemberId, TeamName
from gooseberrydeck_daemon.limits.admission import Slot

__all__ = ["AskBudget", "Demand", "DemandBook"]

DEMAND_LIFETIME_S = 2.0
ASK_PERIOD_S = 0.1
MAX_ASKED_MEMBERS = 8
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 16.0
ASKS_PER_S = 20.0
ASK_BURST = 64.0


class Demand(msgspec.Struct):
    """Units that a team wants on a shard, and when it was last refused or asked for."""

    units: int
    refused_at_s: float
    asked_at_s: float | None = None


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
        self.backoffs: dict[tuple[TeamName, MemberId], Backoff] = {}

    def want(self, slot: Slot, units: int) -> None:
        """Note that work was refused."""
        now_s = self.clock.monotonic()
        demand = self.demands.get(slot)
        if demand is None:
            self.demands[slot] = Demand(units, now_s)
            return
        demand.units = max(units, demand.units)
        demand.refused_at_s = now_s

    def is_wanted(self, slot: Slot) -> bool:
        """Tell whether work of the team was refused on the shard of late."""
        return slot in self.demands

    def due(self) -> list[Slot]:
        """Return what to ask for now, and forget what is no longer wanted."""
        now_s = self.clock.monotonic()
        for slot, demand in list(self.demands.items()):
            if now_s - demand.refused_at_s > DEMAND_LIFETIME_S:
                del self.demands[slot]
        return [
            slot
            for slot, demand in self.demands.items()
            if demand.asked_at_s is None or now_s - demand.asked_at_s >= ASK_PERIOD_S
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
