"""The time limits on acting as the holder without confirmation by the store."""

import time
from collections.abc import Callable

from gooseberrydeck_fleet.state import MAX_TASK_LEASE_S

__all__ = [
    "AUTHORITY_TIMEOUT_S",
    "COMMAND_TIMEOUT_S",
    "LEASE_TIMEOUT_S",
    "Authority",
]

AUTHORITY_TIMEOUT_S = 8.0
"""Time after the last confirmation by the store for which a holder may send commands.

A new holder that the former one didn't know waits this long plus one task lease for
workers that it cannot reach.
"""

COMMAND_TIMEOUT_S = 3.0
"""Time for which a holder may send commands after the store, or all members that could
claim the shard, have confirmed that none has."""

LEASE_TIMEOUT_S = 4.5
"""Time after such a confirmation at which all task leases end.

A new holder that the former one knew waits this long for workers that it cannot reach.
Long-running tasks on workers that were lost at the same time must run again 7 s after
the holder was lost; the claim, the advice and the start have to fit in as well.
"""

PAUSE_LIMIT_S = 1.0
"""Time between two rounds of the scheduler after which the process counts as paused.

Rounds are at most some tens of milliseconds apart, also on a busy host.
"""


def boottime_clock_s() -> float:
    """Return the time of a monotonic clock that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Authority:
    """Permission to send commands, which expires without confirmation by the store."""

    def __init__(
        self,
        now_s: Callable[[], float] | None = None,
        followed_s: Callable[[], float] | None = None,
        claimed_s: float | None = None,
    ) -> None:
        """Start as confirmed at ``claimed_s``, when the claim was sent; now by default.

        ``now_s`` returns the time, by default that of ``boottime_clock_s``.
        ``followed_s`` returns the latest time at which no other member had claimed the
        shard; by default there is none that could.
        """
        self.now_s = now_s or boottime_clock_s
        self.followed_s = followed_s or self.now_s
        self.confirmed_s = self.now_s() if claimed_s is None else claimed_s
        self.is_revoked = False
        # When the store was last asked, whether or not it responded.
        self.asked_s = self.confirmed_s
        # When the scheduler's last round began, and when it went on after a pause.
        self.round_s: float | None = None
        self.resumed_s = 0.0

    def confirm(self, sent_s: float) -> None:
        """Extend the permission after a successful call sent at ``sent_s``.

        The time counts from when the call was sent, on the clock of ``now_s``.
        """
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self.asked_s = max(self.asked_s, sent_s)

    def not_confirmed(self, sent_s: float) -> None:
        """Record a call sent at ``sent_s`` to which the store has not responded."""
        self.asked_s = max(self.asked_s, sent_s)

    def round_begins(self) -> float:
        """Record a round of the scheduler; return how long it was paused, or 0."""
        now_s = self.now_s()
        paused_s = 0.0
        if self.round_s is not None and now_s - self.round_s > PAUSE_LIMIT_S:
            paused_s = now_s - self.round_s
            self.resumed_s = now_s
        self.round_s = now_s
        return paused_s

    def revoke(self) -> None:
        """Withdraw the permission for good: the shard was lost or released."""
        self.is_revoked = True

    def age_s(self) -> float:
        """Return the time since the store last confirmed the lock, in seconds."""
        return self.now_s() - self.confirmed_s

    def sole_holder_s(self) -> float:
        """Return the latest time at which no other member had claimed the shard."""
        return max(self.confirmed_s, self.followed_s())

    def lease_limit_s(self) -> float:
        """Return how long task leases may last from now on, in seconds."""
        until_s = min(
            self.sole_holder_s() + LEASE_TIMEOUT_S,
            self.confirmed_s + AUTHORITY_TIMEOUT_S + MAX_TASK_LEASE_S,
        )
        return max(0.0, until_s - self.now_s())

    def may_act(self) -> bool:
        """Return whether commands may be sent now.

        After a pause they may not until the store has been asked: a successor may have
        claimed the shard meanwhile.
        """
        if self.is_revoked or self.age_s() >= AUTHORITY_TIMEOUT_S:
            return False
        is_confirmed = self.age_s() < COMMAND_TIMEOUT_S
        if not is_confirmed and self.now_s() - self.followed_s() >= COMMAND_TIMEOUT_S:
            return False
        if self.round_s is None:
            return True
        is_paused = self.now_s() - self.round_s > PAUSE_LIMIT_S
        return not is_paused and self.asked_s >= self.resumed_s
