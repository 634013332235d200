"""Known loads of peers, and load balancing between them."""

import random
import threading
import time
from collections.abc import Collection

from gooseberrydeck_coordination.ids import MemberId, ServiceName
from gooseberrydeck_daemon.dispatch.messages import LoadSummary
from gooseberrydeck_daemon.dispatch.pools import PoolLoad
from gooseberrydeck_daemon.peers import Inbound

__all__ = ["LoadTable"]

SUMMARY_LIFETIME_S = 5.0
UNREACHABLE_COOLDOWN_S = 1.0


class LoadTable:
    """The newest load of each peer by service. Thread-safe."""

    def __init__(self, rng: random.Random | None = None) -> None:
        """Create an empty table."""
        self.rng = rng or random.Random()
        self.lock = threading.Lock()
        self.loads: dict[tuple[MemberId, ServiceName], tuple[float, PoolLoad]] = {}
        self.unreachable_until_s: dict[MemberId, float] = {}

    def receive(self, inbound: Inbound) -> None:
        """Record a peer's load summary."""
        summary: LoadSummary = inbound.message
        for service, load in summary.services.items():
            self.record(inbound.sender, service, load)

    def record(self, member: MemberId, service: ServiceName, load: PoolLoad) -> None:
        """Record a peer's load as of now."""
        with self.lock:
            self.loads[member, service] = (time.monotonic(), load)

    def record_sent(self, member: MemberId, service: ServiceName) -> None:
        """Adjust a peer's load for a request that was just sent to it."""
        with self.lock:
            known = self.loads.get((member, service))
            if known is None:
                return
            load = known[1]
            taken = PoolLoad(
                max(0, load.free - 1), load.waiting + (load.free == 0), load.slots
            )
            self.loads[member, service] = (known[0], taken)

    def record_unreachable(self, member: MemberId) -> None:
        """Exclude an unreachable peer for a short time."""
        with self.lock:
            self.unreachable_until_s[member] = time.monotonic() + UNREACHABLE_COOLDOWN_S

    def load_of(self, member: MemberId, service: ServiceName) -> PoolLoad:
        """Return a peer's load; an unknown or outdated one counts as no slots."""
        known = self.loads.get((member, service))
        if known is None or known[0] < time.monotonic() - SUMMARY_LIFETIME_S:
            return PoolLoad()
        return known[1]

    def choose(
        self, members: Collection[MemberId], service: ServiceName, must_be_free: bool
    ) -> MemberId | None:
        """Return the less loaded of two random peers, or None if none is eligible."""
        now_s = time.monotonic()
        candidates = [
            member
            for member in members
            if self.unreachable_until_s.get(member, 0.0) <= now_s
            and not (must_be_free and not self.load_of(member, service).free)
        ]
        if not candidates:
            return None
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda member: self.wait_rank(member, service))

    def wait_rank(self, member: MemberId, service: ServiceName) -> float:
        """Return a sort key that is lower the sooner a request is expected to start."""
        load = self.load_of(member, service)
        if load.free:
            return -float(load.free)
        return (load.waiting + 1) / max(1, load.slots)
