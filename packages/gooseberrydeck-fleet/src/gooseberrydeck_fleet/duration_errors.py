"""The errors of learned durations and of callers' estimates over the last runs."""

__all__ = ["BETTER_RATIO", "MIN_WEIGHT", "ErrorRecord"]

MEMORY = 20.0
"""Weight of the past errors that counts, in steps."""

MIN_WEIGHT = 4.0
"""Weight, in steps, from which a record is conclusive."""

MAX_ERROR = 1.5
"""Larger errors count as this one, as a natural logarithm.

Rare runs that take many times as long are beyond both, and would hide the difference.
"""

BETTER_RATIO = 0.8
"""Learned durations are used from this ratio of their error to the estimates' on."""

WORSE_RATIO = 0.95
"""Learned durations are no longer used from this ratio on; the gap avoids flapping."""


class ErrorRecord:
    """Decayed means of the absolute errors, as natural logarithms."""

    __slots__ = ("estimate", "is_better", "learned", "weight")

    def __init__(self) -> None:
        """Create a record without errors."""
        self.weight = 0.0
        self.learned = 0.0
        self.estimate = 0.0
        self.is_better = False

    @property
    def is_conclusive(self) -> bool:
        """Return True if enough runs have been judged."""
        return self.weight >= MIN_WEIGHT

    def add(self, learned: float, estimate: float | None, weight: float) -> None:
        """Add the errors of a run; without an estimate, that has the largest error."""
        self.weight = self.weight * (1 - weight / MEMORY) + weight
        share = weight / self.weight
        estimate = MAX_ERROR if estimate is None else estimate
        self.learned += share * (min(abs(learned), MAX_ERROR) - self.learned)
        self.estimate += share * (min(abs(estimate), MAX_ERROR) - self.estimate)
        ratio = WORSE_RATIO if self.is_better else BETTER_RATIO
        self.is_better = self.is_conclusive and self.learned < ratio * self.estimate
