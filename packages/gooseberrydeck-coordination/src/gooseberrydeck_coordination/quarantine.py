"""How long a successor waits for what an old owner may still do."""

import msgspec

from gooseberrydeck_coordination.timing import Timing

__all__ = ["Quarantine", "lease_expiry_s"]

UNKNOWN_S = float("inf")
"""A time that cannot be told yet."""


class Quarantine(msgspec.Struct, frozen=True):
    """The waits after one claim of a shard, in the successor's monotonic seconds.

    ``claimed_s`` is when the claim was known to have succeeded. ``quorum_blocked_s``
    is when every majority that the old owner could lean on was known to hold a member
    that has acknowledged the claim, or None until then. ``is_clean`` tells that the
    old owner had stopped acting before the claim. ``session_ttl_s`` and
    ``task_lease_s`` are the longest that any earlier owner can have used.
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
        """Return from when on the old owner certainly has no effect on a worker.

        Its authority lapses a session's time to live after the last contact with a
        member that had not acknowledged; a call sent then takes effect within the
        limit. Without the acknowledgements only the limit of peer authority helps.
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
        """Return from when on no task of the old owner runs unless it was adopted."""
        if not self.has_predecessor:
            return self.claimed_s
        return self.predecessor_stopped_s + self.timing.lengthen_for_drift(
            self.task_lease_s
        )


def lease_expiry_s(timing: Timing, sent_s: float) -> float:
    """Return from when on a lease granted by a call sent at ``sent_s`` has lapsed."""
    return sent_s + timing.lengthen_for_drift(
        timing.call_effect_limit_s + timing.task_lease_s
    )
