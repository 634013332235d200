"""Summaries of the durations learned in each queue, for operators."""

import math
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from gooseberrydeck_coordination.ids import QueueName
from gooseberrydeck_fleet.duration_errors import ErrorRecord
from gooseberrydeck_fleet.durations import DurationGroup
from gooseberrydeck_fleet.expectations import GroupKey

__all__ = ["QueueSummary", "StepSummary", "summarize_errors", "summarize_groups"]


class QueueSummary(NamedTuple):
    """The median errors of a queue's teams, and for how many each source is used."""

    name: QueueName
    learned: float
    estimate: float
    better: int
    worse: int


class StepSummary(NamedTuple):
    """What is typical of the tasks of a queue's steps with one number."""

    queue: QueueName
    number: int
    typical_s: float
    nine_of_ten_s: float


def summarize_errors(
    entries: Iterable[tuple[QueueName, ErrorRecord]],
) -> list[QueueSummary]:
    """Return a summary for each queue of which a team has errors."""
    by_queue: dict[QueueName, list[ErrorRecord]] = {}
    for queue, record in entries:
        by_queue.setdefault(queue, []).append(record)
    return [
        QueueSummary(
            queue,
            median(each.learned for each in records),
            median(each.estimate for each in records),
            sum(each.is_better for each in records),
            sum(not each.is_better for each in records),
        )
        for queue, records in by_queue.items()
    ]


def summarize_groups(
    entries: Iterable[tuple[GroupKey, DurationGroup]],
) -> list[StepSummary]:
    """Return a summary for each step number of a queue, at the usual estimates."""
    by_step: dict[tuple[QueueName, int], list[DurationGroup]] = {}
    for key, group in entries:
        by_step.setdefault((key.queue, key.number), []).append(group)
    return [
        StepSummary(
            queue,
            number,
            median(math.exp(each.typical(each.mean_estimate)) for each in groups),
            median(math.exp(each.nine_of_ten(each.mean_estimate)) for each in groups),
        )
        for (queue, number), groups in by_step.items()
    ]
