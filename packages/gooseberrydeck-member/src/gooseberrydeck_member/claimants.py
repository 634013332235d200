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
        # By address and process, since heartbeats of a former process may come late.
        self.claimants: dict[str, dict[str, Claimant]] = {}

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; a process that can't claim any more is forgotten."""
        is_reply = heartbeat.holder_incarnation == self.incarnation
        followed_s = heartbeat.holder_time_s if is_reply else 0.0
        address, incarnation = heartbeat.address, heartbeat.incarnation
        with self.lock:
            if not heartbeat.may_claim:
                self.forget(address, incarnation)
                return
            processes = self.claimants.setdefault(address, {})
            known_s = max((each.followed_s for each in processes.values()), default=0.0)
            if followed_s > known_s:
                # The others at the address have ended before this one started.
                processes.clear()
            followed_s = max(followed_s, known_s)
            processes[incarnation] = Claimant(followed_s, self.now_s())

    def forget(self, address: str, incarnation: str) -> None:
        """Forget a process; the caller holds the lock."""
        processes = self.claimants.get(address, {})
        processes.pop(incarnation, None)
        if not processes:
            self.claimants.pop(address, None)

    def followed_s(self) -> float:
        """Return the latest time at which no known member had claimed the shard."""
        now_s = self.now_s()
        times = []
        with self.lock:
            for address, processes in list(self.claimants.items()):
                for incarnation, claimant in list(processes.items()):
                    if now_s - claimant.heard_s > CLAIMANT_TTL_S:
                        self.forget(address, incarnation)
                    else:
                        times.append(claimant.followed_s)
        return min(times, default=now_s)
