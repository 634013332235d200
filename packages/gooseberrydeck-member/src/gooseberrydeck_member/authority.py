"""How long a holder may act without having heard from the store."""

import time

__all__ = ["AUTHORITY_TIMEOUT_S", "Authority"]

AUTHORITY_TIMEOUT_S = 8.0
"""Longest time without the store for which a holder goes on giving orders.

A successor waits this long, and a task lease more, for workers that it cannot reach.
"""


def boottime_clock_s() -> float:
    """Return a clock that never goes back and also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Authority:
    """The time of the last call to the store that confirmed the holding."""

    def __init__(self) -> None:
        """Begin confirmed: a claim has just succeeded."""
        self.confirmed_s = boottime_clock_s()
        self.is_revoked = False

    def confirm(self, sent_s: float) -> None:
        """Take in that a call sent at a boot time has succeeded."""
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def revoke(self) -> None:
        """End the authority: the shard was lost or given up."""
        self.is_revoked = True

    def age_s(self) -> float:
        """Return how long ago the store last confirmed the holding."""
        return boottime_clock_s() - self.confirmed_s

    def may_act(self) -> bool:
        """Tell whether orders may be sent now."""
        return not self.is_revoked and self.age_s() < AUTHORITY_TIMEOUT_S
