"""The time limit on acting as the holder without confirmation by the store."""

import time

__all__ = ["AUTHORITY_TIMEOUT_S", "Authority"]

AUTHORITY_TIMEOUT_S = 8.0
"""Time after the last confirmation for which a holder may send commands.

A new holder waits this long plus one task lease for workers that it cannot reach.
"""


def boottime_clock_s() -> float:
    """Return the time of a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Authority:
    """Permission to send commands, which expires without confirmation by the store."""

    def __init__(self) -> None:
        """Start as confirmed now, because a claim has just succeeded."""
        self.confirmed_s = boottime_clock_s()
        self.is_revoked = False

    def confirm(self, sent_s: float) -> None:
        """Extend the permission after a successful call sent at ``sent_s``.

        The time counts from when the call was sent, on the clock of
        ``boottime_clock_s``.
        """
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def revoke(self) -> None:
        """Withdraw the permission for good: the shard was lost or released."""
        self.is_revoked = True

    def age_s(self) -> float:
        """Return the time since the store last confirmed the lock, in seconds."""
        return boottime_clock_s() - self.confirmed_s

    def may_act(self) -> bool:
        """Return whether commands may be sent now."""
        return not self.is_revoked and self.age_s() < AUTHORITY_TIMEOUT_S
