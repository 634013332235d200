"""What a group of finished runs tells of the duration of the next one."""

import math
from array import array
from collections.abc import Iterable

__all__ = ["TRUSTED_WEIGHT", "DurationGroup", "log_estimate"]

MEMORY = 30.0
"""Weight of the past that counts, in steps: the last thirty decide.

It covers half a minute of a team's urgent steps, so that a change shows soon.
"""

CHANGE_MEMORY = 8.0
"""The same while nearly all runs err in one direction, which shows a change."""

BIAS_MEMORY = 4.0
"""Weight of the past, in steps, by which a change is recognized."""

CHANGE_BIAS = 0.8
"""Mean sign of the residuals from which durations count as changed."""

TRUSTED_WEIGHT = 3.0
"""Weight, in steps, from which a group predicts: fewer steps may share one mistake."""

SLOPE_PRIOR = 1.0
"""Weight of the assumption that durations are in proportion to the estimates.

Without it, a few steps with similar estimates would give an arbitrary slope.
"""

INITIAL_SCALE = 0.5
"""Assumed mean residual of a new group, as a natural logarithm."""

SCALE_MEMORY = 10.0
"""Weight of the past residuals, in steps; short, so that a real change isn't clipped
for long."""

MAX_RESIDUAL_SCALES = 2.0
"""A residual beyond this many mean residuals moves the prediction no further."""

MIN_MAX_RESIDUAL = 0.3
"""Residuals up to this size are never clipped."""

BIN_WIDTH = 0.125
"""Width of a bin of the residuals, as a natural logarithm: an eighth in duration."""

BINS = 40
"""Number of bins; the outermost hold all residuals beyond a factor of ten."""

MAX_MEDIAN_SHIFT = 0.25
"""How far the median of the residuals may move the typical duration.

After a change, the residuals of the time before it would move it twice.
"""

MAX_UNIT = 1e6
"""The histogram is scaled down once a new run weighs this much in it."""

MIN_ESTIMATE_S = 0.01
"""Shorter estimates count as this one."""

MAX_ESTIMATE_S = 86_400.0
"""Longer estimates count as this one."""


def log_estimate(estimate_s: float) -> float | None:
    """Return the logarithm of a caller's estimate, or None if it isn't usable."""
    if not (math.isfinite(estimate_s) and estimate_s > 0):
        return None
    return math.log(min(max(estimate_s, MIN_ESTIMATE_S), MAX_ESTIMATE_S))


