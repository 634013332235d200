"""Waiting times of a new owner for effects of the previous owners."""

import msgspec

from gooseberrydeck_coordination.timing import Timing

__all__ = ["Quarantine", "lease_expiry_s"]

UNKNOWN_S = float("inf")
"""A time that is not known yet."""


class Quarantine(msgspec.Struct, frozen=True):
    """The waiting times after one claim of a shard.

    All times are monotonic seconds of the new owner. ``claimed_s`` is when the claim
    was known to have succeeded. ``quorum_blocked_s`` is when every majority that the
    previous owner could rely on was known to contain a member that has acknowledged
    the claim, or None until then. ``is_clean`` means that the previous owner had
    stopped acting before the claim. ``session_ttl_s`` and ``task_lease_s`` are the
    longest durations that any earlier owner can have used.
    """

    timing: Timing
    claimed_s: float
    quorum_blocked_s: float | None = None
    is_clean: bool = False
    has_predecessor: bool = True
    session_ttl_s: float = 0.0
    task_lease_s: float = 0.0

    @property
    def predecessor_stopped_s(self) -> float:
        """The time from which the previous owner cannot affect any worker.

        Its authority expires one session time to live after it last contacted a member
        that had not acknowledged the claim. A call sent at that moment takes effect
        within ``Timing.call_effect_limit_s``. Without these acknowledgements, only
        ``Timing.peer_authority_limit_s`` bounds its authority.
        """
        if self.is_clean or not self.has_predecessor:
            return self.claimed_s
        timing = self.timing
        effect_s = timing.call_effect_limit_s
        latest_s = self.claimed_s + timing.lengthen_for_drift(
            timing.peer_authority_limit_s + effect_s
        )
        if self.quorum_blocked_s is None:
            return latest_s
        lapse_s = timing.lengthen_for_drift(self.session_ttl_s + effect_s)
        return min(latest_s, self.quorum_blocked_s + lapse_s)

    @property
    def leases_expired_s(self) -> float:
        """The time from which no task of the previous owner runs unless adopted."""
        if not self.has_predecessor:
            return self.claimed_s
        return self.predecessor_stopped_s + self.timing.lengthen_for_drift(
            self.task_lease_s
        )


def lease_expiry_s(timing: Timing, sent_s: float) -> float:
    """Return when a task lease granted by a call sent at ``sent_s`` has expired."""
    return sent_s + timing.lengthen_for_drift(
        timing.call_effect_limit_s + timing.task_lease_s
    )
