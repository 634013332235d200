"""The time bounds on which the safety of ownership depends."""

import msgspec

__all__ = ["Timing"]


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time bounds in seconds, which must be the same on every member of a cell.

    ``clock_drift`` bounds by which fraction one clock may run faster than another.
    ``call_effect_limit_s`` bounds the time from sending a call to a worker until its
    last possible effect. ``peer_authority_limit_s`` bounds how long an owner may act
    without contact to the store.
    """

    session_ttl_s: int = 5
    store_timeout_s: float = 1.0
    round_interval_s: float = 1.0
    attestation_interval_s: float = 1.5
    task_lease_s: float = 10.0
    call_effect_limit_s: float = 5.0
    peer_authority_limit_s: float = 43_200.0
    clock_drift: float = 0.01
    cold_start_s: float = 2.0
    fallback_claim_s: float = 3.0
    move_interval_s: float = 5.0
    formation_s: float = 20.0
    imbalance_hold_s: float = 30.0
    forget_member_s: float = 60.0

    def shorten_for_drift(self, seconds: float) -> float:
        """Return how long the holder of a lease may rely on it, given clock drift."""
        return seconds / (1.0 + self.clock_drift)

    def lengthen_for_drift(self, seconds: float) -> float:
        """Return how long others must wait until a lease has certainly expired."""
        return seconds * (1.0 + self.clock_drift)
