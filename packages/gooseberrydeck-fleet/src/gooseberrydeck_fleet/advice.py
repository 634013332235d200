"""Which workers a queue's policy allows for a step."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef, WorkerId

__all__ = ["Advice", "AdviceCache", "AdviceFailedError", "Adviser"]

TICKET_MARGIN_S = 0.2
"""A ticket with less left is not used: the start may arrive after it lapsed."""


class AdviceFailedError(Exception):
    """The service gave no usable answer."""


class Advice(msgspec.Struct, frozen=True):
    """The allowed workers among those asked for, with a ticket for each."""

    tickets: dict[WorkerId, str]
    valid_s: float


class Adviser(Protocol):
    """Asks the service that knows which workers may run a step."""

    def ask(
        self, step: StepRef, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> Advice:
        """Return the allowed workers, or raise ``AdviceFailedError``."""


class Ticket(msgspec.Struct, frozen=True):
    """A permit for a worker's present life, until a monotonic time."""

    value: str
    born_ms: int
    expires_s: float


class AdviceCache:
    """What is known about the workers that may run one step.

    Whether a worker may run the step does not change, so a worker that was left out of
    an answer is never asked for again; a ticket lapses and has to be asked for anew.
    """

    def __init__(self) -> None:
        """Begin knowing nothing."""
        self.tickets: dict[WorkerId, Ticket] = {}
        self.allowed: set[WorkerId] = set()
        self.rejected: set[WorkerId] = set()
        self.pending: frozenset[WorkerId] = frozenset()
        self.retry_s = 0.0
        self.answered_s: float | None = None

    def ticket(self, worker: WorkerId, born_ms: int, now_s: float) -> str | None:
        """Return a ticket that can still be used, or None."""
        ticket = self.tickets.get(worker)
        if ticket is None or ticket.born_ms != born_ms:
            return None
        return ticket.value if ticket.expires_s - TICKET_MARGIN_S > now_s else None

    def asked(self, workers: Sequence[WorkerId]) -> None:
        """Note that an answer is awaited."""
        self.pending = frozenset(workers)

    def answered(
        self,
        advice: Advice,
        incarnations: dict[WorkerId, int],
        asked_s: float,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Take in an answer; tickets hold from when it was asked for, at worst."""
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
        """Take in that no answer came; ask again from ``retry_s`` on."""
        self.pending = frozenset()
        self.retry_s = retry_s

    def drop(self, worker: WorkerId) -> None:
        """Forget a ticket that a worker refused."""
        self.tickets.pop(worker, None)


def advice_duration_s(policy: AdvicePolicy, workers: int) -> float:
    """Return how long an answer about some workers takes."""
    return policy.decide_s + policy.per_worker_s * workers
