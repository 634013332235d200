"""When an endpoint is left alone, and how it comes back."""

from enum import Enum

__all__ = ["Breaker", "BreakerState", "SlowStart"]

FAILURES_TO_OPEN = 5
INITIAL_COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 30.0
SLOW_START_S = 4.0


class BreakerState(Enum):
    """Whether an endpoint gets work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Open after failures in a row, and let one request probe after a rest.

    Each probe that fails doubles the rest. Not safe for threads.
    """

    def __init__(self) -> None:
        """Begin closed."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown_s = INITIAL_COOLDOWN_S
        self.probe_at_s = 0.0

    def record_success(self) -> bool:
        """Count a success; return whether it closed the breaker."""
        is_closing = self.state is not BreakerState.CLOSED
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown_s = INITIAL_COOLDOWN_S
        return is_closing

    def record_failure(self, now_s: float) -> bool:
        """Count a failure; return whether it opened the breaker."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown_s = min(MAX_COOLDOWN_S, 2 * self.cooldown_s)
        elif self.state is BreakerState.OPEN or self.failures < FAILURES_TO_OPEN:
            return False
        self.state = BreakerState.OPEN
        self.probe_at_s = now_s + self.cooldown_s
        return True

    def allowance(self, slots: int, now_s: float) -> int:
        """Return how many of the slots may be used now."""
        if self.state is BreakerState.OPEN and now_s >= self.probe_at_s:
            self.state = BreakerState.HALF_OPEN
        if self.state is BreakerState.CLOSED:
            return slots
        return 1 if self.state is BreakerState.HALF_OPEN else 0


class SlowStart:
    """Give a returning endpoint its slots one by one."""

    def __init__(self) -> None:
        """Begin with every slot usable."""
        self.started_s: float | None = None

    def start(self, now_s: float) -> None:
        """Start again with a single slot."""
        self.started_s = now_s

    def allowance(self, slots: int, now_s: float) -> int:
        """Return how many of the slots may be used now."""
        if self.started_s is None:
            return slots
        usable = 1 + int(slots * (now_s - self.started_s) / SLOW_START_S)
        if usable >= slots:
            self.started_s = None
        return min(slots, usable)
