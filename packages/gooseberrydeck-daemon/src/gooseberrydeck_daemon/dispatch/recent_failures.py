"""Recognise requests that were refused or given up a moment ago."""

import threading
import time
from collections import OrderedDict

from gooseberrydeck_daemon.dispatch.requests import ServiceRequest

__all__ = ["RecentFailures"]

MAX_REMEMBERED = 4_096
REMEMBER_S = 30.0


class RecentFailures:
    """Remember failed requests by team, service and body; safe for threads.

    A caller that tries again need not say so. Only hashes are kept, of this process
    alone, so a request may rarely be taken for a retry that is none; it then only
    waits behind fresh ones.
    """

    def __init__(self) -> None:
        """Begin with nothing remembered."""
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
        """Tell whether the same request failed a moment ago."""
        if not self.until_s:
            return False
        key = hash((request.service, request.team, request.body))
        return self.until_s.get(key, 0.0) > time.monotonic()
