"""Tell peers the state of our shards, within a budget of bytes."""

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
MAX_QUIET_ROUNDS = 40


class UsageTask(Task[None]):
    """Send our shards' summaries to one peer after another.

    A summary that has not changed since a peer got it is sent again only after
    ``MAX_QUIET_ROUNDS`` ticks, in case it was lost.
    """

    def __init__(
        self,
        summaries: Callable[[], Sequence[ShardUsage]],
        table: UsageTable,
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
    ) -> None:
        """Tell what ``summaries`` returns to the members of ``membership``."""
        super().__init__("usage", tick_s=TICK_S)
        self.summaries = summaries
        self.table = table
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.allowance_bytes = BURST_BYTES
        self.last_s = clock.monotonic()
        self.turn = 0
        self.quiet_rounds = 0
        self.last_content: bytes = b""
        self.pending = 0

    def tick(self) -> None:
        """Send the newest summary to as many peers as the allowance pays for."""
        self.earn()
        shards = tuple(self.summaries())
        self.table.observe(shards)
        targets = self.membership.peers()
        if not targets or not shards:
            return
        self.note_content(shards, len(targets))
        message = UsageSummary(shards)
        cost_bytes = len(msgspec.msgpack.encode(message)) + FRAME_BYTES
        while self.pending and self.allowance_bytes >= cost_bytes:
            self.turn += 1
            self.pending -= 1
            self.allowance_bytes -= cost_bytes
            self.peers.send(targets[self.turn % len(targets)].member, message)

    def earn(self) -> None:
        """Add what the time since the last tick allows to send."""
        now_s = self.clock.monotonic()
        earned_bytes = (now_s - self.last_s) * BUDGET_BYTES_PER_S
        self.allowance_bytes = min(BURST_BYTES, self.allowance_bytes + earned_bytes)
        self.last_s = now_s

    def note_content(self, shards: Sequence[ShardUsage], targets: int) -> None:
        """Decide how many peers still have to be told."""
        self.quiet_rounds += 1
        content = msgspec.msgpack.encode(
            [msgspec.structs.replace(usage, sequence=0) for usage in shards]
        )
        if content != self.last_content or self.quiet_rounds >= MAX_QUIET_ROUNDS:
            self.last_content = content
            self.quiet_rounds = 0
            self.pending = targets
