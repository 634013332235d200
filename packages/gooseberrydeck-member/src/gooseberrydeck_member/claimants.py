"""The members that could claim the shard, as its holder knows them.

While the store can't be reached, a member that still follows this holder shows that it
hasn't claimed the shard. A heartbeat therefore repeats the holder's time from the last
reply: the member had not claimed the shard at that time.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S
from gooseberrydeck_member.peer_messages import Heartbeat

__all__ = ["CLAIMANT_TTL_S", "FOLLOWED_WITHIN_S", "Claimants"]

FOLLOWED_WITHIN_S = 6.0
"""A claimant whose last answered heartbeat is not older than this is certainly known to
the former holder for as long as that may act. A claim comes 1 to 2 s after it, or some
seconds later from the successor of that holder."""

CLAIMANT_TTL_S = FOLLOWED_WITHIN_S + AUTHORITY_TIMEOUT_S
"""Time since its last heartbeat after which the holder forgets a member."""


class Claimant(NamedTuple):
    """When a member last followed the holder, and when it was heard, in seconds."""

    followed_s: float
    heard_s: float


class Claimants:
    """Thread-safe record of the members that could claim the shard from this one."""

    def __init__(self, incarnation: str, now_s: Callable[[], float]) -> None:
        """Start without members; ``incarnation`` identifies this process.

        ``now_s`` returns the time that replies to heartbeats carry.
        """
        self.incarnation = incarnation
        self.now_s = now_s
        self.lock = threading.Lock()
        self.claimants: dict[str, Claimant] = {}

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; a member that can't claim any more is forgotten."""
        is_reply = heartbeat.holder_incarnation == self.incarnation
        followed_s = heartbeat.holder_time_s if is_reply else 0.0
        with self.lock:
            if not heartbeat.may_claim:
                self.claimants.pop(heartbeat.address, None)
                return
            known = self.claimants.get(heartbeat.address)
            if known is not None:
                followed_s = max(followed_s, known.followed_s)
            self.claimants[heartbeat.address] = Claimant(followed_s, self.now_s())

    def followed_s(self) -> float:
        """Return the latest time at which no known member had claimed the shard."""
        now_s = self.now_s()
        with self.lock:
            for address, claimant in list(self.claimants.items()):
                if now_s - claimant.heard_s > CLAIMANT_TTL_S:
                    del self.claimants[address]
            times = [claimant.followed_s for claimant in self.claimants.values()]
        return min(times, default=now_s)
