"""What is known of the runs that a task has lost with its workers."""

from collections.abc import Iterable

import msgspec

from gooseberrydeck_fleet.ids import WorkerId

__all__ = ["MIN_CRASHES", "CrashRecord", "suspicion", "total_blame"]

MIN_CRASHES = 2
"""Crashes under a task from which it may be given up, as the platform permits."""

CRASH_FACTOR = 20.0
"""How much more likely a task is to cause a crash for each former one under it, if no
other workers fell silent then. Few tasks lose several runs by chance."""

CLEARED_FACTOR = 0.5
"""What is left of the evidence of a crash once the task has worked longer than then;
it may crash workers only now and then."""


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that was on a worker when the worker stopped answering.

    ``born_ms`` identifies the worker's process at ``address``, and ``silent_s`` is when
    it stopped answering, in Unix seconds. The run had taken ``age_s`` seconds by then.
    ``blame`` is the task's share of the blame for the crash, and ``relevance``, up to
    1, is less the more workers fell silent at once. Both are 0 as long as the worker
    may only be out of reach, and less if it has only vanished: nothing has shown that
    its process ended. ``is_cleared`` says that the task has worked longer since.
    """

    run: int
    worker: WorkerId
    born_ms: int
    silent_s: float
    age_s: float
    blame: float = 0.0
    relevance: float = 0.0
    address: str = ""
    is_vanished: bool = False
    is_cleared: bool = False

    @property
    def is_counted(self) -> bool:
        """Return True if the worker counts as crashed."""
        return self.relevance > 0

    def cleared(self) -> "CrashRecord":
        """Return the record of a task that has worked longer since."""
        return msgspec.structs.replace(
            self,
            blame=self.blame * CLEARED_FACTOR,
            relevance=self.relevance * CLEARED_FACTOR,
            is_cleared=True,
        )


def total_blame(records: Iterable[CrashRecord]) -> float:
    """Return the sum of a task's shares of the blame for crashes."""
    return sum(record.blame for record in records)


def suspicion(records: Iterable[CrashRecord]) -> float:
    """Return how much more likely than others a task is to cause a crash."""
    return float(CRASH_FACTOR ** sum(record.relevance for record in records))
