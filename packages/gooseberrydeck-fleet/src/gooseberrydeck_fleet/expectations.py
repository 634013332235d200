"""What is expected of the duration of a run, and why nothing is learned from one."""

import math
from enum import Enum
from typing import NamedTuple

from gooseberrydeck_coordination.ids import QueueName
from gooseberrydeck_fleet.durations import DurationGroup
from gooseberrydeck_fleet.work import StepSpec

__all__ = [
    "Expectation",
    "ExpectationSource",
    "GroupKey",
    "JudgedRun",
    "Refusal",
    "find_odd_duration",
    "find_weight",
    "to_key",
]

MAX_STEP_NUMBER = 7
"""Later steps of a job share the group of this one."""

MAX_DURATION_S = 86_400.0
"""Longer durations are refused: a jump of a clock is more likely."""

MIN_DURATION_S = 0.05
"""Shorter durations are refused: the time to start and report dominates them."""

MAX_STEP_TASKS = 32
"""A run weighs at least one part in this many of its step."""


class ExpectationSource(Enum):
    """Where an expectation comes from."""

    TEAM = "team"
    QUEUE = "queue"
    ESTIMATE = "estimate"


class Refusal(Enum):
    """Why nothing is learned from a run that has succeeded."""

    LONG_RUNNING = "long_running"
    NOT_STARTED_HERE = "not_started_here"
    """Adopted, or started by a request without an answer."""
    RESUMED_OR_COLD = "resumed_or_cold"
    THROTTLED = "throttled"
    WORKER_WAS_SILENT = "worker_was_silent"
    STOPPING = "stopping"
    CLOCK_STEP = "clock_step"
    TOO_SHORT = "too_short"
    TOO_LONG = "too_long"


class GroupKey(NamedTuple):
    """What distinguishes the groups of a team."""

    queue: QueueName
    number: int
    has_estimate: bool


class Expectation(NamedTuple):
    """The expected duration of a task on a worker of average speed.

    ``is_used`` says whether it has been better than the caller's estimate.
    """

    typical_s: float
    nine_of_ten_s: float
    source: ExpectationSource
    is_used: bool
    group: DurationGroup | None

    def remaining_s(self, elapsed_s: float) -> float:
        """Return how long a run that has taken ``elapsed_s`` so far still takes.

        A run beyond the typical duration is expected to reach that of the slowest.
        One beyond that too is expected to take half as long again as it has taken.
        """
        if elapsed_s < self.typical_s:
            return self.typical_s - elapsed_s
        return max(self.nine_of_ten_s - elapsed_s, elapsed_s / 2)


class JudgedRun(NamedTuple):
    """A finished run with what was expected of it, in seconds."""

    queue: QueueName
    actual_s: float
    learned_s: float
    estimate_s: float


def to_key(queue: QueueName, number: int, step: StepSpec) -> GroupKey:
    """Return the group of a step of a queue's jobs."""
    return GroupKey(queue, min(number, MAX_STEP_NUMBER), step.estimate_s > 0)


def find_weight(step: StepSpec) -> float:
    """Return the weight of one run of a step."""
    return 1 / min(step.count, MAX_STEP_TASKS)


def find_odd_duration(seconds: float) -> Refusal | None:
    """Return why a duration can't be right, or None."""
    if not math.isfinite(seconds) or seconds < 0:
        return Refusal.CLOCK_STEP
    if seconds < MIN_DURATION_S:
        return Refusal.TOO_SHORT
    return Refusal.TOO_LONG if seconds > MAX_DURATION_S else None
