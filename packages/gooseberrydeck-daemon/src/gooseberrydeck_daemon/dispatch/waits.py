"""Estimation of queueing delays from recent service times."""

import time

__all__ = ["WaitEstimate"]

MIN_SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 20


class WaitEstimate:
    """Moving average of service times. The pool's lock guards it."""

    def __init__(self) -> None:
        """Create an estimate without samples."""
        self.mean_s = 0.0
        self.samples = 0

    def record(self, service_time_s: float) -> None:
        """Add the service time of one request."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.mean_s += weight * (service_time_s - self.mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return the expected wait in seconds behind ``ahead`` other requests."""
        return (ahead + 1) * self.mean_s / max(1, slots)

    def meets_deadline(self, ahead: int, slots: int, deadline_s: float) -> bool:
        """Return True if a request is expected to finish before its deadline.

        Also return True while there are too few samples for an estimate.
        """
        if self.samples < MIN_SAMPLES:
            return True
        end_s = time.monotonic() + self.wait_s(ahead, slots) + self.mean_s
        return end_s <= deadline_s
