"""Clocks to inject into controllers, so that tests can control the time."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Protocol of a source of monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""


class SystemClock:
    """The clocks of this host."""

    def monotonic(self) -> float:
        """Return the host's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the host's wall-clock time in seconds."""
        return time.time()


class ManualClock:
    """A clock for tests that moves only when ``advance`` is called."""

    def __init__(self, start_s: float = 1_000.0, rate: float = 1.0) -> None:
        """Start at ``start_s``; a ``rate`` other than 1 makes the clock drift."""
        self.now_s = start_s
        self.rate = rate

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Return the current manual time in seconds."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Advance by ``seconds`` of true time, scaled by this clock's rate."""
        self.now_s += seconds * self.rate
