"""How often a member may write, so that all stay within the store's rate."""

from gooseberrydeck_coordination.clock import Clock

__all__ = ["CommitPacer"]


class CommitPacer:
    """Spread the store's allowance of writes over the members.

    A lone write goes at once; under load the pause between two transactions is
    the time in which all members together write ``writes_per_s``.
    """

    def __init__(self, clock: Clock, writes_per_s: float) -> None:
        """Share ``writes_per_s`` among the members, one until told otherwise."""
        self.clock = clock
        self.writes_per_s = writes_per_s
        self.members = 1
        self.next_at_s = clock.monotonic()

    @property
    def interval_s(self) -> float:
        """Return the seconds between two transactions of one member."""
        return self.members / self.writes_per_s

    def delay_s(self) -> float:
        """Return the seconds to wait before the next transaction."""
        return max(0.0, self.next_at_s - self.clock.monotonic())

    def record_commit(self) -> None:
        """Count a transaction that is about to be sent."""
        self.next_at_s = self.clock.monotonic() + self.interval_s