class DurationGroup:
    """A decayed regression of the duration on the estimate, and its residuals.

    Durations are natural logarithms of seconds on a worker of average speed. The weight
    of a run is its part of its step: the tasks of a step share one estimate, so that
    many of them tell little more of it than one.
    """

    __slots__ = (
        "bias",
        "covariance_sum",
        "histogram",
        "learned_s",
        "mean_estimate",
        "mean_value",
        "outlasting",
        "quantiles",
        "scale",
        "unit",
        "variance_sum",
        "weight",
    )

    def __init__(self) -> None:
        """Create a group that has seen nothing."""
        self.weight = 0.0
        self.mean_estimate = 0.0
        self.mean_value = 0.0
        self.variance_sum = 0.0
        self.covariance_sum = 0.0
        self.scale = INITIAL_SCALE
        # The mean sign of the last residuals.
        self.bias = 0.0
        self.histogram = array("d", bytes(8 * BINS))
        # The weight of a new run in the histogram: it grows instead of the past fading.
        self.unit = 1.0
        # Residuals that runs in progress have exceeded, with their weights.
        self.outlasting: list[tuple[float, float]] = []
        self.quantiles: tuple[float, float] | None = None
        self.learned_s = 0.0

    @property
    def is_trusted(self) -> bool:
        """Return True if the group has seen enough to predict."""
        return self.weight >= TRUSTED_WEIGHT

    def slope(self) -> float:
        """Return how much of a difference in the estimates durations follow, 0 to 1."""
        slope = (self.covariance_sum + SLOPE_PRIOR) / (self.variance_sum + SLOPE_PRIOR)
        return min(1.0, max(0.0, slope))

    def predict(self, estimate: float) -> float:
        """Return the expected duration, from which residuals are measured."""
        return self.mean_value + self.slope() * (estimate - self.mean_estimate)

    def typical(self, estimate: float) -> float:
        """Return the duration that half of the runs stay below."""
        median = self.find_quantiles()[0]
        shift = min(MAX_MEDIAN_SHIFT, max(-MAX_MEDIAN_SHIFT, median))
        return self.predict(estimate) + shift

    def nine_of_ten(self, estimate: float) -> float:
        """Return the duration that nine of ten runs stay below."""
        high = self.predict(estimate) + self.find_quantiles()[1]
        return max(self.typical(estimate), high)

    def learn(self, estimate: float, value: float, weight: float, now_s: float) -> None:
        """Add the duration of a run that has ended."""
        self.learned_s = now_s
        residual = value - self.predict(estimate) if self.weight else 0.0
        self.bias += weight / BIAS_MEMORY * (sign(residual) - self.bias)
        memory = MEMORY if abs(self.bias) < CHANGE_BIAS else CHANGE_MEMORY
        keep = 1 - weight / memory
        self.add_residual(residual, weight, keep)
        limit = max(MIN_MAX_RESIDUAL, MAX_RESIDUAL_SCALES * self.scale)
        clipped = value
        if self.weight:
            clipped += min(limit, max(-limit, residual)) - residual
        size = min(abs(residual), 2 * limit)
        self.scale += weight / SCALE_MEMORY * (size - self.scale)
        self.weight = self.weight * keep + weight
        share = weight / self.weight
        off_estimate = estimate - self.mean_estimate
        self.mean_estimate += share * off_estimate
        self.mean_value += share * (clipped - self.mean_value)
        left = estimate - self.mean_estimate
        # The deviations from the old and the new mean, as in Welford's recurrence.
        self.variance_sum = self.variance_sum * keep + weight * off_estimate * left
        self.covariance_sum = self.covariance_sum * keep + weight * off_estimate * (
            clipped - self.mean_value
        )

    def add_residual(self, residual: float, weight: float, keep: float) -> None:
        """Add a residual to the histogram, in which the past fades to ``keep``."""
        self.unit /= keep
        self.histogram[find_bin(residual)] += weight * self.unit
        self.quantiles = None
        if self.unit > MAX_UNIT:
            self.histogram = array("d", (each / self.unit for each in self.histogram))
            self.unit = 1.0

    def set_outlasting(self, runs: Iterable[tuple[float, float]]) -> None:
        """Replace the residuals that runs in progress have exceeded, with weights."""
        self.outlasting = list(runs)
        self.quantiles = None

    def find_quantiles(self) -> tuple[float, float]:
        """Return the median of the residuals, and what nine of ten stay below.

        A run in progress counts at what it has exceeded. That is exact for the median
        as long as only runs count that have outlasted the typical duration.
        """
        if self.quantiles is None:
            counts = self.histogram
            if self.outlasting:
                counts = array("d", self.histogram)
                for residual, weight in self.outlasting:
                    counts[find_bin(residual)] += weight * self.unit
            self.quantiles = quantile(counts, 0.5), quantile(counts, 0.9)
        return self.quantiles


def sign(value: float) -> int:
    """Return the sign of a number."""
    return (value > 0) - (value < 0)


def find_bin(residual: float) -> int:
    """Return the bin of a residual."""
    return min(BINS - 1, max(0, math.floor(residual / BIN_WIDTH) + BINS // 2))


def quantile(counts: "array[float]", share: float) -> float:
    """Return the residual that a share of the counts stays below."""
    left = share * sum(counts)
    for number, count in enumerate(counts):
        if count and count >= left:
            return (number - BINS // 2 + left / count) * BIN_WIDTH
        left -= count
    return 0.0
