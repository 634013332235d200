"""A log of task runs, with checks for duplicates and exceeded limits."""

import math
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import HostName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Ledger", "Run", "logical_task"]


class Run(msgspec.Struct):
    """One run. Times are monotonic seconds; ``ended_s`` is None while it runs."""

    id: str
    host: HostName
    team: TeamName
    resources: Resources
    started_s: float
    ended_s: float | None = None
    succeeded: bool = False


def logical_task(task: str) -> str:
    """Return the task id without its attempt: ``JOB/INDEX``."""
    return task.rsplit("/", 1)[0]


class Ledger:
    """The runs of one or several hosts. Thread-safe."""

    def __init__(self, runs: Iterable[Run] = ()) -> None:
        """Create a ledger of ``runs``, for example those of other ledgers."""
        self.runs = list(runs)
        self.lock = threading.Lock()

    def add(self, run: Run) -> Run:
        """Add a run and return it; the caller sets its end later."""
        with self.lock:
            self.runs.append(run)
        return run

    def snapshot(self) -> list[Run]:
        """Return a copy of the list of runs."""
        with self.lock:
            return list(self.runs)

    def started_twice(self) -> list[str]:
        """Return the ids that were started more than once, on any host."""
        counts = Counter(run.id for run in self.snapshot())
        return sorted(each for each, count in counts.items() if count > 1)

    def succeeded_twice(self) -> list[str]:
        """Return the tasks with more than one successful attempt."""
        counts = Counter(
            logical_task(run.id) for run in self.snapshot() if run.succeeded
        )
        return sorted(each for each, count in counts.items() if count > 1)

    def overlapping(self) -> list[str]:
        """Return the tasks with concurrent attempts."""
        peaks = self.max_concurrent_by(lambda run: logical_task(run.id))
        return sorted(each for each, count in peaks.items() if count > 1)

    def over_capacity(self, capacities: Mapping[HostName, Resources]) -> list[HostName]:
        """Return the hosts whose runs ever exceeded their capacity."""
        by_host: dict[HostName, list[Run]] = defaultdict(list)
        for run in self.snapshot():
            by_host[run.host].append(run)
        return sorted(
            host
            for host, runs in by_host.items()
            if exceeds_capacity(runs, capacities[host])
        )

    def over_limit(self, limits: Mapping[TeamName, int]) -> list[TeamName]:
        """Return the teams that ever had more concurrent runs than their limit."""
        peaks = self.max_concurrent_by(lambda run: run.team)
        return sorted(
            TeamName(team)
            for team, count in peaks.items()
            if count > limits.get(TeamName(team), math.inf)
        )

    def max_concurrent_by(self, key: Callable[[Run], str]) -> dict[str, int]:
        """Return the maximum number of concurrent runs for each key."""
        by_key: dict[str, list[Run]] = defaultdict(list)
        for run in self.snapshot():
            by_key[key(run)].append(run)
        return {name: max_concurrent(runs) for name, runs in by_key.items()}


def start_end_events(runs: Iterable[Run]) -> list[tuple[float, int, Run]]:
    """Return starts (+1) and ends (-1) by time; at equal times, ends come first."""
    found = []
    for run in runs:
        found.append((run.started_s, 1, run))
        if run.ended_s is not None:
            found.append((run.ended_s, -1, run))
    return sorted(found, key=lambda change: change[:2])


def max_concurrent(runs: Iterable[Run]) -> int:
    """Return the maximum number of concurrent runs."""
    running = highest = 0
    for _, step, _ in start_end_events(runs):
        running += step
        highest = max(highest, running)
    return highest


def exceeds_capacity(runs: Iterable[Run], capacity: Resources) -> bool:
    """Return True if the runs on a host ever exceeded its capacity."""
    taken = NO_RESOURCES
    for _, step, run in start_end_events(runs):
        taken = taken + run.resources if step > 0 else taken - run.resources
        if not taken.fits_in(capacity):
            return True
    return False
