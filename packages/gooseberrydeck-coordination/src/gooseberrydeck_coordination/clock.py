"""Clocks that controllers are given, so that tests can drive time."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Give monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of this host."""

    def monotonic(self) -> float:
        """Return the host's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the host's wall-clock time in seconds."""
        return time.time()


class ManualClock:
    """Stand still until told to advance."""

    def __init__(self, start_s: float = 1_000.0, rate: float = 1.0) -> None:
        """Begin at ``start_s``; a ``rate`` other than 1 makes the clock drift."""
        self.now_s = start_s
        self.rate = rate

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self.now_s

    def wall(self) -> float:
        """Return the current manual time in seconds."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Move time on by ``seconds`` of true time, scaled by this clock's rate."""
        self.now_s += seconds * self.rate
