"""Circuit breaker and slow start of an endpoint."""

from enum import Enum

__all__ = ["Breaker", "BreakerState", "SlowStart"]

FAILURES_TO_OPEN = 5
INITIAL_COOLDOWN_S = 1.0
MAX_COOLDOWN_S = 30.0
SLOW_START_S = 4.0


class BreakerState(Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Circuit breaker that opens after consecutive failures.

    After a cooldown it lets a single request through as a probe. Each failed probe
    doubles the cooldown. Not thread-safe.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown_s = INITIAL_COOLDOWN_S
        self.probe_at_s = 0.0

    def record_success(self) -> bool:
        """Record a success; return True if it closed the breaker."""
        is_closing = self.state is not BreakerState.CLOSED
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.cooldown_s = INITIAL_COOLDOWN_S
        return is_closing

    def record_failure(self, now_s: float) -> bool:
        """Record a failure; return True if it opened the breaker."""
        self.failures += 1
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown_s = min(MAX_COOLDOWN_S, 2 * self.cooldown_s)
        elif self.state is BreakerState.OPEN or self.failures < FAILURES_TO_OPEN:
            return False
        self.state = BreakerState.OPEN
        self.probe_at_s = now_s + self.cooldown_s
        return True

    def allowance(self, slots: int, now_s: float) -> int:
        """Return how many of an endpoint's slots may be used now."""
        if self.state is BreakerState.OPEN and now_s >= self.probe_at_s:
            self.state = BreakerState.HALF_OPEN
        if self.state is BreakerState.CLOSED:
            return slots
        return 1 if self.state is BreakerState.HALF_OPEN else 0


class SlowStart:
    """Ramp up the number of usable slots of an endpoint that has become available."""

    def __init__(self) -> None:
        """Create a ramp that has ended: every slot is usable."""
        self.started_s: float | None = None

    def start(self, now_s: float) -> None:
        """Restart the ramp with a single slot."""
        self.started_s = now_s

    def allowance(self, slots: int, now_s: float) -> int:
        """Return how many of an endpoint's slots may be used now."""
        if self.started_s is None:
            return slots
        usable = 1 + int(slots * (now_s - self.started_s) / SLOW_START_S)
        if usable >= slots:
            self.started_s = None
        return min(slots, usable)
