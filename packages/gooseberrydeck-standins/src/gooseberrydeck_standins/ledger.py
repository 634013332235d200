"""A record of everything that ran, where and when."""

import math
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import HostName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Ledger", "Run", "logical_task"]


class Run(msgspec.Struct):
    """One run; times are monotonic seconds, and ``ended_s`` is None while it runs."""

    id: str
    host: HostName
    team: TeamName
    resources: Resources
    started_s: float
    ended_s: float | None = None
    succeeded: bool = False


def logical_task(task: str) -> str:
    """Return ``JOB/INDEX`` of ``JOB/INDEX/ATTEMPT``."""
    return task.rsplit("/", 1)[0]


class Ledger:
    """The runs of one or several hosts; several threads may use it."""

    def __init__(self, runs: Iterable[Run] = ()) -> None:
        """Begin with ``runs``, as gathered from other ledgers."""
        self.runs = list(runs)
        self.lock = threading.Lock()

    def add(self, run: Run) -> Run:
        """Record the start of a run and return it, for its end to be filled in."""
        with self.lock:
            self.runs.append(run)
        return run

    def snapshot(self) -> list[Run]:
        """Return the runs so far."""
        with self.lock:
            return list(self.runs)

    def started_twice(self) -> list[str]:
        """Return the ids that were started more than once, anywhere."""
        counts = Counter(run.id for run in self.snapshot())
        return sorted(each for each, count in counts.items() if count > 1)

    def succeeded_twice(self) -> list[str]:
        """Return the tasks of which more than one attempt succeeded."""
        counts = Counter(
            logical_task(run.id) for run in self.snapshot() if run.succeeded
        )
        return sorted(each for each, count in counts.items() if count > 1)

    def overlapping(self) -> list[str]:
        """Return the tasks of which two attempts ran at one time."""
        peaks = self.peaks(lambda run: logical_task(run.id))
        return sorted(each for each, peak in peaks.items() if peak > 1)

    def over_capacity(self, capacities: Mapping[HostName, Resources]) -> list[HostName]:
        """Return the hosts that were ever committed beyond their capacity."""
        by_host: dict[HostName, list[Run]] = defaultdict(list)
        for run in self.snapshot():
            by_host[run.host].append(run)
        return sorted(
            host for host, runs in by_host.items() if exceeds(runs, capacities[host])
        )

    def over_limit(self, limits: Mapping[TeamName, int]) -> list[TeamName]:
        """Return the teams that ever had more running than their limit."""
        peaks = self.peaks(lambda run: run.team)
        return sorted(
            TeamName(team)
            for team, peak in peaks.items()
            if peak > limits.get(TeamName(team), math.inf)
        )

    def peaks(self, key: Callable[[Run], str]) -> dict[str, int]:
        """Return for each key the most runs at one time."""
        by_key: dict[str, list[Run]] = defaultdict(list)
        for run in self.snapshot():
            by_key[key(run)].append(run)
        return {name: peak(runs) for name, runs in by_key.items()}


def changes(runs: Iterable[Run]) -> list[tuple[float, int, Run]]:
    """Return ends (-1) and starts (+1) in order of time, ends first."""
    found = []
    for run in runs:
        found.append((run.started_s, 1, run))
        if run.ended_s is not None:
            found.append((run.ended_s, -1, run))
    return sorted(found, key=lambda change: change[:2])


def peak(runs: Iterable[Run]) -> int:
    """Return the most runs at one time."""
    running = highest = 0
    for _, step, _ in changes(runs):
        running += step
        highest = max(highest, running)
    return highest


def exceeds(runs: Iterable[Run], capacity: Resources) -> bool:
    """Tell whether runs ever took more than a host's capacity."""
    taken = NO_RESOURCES
    for _, step, run in changes(runs):
        taken = taken + run.resources if step > 0 else taken - run.resources
        if not taken.fits_in(capacity):
            return True
    return False
