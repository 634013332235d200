"""Rate limiting of a member's commits."""

from gooseberrydeck_coordination.clock import Clock

__all__ = ["CommitPacer"]


class CommitPacer:
    """Divide the write rate of the store between the members.

    A write after an idle period is not delayed. Under load, a member pauses between two
    transactions so that all members together make ``writes_per_s`` transactions.
    """

    def __init__(self, clock: Clock, writes_per_s: float) -> None:
        """Initialize with a single member, which has all of ``writes_per_s``."""
        self.clock = clock
        self.writes_per_s = writes_per_s
        self.members = 1
        self.next_at_s = clock.monotonic()

    @property
    def interval_s(self) -> float:
        """The seconds between two transactions of one member."""
        return self.members / self.writes_per_s

    def delay_s(self) -> float:
        """Return how many seconds to wait before the next transaction."""
        return max(0.0, self.next_at_s - self.clock.monotonic())

    def record_commit(self) -> None:
        """Record that a transaction is about to be sent."""
        self.next_at_s = self.clock.monotonic() + self.interval_s
