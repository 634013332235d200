"""The order in which waiting steps may request advice.

Turns go to steps by rank, but among the long-running steps of one priority, every
second one goes to the step that has waited longest for it. By rank alone, steps whose
runs end soon would ask again and again, and keep others from ever getting advice.
"""

from collections.abc import Mapping
from itertools import groupby

from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.state import Step
from gooseberrydeck_fleet.waiting import Rank

__all__ = ["AdviceTurns"]


class AdviceTurns:
    """The steps that wait to request advice, and those whose turn has come."""

    def __init__(self) -> None:
        """Start without waiting steps."""
        # When each step began to wait for its turn, in monotonic seconds.
        self.waiting: dict[StepRef, float] = {}
        self.granted: dict[StepRef, float] = {}
        self.is_longest_next = False

    def __contains__(self, step: StepRef) -> bool:
        """Return True if a step waits for its turn."""
        return step in self.waiting

    def __len__(self) -> int:
        """Return the number of steps that wait for their turn."""
        return len(self.waiting)

    def add(self, step: StepRef, since_s: float) -> None:
        """Let a step wait, unless it does already."""
        self.waiting.setdefault(step, since_s)

    def take(self, step: StepRef) -> float | None:
        """Use a step's turn; return since when it had waited, or None without one."""
        return self.granted.pop(step, None)

    def remove(self, step: StepRef) -> None:
        """Forget a step that requests advice."""
        self.waiting.pop(step, None)

    def grant(
        self,
        steps: Mapping[StepRef, Step],
        ranks: Mapping[StepRef, Rank],
        free: int,
        free_for_slow: int,
    ) -> list[StepRef]:
        """Return the steps whose turn has come, for as many requests as are free.

        ``free_for_slow`` of these are for steps that aren't urgent. Steps that don't
        wait to start any more are forgotten, and so are turns that were not used.
        """
        self.granted.clear()
        for step in self.waiting.keys() - ranks.keys():
            del self.waiting[step]
        if not free:
            return []
        order = sorted(ranks[step] for step in self.waiting)
        urgent = [rank[-1] for rank in order if rank[0] == 0][:free]
        turns = min(free - len(urgent), free_for_slow)
        slow = [rank for rank in order if rank[0] != 0] if turns > 0 else []
        for step in [*urgent, *self.choose(steps, slow, turns)]:
            self.granted[step] = self.waiting.pop(step)
        return list(self.granted)

    def choose(
        self, steps: Mapping[StepRef, Step], slow: list[Rank], turns: int
    ) -> list[StepRef]:
        """Return the steps that come next, by their ranks in order."""
        chosen: list[StepRef] = []
        for _, ranks in groupby(slow, key=lambda rank: rank[0]):
            order = [rank[-1] for rank in ranks]
            while order and len(chosen) < turns:
                step = order[0]
                if steps[step].spec.is_standing:
                    if self.is_longest_next:
                        step = self.longest_waiting(steps, order)
                    self.is_longest_next = not self.is_longest_next
                order.remove(step)
                chosen.append(step)
        return chosen

    def longest_waiting(
        self, steps: Mapping[StepRef, Step], order: list[StepRef]
    ) -> StepRef:
        """Return the long-running step that has waited longest."""
        standing = [step for step in order if steps[step].spec.is_standing]
        return min(standing, key=lambda step: self.waiting[step])

    def count_granted(self, ranks: Mapping[StepRef, Rank], is_urgent: bool) -> int:
        """Return how many urgent steps, or others, have turns that are not used yet."""
        return sum(
            (ranks[step][0] == 0) is is_urgent for step in self.granted if step in ranks
        )

    def count_before(self, step: StepRef, ranks: Mapping[StepRef, Rank]) -> int:
        """Return how many of the waiting steps have a better rank than a step."""
        return sum(ranks[each] < ranks[step] for each in self.waiting if each in ranks)
