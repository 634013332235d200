"""Detection of repeated requests that failed recently."""

import threading
import time
from collections import OrderedDict

from gooseberrydeck_daemon.dispatch.requests import ServiceRequest

__all__ = ["RecentFailures"]

MAX_REMEMBERED = 4_096
REMEMBER_S = 30.0


class RecentFailures:
    """Remember failed requests by team, service and body. Thread-safe.

    Callers need not mark their retries. Only process-local hashes are kept, so on a
    collision a first attempt may be treated as a retry; it then only waits behind other
    first attempts.
    """

    def __init__(self) -> None:
        """Create an empty memory."""
        self.lock = threading.Lock()
        self.until_s: OrderedDict[int, float] = OrderedDict()

    def record(self, request: ServiceRequest) -> None:
        """Remember a request that failed."""
        key = hash((request.service, request.team, request.body))
        with self.lock:
            self.until_s[key] = time.monotonic() + REMEMBER_S
            self.until_s.move_to_end(key)
            if len(self.until_s) > MAX_REMEMBERED:
                self.until_s.popitem(last=False)

    def is_repeated(self, request: ServiceRequest) -> bool:
        """Return True if the same request failed recently."""
        if not self.until_s:
            return False
        key = hash((request.service, request.team, request.body))
        return self.until_s.get(key, 0.0) > time.monotonic()
