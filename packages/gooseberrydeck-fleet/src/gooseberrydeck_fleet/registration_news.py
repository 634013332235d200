"""How old the scheduler's knowledge of the workers' capacities is.

Capacities are known from the registrations in the store only. While it can't be read, a
worker may shrink unseen, and a start by its former capacity would overload it.
"""

from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.settings import Timing

__all__ = ["NEWS_MARGIN_S", "RegistrationNews"]

NEWS_MARGIN_S = 0.3
"""Allowance for sending a start and for its execution, on top of the age of news."""

MIN_LIMIT_S = 2.5
"""Least age at which news counts as outdated, whatever the settings say.

That of an idle watch, which is answered each second, is up to 2 s."""


OUTAGE_GAP_S = 2.5
"""Time between two responses from which workers may not have registered meanwhile.

A slow store takes up to 2 s for a response."""


class RegistrationNews:
    """Let nothing start while a capacity may have shrunk that counts already.

    A smaller capacity counts ``contact_s`` and one registration interval after it has
    shrunk. Starts go on until shortly before that time after the last news. After an
    outage of the store, nothing is news before each worker has had the time to register
    again: the first responses hold what was stored before the outage.
    """

    def __init__(self, ledger: Ledger, timing: Timing) -> None:
        """Start without a limit, which begins with the first news."""
        self.ledger = ledger
        counts_after_s = timing.contact_s + timing.registration_s
        self.limit_s = max(MIN_LIMIT_S, counts_after_s - NEWS_MARGIN_S)
        self.settling_s = timing.registration_s + NEWS_MARGIN_S
        # The last news, the last response, and from when on responses are news.
        self.heard_s: float | None = None
        self.response_s = 0.0
        self.settled_s = 0.0
        self.is_outdated = False

    def heard(self, asked_s: float) -> None:
        """Record that all changes are known that were stored up to ``asked_s``.

        That nothing has changed is news as well.
        """
        if self.heard_s is None:
            self.heard_s = self.response_s = asked_s
        if asked_s - self.response_s > OUTAGE_GAP_S:
            self.settled_s = asked_s + self.settling_s
        self.response_s = max(self.response_s, asked_s)
        if asked_s >= self.settled_s:
            self.heard_s = max(self.heard_s, asked_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the last news, or 0 if there has not been any."""
        return 0.0 if self.heard_s is None else now_s - self.heard_s

    def review(self, now_s: float) -> None:
        """Have nothing start on any worker while the last news is too old."""
        is_outdated = self.age_s(now_s) >= self.limit_s
        if is_outdated == self.is_outdated:
            return
        self.is_outdated = is_outdated
        self.ledger.have_workers_changed = True
        for worker in self.ledger.workers.values():
            worker.is_capacity_outdated = is_outdated
