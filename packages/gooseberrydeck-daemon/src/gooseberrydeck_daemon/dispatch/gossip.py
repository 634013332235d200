"""Distribution of pool loads to peers within a bandwidth budget."""

import random
from collections.abc import Callable, Mapping

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_daemon.dispatch.messages import LoadSummary
from gooseberrydeck_daemon.dispatch.pools import PoolLoad
from gooseberrydeck_daemon.peers import Peers
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task

__all__ = ["GossipTask"]

GOSSIP_PERIOD_S = 0.1
BUDGET_BYTES_PER_S = 3_000
FRAME_BYTES = 80
BURST_S = 0.5


class GossipTask(Task[None]):
    """Send load summaries to peers in round-robin order within a byte budget."""

    def __init__(
        self,
        loads: Callable[[], Mapping[ServiceName, PoolLoad]],
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
    ) -> None:
        """Send the result of ``loads`` to the members of ``membership``."""
        super().__init__("gossip", tick_s=GOSSIP_PERIOD_S)
        self.loads = loads
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.allowance_bytes = 0.0
        self.last_tick_s = clock.monotonic()
        self.peer_index = random.randrange(1024)

    def tick(self) -> None:
        """Send a summary to as many peers as the accumulated allowance permits."""
        now_s = self.clock.monotonic()
        earned_bytes = (now_s - self.last_tick_s) * BUDGET_BYTES_PER_S
        max_bytes = BUDGET_BYTES_PER_S * BURST_S
        self.allowance_bytes = min(max_bytes, self.allowance_bytes + earned_bytes)
        self.last_tick_s = now_s
        targets = self.membership.peers()
        if not targets:
            return
        summary = LoadSummary(dict(self.loads()))
        cost_bytes = len(msgspec.msgpack.encode(summary)) + FRAME_BYTES
        for _ in targets:
            if self.allowance_bytes < cost_bytes:
                return
            self.peer_index += 1
            self.allowance_bytes -= cost_bytes
            self.peers.send(targets[self.peer_index % len(targets)].member, summary)
