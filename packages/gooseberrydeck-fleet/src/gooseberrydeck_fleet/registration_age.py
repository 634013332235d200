"""How old the scheduler's knowledge of the workers' capacities is.

Capacities are known from the registrations in the store only. While it can't be read, a
worker may shrink unseen, and a start by its former capacity would overload it.
"""

from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.settings import Timing

__all__ = ["AGE_MARGIN_S", "RegistrationAge"]

AGE_MARGIN_S = 0.3
"""Allowance for sending a start and for its execution, on top of the age."""

MIN_LIMIT_S = 2.5
"""Least age at which capacities count as outdated, whatever the settings say.

An idle watch is answered each second, so that the age is up to 2 s."""

OUTAGE_GAP_S = 2.5
"""Time between two responses from which workers may not have registered meanwhile.

A slow store takes up to 2 s for a response."""


class RegistrationAge:
    """Let nothing start while a capacity may have shrunk that counts already.

    A smaller capacity counts ``contact_s`` and one registration interval after it has
    shrunk. Starts go on until shortly before that time after the last confirmation.
    After an outage of the store, its responses confirm nothing before each worker has
    had the time to register again: they hold what was stored before the outage.
    """

    def __init__(self, ledger: Ledger, timing: Timing) -> None:
        """Start without a limit, which begins with the first confirmation."""
        self.ledger = ledger
        counts_after_s = timing.contact_s + timing.registration_s
        self.limit_s = max(MIN_LIMIT_S, counts_after_s - AGE_MARGIN_S)
        self.settling_s = timing.registration_s + AGE_MARGIN_S
        # The last confirmation, the last response, and from when on responses confirm.
        self.confirmed_s: float | None = None
        self.response_s = 0.0
        self.settled_s = 0.0
        self.is_outdated = False

    def confirmed(self, asked_s: float) -> None:
        """Record that all changes are known that were stored up to ``asked_s``.

        That nothing has changed is a confirmation as well.
        """
        if self.confirmed_s is None:
            self.confirmed_s = self.response_s = asked_s
        if asked_s - self.response_s > OUTAGE_GAP_S:
            self.settled_s = asked_s + self.settling_s
        self.response_s = max(self.response_s, asked_s)
        if asked_s >= self.settled_s:
            self.confirmed_s = max(self.confirmed_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation, or 0 before the first one."""
        return 0.0 if self.confirmed_s is None else now_s - self.confirmed_s

    def review(self, now_s: float) -> None:
        """Have nothing start on any worker while the last confirmation is too old."""
        is_outdated = self.age_s(now_s) >= self.limit_s
        if is_outdated == self.is_outdated:
            return
        self.is_outdated = is_outdated
        self.ledger.have_workers_changed = True
        for worker in self.ledger.workers.values():
            worker.is_capacity_outdated = is_outdated
