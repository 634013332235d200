"""A budget that keeps retries to a share of fresh traffic."""

import threading

from gooseberrydeck_coordination.clock import Clock

__all__ = ["RetryBudget"]

DEFAULT_FLOOR_PER_S = 1.0
DEFAULT_WINDOW_S = 10.0


class RetryBudget:
    """A token bucket that fresh work fills and retries empty.

    Each fresh request adds ``share`` of a token and each retry takes one, so
    that retries add at most ``share`` to the load in every state, however long
    the backlog is. ``floor_per_s`` tokens a second are added besides, so that a
    quiet service may still retry. Unused tokens are kept for ``window_s`` of
    traffic at the most.

    It may be called from several threads.
    """

    def __init__(
        self,
        clock: Clock,
        share: float,
        floor_per_s: float = DEFAULT_FLOOR_PER_S,
        window_s: float = DEFAULT_WINDOW_S,
    ) -> None:
        """Begin with as many tokens as the floor gives in one window."""
        self.clock = clock
        self.share = share
        self.floor_per_s = floor_per_s
        self.window_s = window_s
        self.tokens = floor_per_s * window_s
        self.fresh_rate_per_s = 0.0
        self.refilled_at_s = clock.monotonic()
        self._lock = threading.Lock()

    def record_fresh(self) -> None:
        """Count one request that is sent for the first time."""
        with self._lock:
            self._refill()
            self.fresh_rate_per_s += 1.0 / self.window_s
            self.tokens = min(self.tokens + self.share, self._most_tokens())

    def try_retry(self) -> bool:
        """Take a token for one retry, or tell that there is none."""
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
        self.tokens = min(refilled, self._most_tokens())

    def _most_tokens(self) -> float:
        per_s = self.floor_per_s + self.share * self.fresh_rate_per_s
        return max(1.0, per_s * self.window_s)
