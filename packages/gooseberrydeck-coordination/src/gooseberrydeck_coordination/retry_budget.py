"""A retry budget that limits retries to a share of the first attempts."""

import threading

from gooseberrydeck_coordination.clock import Clock

__all__ = ["RetryBudget"]

DEFAULT_FLOOR_PER_S = 1.0
DEFAULT_WINDOW_S = 10.0


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Each first attempt adds ``share`` of a token and each retry takes one token. So
    retries add at most ``share`` to the load, however long the backlog is. In addition,
    ``floor_per_s`` tokens are added per second, so that a service with little traffic
    can still retry. The bucket holds at most the tokens earned in ``window_s``.

    This class is thread-safe.
    """

    def __init__(
        self,
        clock: Clock,
        share: float,
        floor_per_s: float = DEFAULT_FLOOR_PER_S,
        window_s: float = DEFAULT_WINDOW_S,
    ) -> None:
        """Initialize with the tokens that ``floor_per_s`` adds in one window."""
        self.clock = clock
        self.share = share
        self.floor_per_s = floor_per_s
        self.window_s = window_s
        self.tokens = floor_per_s * window_s
        self.fresh_rate_per_s = 0.0
        self.refilled_at_s = clock.monotonic()
        self._lock = threading.Lock()

    def record_fresh(self) -> None:
        """Record the first attempt of a request."""
        with self._lock:
            self._refill()
            self.fresh_rate_per_s += 1.0 / self.window_s
            self.tokens = min(self.tokens + self.share, self._max_tokens())

    def try_retry(self) -> bool:
        """Consume a token for one retry; return False if there is none."""
        with self._lock:
            self._refill()
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
            return True

    def _refill(self) -> None:
        now_s = self.clock.monotonic()
        elapsed_s = max(0.0, now_s - self.refilled_at_s)
        self.refilled_at_s = now_s
        kept = max(0.0, 1.0 - elapsed_s / self.window_s)
        self.fresh_rate_per_s *= kept
        refilled = self.tokens + elapsed_s * self.floor_per_s
        self.tokens = min(refilled, self._max_tokens())

    def _max_tokens(self) -> float:
        per_s = self.floor_per_s + self.share * self.fresh_rate_per_s
        return max(1.0, per_s * self.window_s)
