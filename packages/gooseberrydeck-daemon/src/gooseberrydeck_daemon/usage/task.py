"""Distribution of usage summaries to peers within a bandwidth budget."""

from collections.abc import Callable, Sequence

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_daemon.peers import Peers
from gooseberrydeck_daemon.usage.messages import ShardUsage, UsageSummary
from gooseberrydeck_daemon.usage.table import UsageTable
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task

__all__ = ["UsageTask"]

TICK_S = 0.25
BUDGET_BYTES_PER_S = 1_000.0
BURST_BYTES = 8_000.0
FRAME_BYTES = 80
RESEND_AFTER_TICKS = 40


class UsageTask(Task[None]):
    """Send the summaries of owned shards to peers in round-robin order.

    An unchanged summary is sent again only after ``RESEND_AFTER_TICKS`` ticks, in case
    it was lost.
    """

    def __init__(
        self,
        summaries: Callable[[], Sequence[ShardUsage]],
        table: UsageTable,
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
    ) -> None:
        """Send the result of ``summaries`` to the members of ``membership``."""
        super().__init__("usage", tick_s=TICK_S)
        self.summaries = summaries
        self.table = table
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.allowance_bytes = BURST_BYTES
        self.last_tick_s = clock.monotonic()
        self.peer_index = 0
        self.unchanged_ticks = 0
        self.last_content: bytes = b""
        self.pending_peers = 0

    def tick(self) -> None:
        """Send the newest summary to as many peers as the allowance permits."""
        self.refill_allowance()
        shards = tuple(self.summaries())
        self.table.observe(shards)
        targets = self.membership.peers()
        if not targets or not shards:
            return
        self.update_pending(shards, len(targets))
        message = UsageSummary(shards)
        cost_bytes = len(msgspec.msgpack.encode(message)) + FRAME_BYTES
        while self.pending_peers and self.allowance_bytes >= cost_bytes:
            self.peer_index += 1
            self.pending_peers -= 1
            self.allowance_bytes -= cost_bytes
            self.peers.send(targets[self.peer_index % len(targets)].member, message)

    def refill_allowance(self) -> None:
        """Add the bytes earned since the last tick to the allowance."""
        now_s = self.clock.monotonic()
        earned_bytes = (now_s - self.last_tick_s) * BUDGET_BYTES_PER_S
        self.allowance_bytes = min(BURST_BYTES, self.allowance_bytes + earned_bytes)
        self.last_tick_s = now_s

    def update_pending(self, shards: Sequence[ShardUsage], targets: int) -> None:
        """Schedule a summary for all peers if it has changed or must be sent again."""
        self.unchanged_ticks += 1
        content = msgspec.msgpack.encode(
            [msgspec.structs.replace(usage, sequence=0) for usage in shards]
        )
        if content != self.last_content or self.unchanged_ticks >= RESEND_AFTER_TICKS:
            self.last_content = content
            self.unchanged_ticks = 0
            self.pending_peers = targets
