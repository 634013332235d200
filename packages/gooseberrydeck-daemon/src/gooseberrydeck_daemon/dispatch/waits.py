"""How long a request would wait, judged by how long others were served."""

import time

__all__ = ["WaitEstimate"]

MIN_SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 20


class WaitEstimate:
    """A moving mean of service times; the pool's lock guards it."""

    def __init__(self) -> None:
        """Begin without an estimate."""
        self.mean_s = 0.0
        self.samples = 0

    def record(self, service_time_s: float) -> None:
        """Take in how long an endpoint took for one request."""
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.mean_s += weight * (service_time_s - self.mean_s)

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return how long a request with ``ahead`` before it waits for a slot."""
        return (ahead + 1) * self.mean_s / max(1, slots)

    def meets_deadline(self, ahead: int, slots: int, deadline_s: float) -> bool:
        """Tell whether a request would be served before its deadline.

        It is believed while too few requests have been served to know better.
        """
        if self.samples < MIN_SAMPLES:
            return True
        end_s = time.monotonic() + self.wait_s(ahead, slots) + self.mean_s
        return end_s <= deadline_s
