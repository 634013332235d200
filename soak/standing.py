"""Check that standing tasks run, from what the workers recorded themselves."""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from gooseberrydeck_adapter.names import step_name
from gooseberrydeck_adapter_standins.advice import is_allowed
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_standins.fleet_worker import CRASHED, RunSpan

__all__ = [
    "Outage",
    "Rooms",
    "Standstill",
    "WorkerLife",
    "find_lost",
    "find_standstills",
]

GRACE_S = 6.0
"""Time after its last run in which a standing task may be without one."""

LOST_AFTER_S = 3.0
"""How long it may be without one after that, with room for it."""

CALM_S = 4.0
"""How long the cell has to be calm before that as well."""

CONTACT_S = 3.0
"""Time after its start, or an outage, in which a worker counts as without room."""

SPARE_TASKS = 2
"""A task has room if as many of its kind fit on the workers that it may use."""

LOOK_S = 0.1
"""Interval of the looks at a standstill."""


class Outage(msgspec.Struct, frozen=True):
    """A time in which a fault affected some workers or, if it names none, the cell."""

    began_s: float
    ended_s: float
    workers: frozenset[str] = frozenset()


class WorkerLife(msgspec.Struct, frozen=True):
    """A worker with the spans of its runs, from its start to its end.

    It has room for ``slots`` runs.
    """

    worker: str
    spans: list[RunSpan]
    slots: int
    began_s: float = -math.inf
    ended_s: float = math.inf


class Standstill(msgspec.Struct, frozen=True):
    """A time in which a standing task had no run, and how the run before ended.

    Without an earlier run, it begins when the job was accepted.
    """

    task: TaskRef
    began_s: float
    ended_s: float
    last_run: int = 0
    last_kind: str = ""

    @property
    def seconds(self) -> float:
        """Return how long the task stood still."""
        return self.ended_s - self.began_s


class HasRoom(Protocol):
    """Tells whether there was room."""

    def __call__(self, task: TaskRef, at_s: float) -> bool:
        """Return True if a task could have been started at a time."""


def find_standstills(
    accepted_s: Mapping[TaskRef, float], spans: Iterable[RunSpan], until_s: float
) -> list[Standstill]:
    """Return when standing tasks had no run up to ``until_s``, the longest first.

    ``accepted_s`` has the tasks with the times from which they should run.
    """
    by_task: dict[str, list[RunSpan]] = {}
    for span in sorted(spans, key=lambda span: span.began_s):
        by_task.setdefault(span.task, []).append(span)
    found = []
    for task, since_s in accepted_s.items():
        covered = Standstill(task, since_s, since_s)
        for span in by_task.get(str(task), []):
            if span.began_s > covered.ended_s:
                found.append(
                    msgspec.structs.replace(covered, ended_s=min(span.began_s, until_s))
                )
            if span.ended_s >= covered.ended_s:
                covered = Standstill(
                    task, span.ended_s, span.ended_s, span.run, span.kind
                )
        found.append(msgspec.structs.replace(covered, ended_s=until_s))
    found = [each for each in found if each.seconds > 0]
    return sorted(found, key=lambda each: -each.seconds)


def find_lost(
    standstills: Iterable[Standstill], outages: Iterable[Outage], has_room: HasRoom
) -> list[str]:
    """Describe the standstills that last longer than they may.

    The last ``LOST_AFTER_S`` of what they may last count only if there was room all
    the while, and if they and the ``CALM_S`` before were free of outages of the cell.
    """
    cell_outages = [each for each in outages if not each.workers]

    def is_calm(from_s: float, to_s: float) -> bool:
        return not any(
            each.began_s <= to_s and each.ended_s >= from_s for each in cell_outages
        )

    found = []
    for each in standstills:
        for at_s in looks(each.began_s + GRACE_S + LOST_AFTER_S, each.ended_s):
            from_s = at_s - LOST_AFTER_S
            if is_calm(from_s - CALM_S, at_s) and all(
                has_room(each.task, look_s) for look_s in looks(from_s, at_s)
            ):
                found.append(
                    f"standing task without a run for {each.seconds:.1f} s: {each}"
                )
                break
    return found


def looks(from_s: float, to_s: float) -> Iterable[float]:
    """Return the times of the looks at a span of time."""
    count = math.floor((to_s - from_s) / LOOK_S + 1e-6)
    return (from_s + LOOK_S * number for number in range(count + 1))


class Rooms:
    """Room for standing tasks on the workers, at any time."""

    def __init__(
        self,
        lives: list[WorkerLife],
        outages: Iterable[Outage],
        allowed_share: float = 1.0,
    ) -> None:
        """Create a record of the room on workers with tasks of one size.

        ``allowed_share`` is that of the workers which the advice allows for a step.
        """
        self.lives = lives
        self.allowed_share = allowed_share
        self.unavailable: dict[str, list[tuple[float, float]]] = {}
        for outage in outages:
            for worker in outage.workers:
                span_s = (outage.began_s, outage.ended_s + CONTACT_S)
                self.unavailable.setdefault(worker, []).append(span_s)

    def has_room(self, task: TaskRef, at_s: float) -> bool:
        """Return True if several tasks like ``task`` could have been started."""
        step = step_name(task.step_ref)
        free = sum(
            self.free_slots(life, at_s)
            for life in self.lives
            if is_allowed(step, life.worker, self.allowed_share)
        )
        return free >= SPARE_TASKS

    def free_slots(self, life: WorkerLife, at_s: float) -> int:
        """Return the free slots of a worker, 0 unless it was certainly available."""
        crashed_s = (each.ended_s for each in life.spans if each.kind == CRASHED)
        unavailable = itertools.chain(
            self.unavailable.get(life.worker, ()),
            ((each, each + CONTACT_S) for each in crashed_s),
        )
        if not life.began_s + CONTACT_S <= at_s < life.ended_s or any(
            began_s <= at_s <= ended_s for began_s, ended_s in unavailable
        ):
            return 0
        used = sum(span.began_s <= at_s <= span.ended_s for span in life.spans)
        return max(0, life.slots - used)
