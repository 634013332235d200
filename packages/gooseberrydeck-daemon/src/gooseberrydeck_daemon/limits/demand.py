"""Demand for units, and the choice of members to request them from."""

import math
from collections.abc import Callable, Iterable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import MemberId, ShardId, TeamName
from gooseberrydeck_daemon.limits.admission import TeamShard

__all__ = ["Demand", "DemandTracker", "RequestBudget"]

DEMAND_LIFETIME_S = 2.0
REQUEST_PERIOD_S = 0.1
PRECEDENCE_AFTER_S = 0.5
"""Wait after which a shard takes precedence, well before requests time out."""
PRECEDENCE_LIFETIME_S = 3 * REQUEST_PERIOD_S
"""How long precedence lasts without a new request: several request periods."""
MAX_REQUESTED_MEMBERS = 8
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 16.0
REQUESTS_PER_S = 20.0
REQUEST_BURST = 64.0


class Demand(msgspec.Struct):
    """Units that a team needs on a shard, with times of refusals and requests.

    ``waiting_since_s`` is when the team was first refused after it last received units.
    """

    units: int
    refused_at_s: float
    requested_at_s: float | None = None
    waiting_since_s: float | None = None
    units_received_at_s: float = -math.inf


class LongestWaiter(msgspec.Struct, frozen=True):
    """The shard that is known to have waited longest for units of a team."""

    team_shard: TeamShard
    waiting_since_s: float
    last_request_at_s: float


class Backoff(msgspec.Struct):
    """How long a member that had no units to offer is not asked again."""

    until_s: float
    duration_s: float


class RequestBudget:
    """Token bucket that limits the number of requests for units."""

    def __init__(self, clock: Clock) -> None:
        """Create a full bucket."""
        self.clock = clock
        self.tokens = REQUEST_BURST
        self.refilled_at_s = clock.monotonic()

    def take_tokens(self, count: int) -> int:
        """Spend up to ``count`` tokens and return how many were available."""
        now_s = self.clock.monotonic()
        earned_tokens = (now_s - self.refilled_at_s) * REQUESTS_PER_S
        self.tokens = min(REQUEST_BURST, self.tokens + earned_tokens)
        self.refilled_at_s = now_s
        granted = min(count, int(self.tokens))
        self.tokens -= granted
        return granted


class DemandTracker:
    """Track demand by team and shard, and back off from members without idle units."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without demand."""
        self.clock = clock
        self.budget = RequestBudget(clock)
        self.demands: dict[TeamShard, Demand] = {}
        self.longest_waiters: dict[TeamName, LongestWaiter] = {}
        self.backoffs: dict[tuple[TeamName, MemberId], Backoff] = {}

    def record_refusal(self, team_shard: TeamShard, units: int) -> None:
        """Record that work was refused for lack of units."""
        now_s = self.clock.monotonic()
        demand = self.demands.setdefault(team_shard, Demand(units, now_s))
        demand.units = max(units, demand.units)
        demand.refused_at_s = now_s
        if demand.waiting_since_s is None:
            demand.waiting_since_s = now_s

    def record_units_received(self, team_shard: TeamShard) -> None:
        """Record that a team received units on a shard."""
        demand = self.demands.get(team_shard)
        if demand is not None:
            demand.waiting_since_s = None
            demand.units_received_at_s = self.clock.monotonic()

    def clear_satisfied(self, idle_units: Callable[[TeamName, ShardId], int]) -> None:
        """Stop waiting for units where as many as needed have become idle."""
        for team_shard, demand in self.demands.items():
            if (
                demand.waiting_since_s is not None
                and idle_units(*team_shard) >= demand.units
            ):
                demand.waiting_since_s = None

    def waited_s(self, team_shard: TeamShard) -> float:
        """Return how many seconds a team has waited for units on a shard."""
        demand = self.demands.get(team_shard)
        if demand is None or demand.waiting_since_s is None:
            return 0.0
        return self.clock.monotonic() - demand.waiting_since_s

    def has_precedence(self, team_shard: TeamShard, waited_s: float) -> bool:
        """Return True if no other shard has been waiting longer for units of the team.

        Each transfer of a team's units invalidates all other offers for it, so without
        precedence a member with slow calls might never receive any.
        """
        now_s = self.clock.monotonic()
        longest_waiter = self.longest_waiters.get(team_shard[0])
        if (
            longest_waiter is not None
            and now_s - longest_waiter.last_request_at_s > PRECEDENCE_LIFETIME_S
        ):
            longest_waiter = None
        waiting_since_s = now_s - waited_s
        if (
            longest_waiter is not None
            and longest_waiter.team_shard != team_shard
            and longest_waiter.waiting_since_s < waiting_since_s
        ):
            return False
        if waited_s >= PRECEDENCE_AFTER_S:
            self.longest_waiters[team_shard[0]] = LongestWaiter(
                team_shard, waiting_since_s, now_s
            )
        elif longest_waiter is not None and longest_waiter.team_shard == team_shard:
            del self.longest_waiters[team_shard[0]]
        return True

    def reserved_units(self, team_shard: TeamShard, idle: int) -> int:
        """Return how many of a shard's idle units are not offered to other members.

        Units that have just been received are reserved for the work that waited for
        them. If the team is waiting for more, half of the idle units are reserved.
        """
        demand = self.demands.get(team_shard)
        if demand is None:
            return 0
        if self.clock.monotonic() - demand.units_received_at_s <= REQUEST_PERIOD_S:
            return min(idle, demand.units)
        return (idle + 1) // 2 if demand.waiting_since_s is not None else 0

    def due(self) -> list[TeamShard]:
        """Return the team shards to request units for now, and drop outdated demand."""
        now_s = self.clock.monotonic()
        for team_shard, demand in list(self.demands.items()):
            if now_s - demand.refused_at_s > DEMAND_LIFETIME_S:
                del self.demands[team_shard]
        return [
            team_shard
            for team_shard, demand in self.demands.items()
            if demand.waiting_since_s is not None
            and (
                demand.requested_at_s is None
                or now_s - demand.requested_at_s >= REQUEST_PERIOD_S
            )
        ]

    def mark_requested(self, team_shard: TeamShard) -> int:
        """Record that units are being requested, and return how many are needed."""
        demand = self.demands[team_shard]
        demand.requested_at_s = self.clock.monotonic()
        return demand.units

    def choose_members(
        self, team: TeamName, members: Iterable[MemberId]
    ) -> list[MemberId]:
        """Return the members to ask, in the given order, within the request budget."""
        now_s = self.clock.monotonic()
        candidates = [
            member
            for member in members
            if (backoff := self.backoffs.get((team, member))) is None
            or now_s >= backoff.until_s
        ]
        chosen = candidates[:MAX_REQUESTED_MEMBERS]
        return chosen[: self.budget.take_tokens(len(chosen))]

    def record_reply(self, team: TeamName, member: MemberId, has_offered: bool) -> None:
        """Update a member's backoff, which doubles with each reply without offers."""
        key = (team, member)
        if has_offered:
            self.backoffs.pop(key, None)
            return
        known = self.backoffs.get(key)
        duration_s = FIRST_BACKOFF_S
        if known is not None:
            duration_s = min(MAX_BACKOFF_S, known.duration_s * 2)
        self.backoffs[key] = Backoff(self.clock.monotonic() + duration_s, duration_s)
