"""Bounded queue with weighted fairness between teams."""

from collections import deque
from collections.abc import Callable, Mapping

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_daemon.dispatch.requests import (
    ServiceRequest,
    Ticket,
    TicketState,
)

__all__ = ["FairQueue"]

DEFAULT_WEIGHT = 1.0


class FairQueue:
    """Queue waiting tickets; the team with the least service by weight is next.

    First attempts of all teams come before retries of all teams. When the queue is
    full, the team with the most waiting tickets loses its newest one, so that no team
    can shut out the others. Not thread-safe: the pool's lock guards it.
    """

    def __init__(self, max_waiting: int, has_fresh_first: bool = True) -> None:
        """Create an empty queue for at most ``max_waiting`` tickets."""
        self.max_waiting = max_waiting
        self.has_fresh_first = has_fresh_first
        self.weights: Mapping[TeamName, float] = {}
        self.classes: tuple[dict[TeamName, deque[Ticket]], ...] = ({}, {})
        self.virtual_usage: dict[TeamName, float] = {}
        self.virtual_time = 0.0
        self.size = 0

    def class_index(self, request: ServiceRequest) -> int:
        """Return 1 for a retry, which waits behind first attempts, else 0."""
        return int(request.is_retry and self.has_fresh_first)

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a ticket; return the one displaced from a full queue, maybe itself."""
        displaced = None
        if self.size >= self.max_waiting:
            displaced = self.displace(ticket)
            if displaced is ticket:
                return ticket
        team = ticket.request.team
        by_team = self.classes[self.class_index(ticket.request)]
        if team not in by_team:
            by_team[team] = deque()
        if not self.is_waiting(team):
            # A team that was idle gets no credit for the time it was not waiting.
            self.virtual_usage[team] = max(
                self.virtual_usage.get(team, 0.0), self.virtual_time
            )
        by_team[team].append(ticket)
        self.size += 1
        return displaced

    def ahead_of(self, request: ServiceRequest) -> int:
        """Return the estimated number of tickets that would start before a new request.

        Waiting teams take turns, so each ticket of the same team, and the new request
        itself, waits for one turn of every team. The estimate is at most the queue
        size.
        """
        by_team = self.classes[self.class_index(request)]
        own = len(by_team.get(request.team, ()))
        teams = sum([bool(tickets) for tickets in by_team.values()])
        others = 0
        if self.class_index(request):
            others = sum([len(tickets) for tickets in self.classes[False].values()])
        return min(self.size, others + (own + 1) * max(1, teams))

    def is_waiting(self, team: TeamName) -> bool:
        """Return True if a team has tickets in the queue."""
        return any(by_team.get(team) for by_team in self.classes)

    def displace(self, newcomer: Ticket) -> Ticket:
        """Remove and return the ticket to drop for ``newcomer``, or ``newcomer``."""
        rank = self.class_index(newcomer.request)
        fresh, retries = self.classes
        if any(retries.values()) and not rank:
            return self.remove_newest(retries, longest_queue(retries))
        if any(fresh.values()) and rank and not any(retries.values()):
            return newcomer
        by_team = self.classes[rank]
        team = longest_queue(by_team)
        if len(by_team[team]) > len(by_team.get(newcomer.request.team, ())) + 1:
            return self.remove_newest(by_team, team)
        return newcomer

    def remove_newest(
        self, by_team: dict[TeamName, deque[Ticket]], team: TeamName
    ) -> Ticket:
        """Remove and return a team's newest ticket."""
        self.size -= 1
        return by_team[team].pop()

    def pop(self, may_start: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next live ticket that may start, or None."""
        for by_team in self.classes:
            waiting = [team for team, tickets in by_team.items() if tickets]
            for team in sorted(waiting, key=lambda team: self.virtual_usage[team]):
                ticket = self.pop_of(by_team[team], may_start)
                if ticket is not None:
                    self.charge(team)
                    return ticket
        return None

    def pop_of(
        self, tickets: deque[Ticket], may_start: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Remove and return a team's first live ticket if it may start, else None."""
        while tickets:
            if tickets[0].state is TicketState.ENDED:
                tickets.popleft()
                self.size -= 1
                continue
            if not may_start(tickets[0]):
                return None
            self.size -= 1
            return tickets.popleft()
        return None

    def charge(self, team: TeamName) -> None:
        """Charge a team for one served ticket, according to its weight."""
        self.virtual_time = self.virtual_usage[team]
        weight = self.weights.get(team, DEFAULT_WEIGHT) or DEFAULT_WEIGHT
        self.virtual_usage[team] += 1.0 / weight

    def remove_where(self, is_over: Callable[[Ticket], bool]) -> list[Ticket]:
        """Remove and return every ticket for which ``is_over`` returns True."""
        removed: list[Ticket] = []
        for by_team in self.classes:
            for team in list(by_team):
                kept: deque[Ticket] = deque()
                for ticket in by_team[team]:
                    (removed if is_over(ticket) else kept).append(ticket)
                if kept:
                    by_team[team] = kept
                else:
                    del by_team[team]
        self.size -= len(removed)
        return removed


def longest_queue(by_team: Mapping[TeamName, deque[Ticket]]) -> TeamName:
    """Return the team with the most tickets."""
    return max(by_team, key=lambda team: len(by_team[team]))
