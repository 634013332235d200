"""Advice on which workers a queue's policy allows for a step."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef, WorkerId

__all__ = ["Advice", "AdviceCache", "AdviceFailedError", "Adviser"]

TICKET_MARGIN_S = 0.2
"""A ticket that expires sooner is not used: the start might arrive too late."""


class AdviceFailedError(Exception):
    """The advice service gave no usable response."""


class Advice(msgspec.Struct, frozen=True):
    """The workers allowed by a response, each with a ticket valid for ``valid_s``."""

    tickets: dict[WorkerId, str]
    valid_s: float


class Adviser(Protocol):
    """A client of the service that decides which workers may run a step."""

    def ask(
        self, step: StepRef, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> Advice:
        """Return the allowed workers, or raise ``AdviceFailedError``."""


class Ticket(msgspec.Struct, frozen=True):
    """A permit for one incarnation of a worker, until a monotonic time."""

    value: str
    born_ms: int
    expires_s: float


class AdviceCache:
    """The advice received for one step.

    Whether a worker may run the step never changes, so no further advice is requested
    on a worker that a response left out. Tickets expire and have to be renewed.
    """

    def __init__(self) -> None:
        """Create a cache without advice."""
        self.tickets: dict[WorkerId, Ticket] = {}
        self.allowed: set[WorkerId] = set()
        self.rejected: set[WorkerId] = set()
        self.pending: frozenset[WorkerId] = frozenset()
        self.retry_s = 0.0
        self.answered_s: float | None = None

    def ticket(self, worker: WorkerId, born_ms: int, now_s: float) -> str | None:
        """Return a ticket for a worker's incarnation that is still usable, or None."""
        ticket = self.tickets.get(worker)
        if ticket is None or ticket.born_ms != born_ms:
            return None
        return ticket.value if ticket.expires_s - TICKET_MARGIN_S > now_s else None

    def record_request(self, workers: Sequence[WorkerId]) -> None:
        """Record an advice request for some workers."""
        self.pending = frozenset(workers)

    def record_response(
        self,
        advice: Advice,
        incarnations: dict[WorkerId, int],
        asked_s: float,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Store a response; tickets are valid from the time of the request, at worst.

        ``valid_s`` applies if the response states no validity.
        """
        self.answered_s = now_s
        expires_s = asked_s + (advice.valid_s or valid_s)
        for worker in self.pending:
            value = advice.tickets.get(worker)
            if value is None:
                self.rejected.add(worker)
            else:
                self.allowed.add(worker)
                self.tickets[worker] = Ticket(
                    value, incarnations.get(worker, 0), expires_s
                )
        self.pending = frozenset()

    def record_failure(self, retry_s: float) -> None:
        """Record a failed request; the next one is due at ``retry_s``."""
        self.pending = frozenset()
        self.retry_s = retry_s

    def drop(self, worker: WorkerId) -> None:
        """Remove a ticket that a worker refused."""
        self.tickets.pop(worker, None)


def advice_duration_s(policy: AdvicePolicy, workers: int) -> float:
    """Return the expected duration of a request about some workers, in seconds."""
    return policy.decide_s + policy.per_worker_s * workers
