"""Checks of the time bounds on which the safety of ownership depends."""

from collections.abc import Iterator

import msgspec

from gooseberrydeck_coordination.timing import Timing
from gooseberrydeck_daemon.checks.messages import CheckMessage

__all__ = ["find_timing_problems"]

MAX_CLOCK_DRIFT = 0.5
MIN_ROUNDS_PER_SESSION = 3


def find_timing_problems(timing: Timing) -> Iterator[CheckMessage]:
    """Yield values out of range, and combinations that break ownership."""
    for name, value in msgspec.structs.asdict(timing).items():
        is_negative = value < 0 or (value == 0 and name.endswith("_interval_s"))
        if is_negative or (name == "clock_drift" and value > MAX_CLOCK_DRIFT):
            text = f"{value} is out of range"
            hint = f"Times are positive; the drift is at most {MAX_CLOCK_DRIFT}."
            yield CheckMessage(f"$.timing.{name}", "settings.E015", text, hint)
    longest_s = max(timing.round_interval_s, timing.attestation_interval_s)
    if timing.session_ttl_s < MIN_ROUNDS_PER_SESSION * longest_s:
        yield CheckMessage(
            "$.timing.session_ttl_s",
            "settings.E016",
            "a session lapses after too few lost calls",
            f"Make it {MIN_ROUNDS_PER_SESSION} times the longest interval or more.",
        )
    if timing.task_lease_s <= timing.session_ttl_s + 2 * timing.round_interval_s:
        yield CheckMessage(
            "$.timing.task_lease_s",
            "settings.E017",
            "tasks end before a successor can renew them",
            "Make it longer than the session by more than two rounds.",
        )
    if timing.peer_authority_limit_s < timing.session_ttl_s:
        yield CheckMessage(
            "$.timing.peer_authority_limit_s",
            "settings.E018",
            "the limit is shorter than a session",
            "Make it longer than the longest outage of the store to be survived.",
        )
