"""The record of a script: what was sent, answered and run."""

import threading
import time
from pathlib import Path

__all__ = ["Record", "RunEvent"]


class RunEvent:
    """The time at which a run began on a minion, or ended there."""

    def __init__(self, at_s: float, minion: str, task: str, run: int, how: str) -> None:
        """Create an event; ``how`` is ``start`` or the kind of the end."""
        self.at_s = at_s
        self.minion = minion
        self.task = task
        self.run = run
        self.how = how


class Record:
    """Lines with times since the script's begin, and the events of all runs."""

    def __init__(self, path: Path) -> None:
        """Write to ``path``, replacing an earlier record."""
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began_s = time.monotonic()
        self.runs: list[RunEvent] = []

    def now_s(self) -> float:
        """Return the time since the script began, in seconds."""
        return time.monotonic() - self.began_s

    def add(self, who: str, what: str) -> None:
        """Add a line."""
        with self.lock:
            self.file.write(f"{self.now_s():8.3f}  {who:<12} {what}\n")
            self.file.flush()

    def run_event(self, minion: str, task: str, run: int, how: str) -> None:
        """Add the begin or the end of a run."""
        with self.lock:
            self.runs.append(RunEvent(self.now_s(), minion, task, run, how))
        self.add(minion, f"run {how}: {task} run {run}")

    def events_of(self, job: str) -> list[RunEvent]:
        """Return the events of a job's runs, in order."""
        with self.lock:
            return [each for each in self.runs if each.task.split(".")[0] == job]

    def overlaps(self, job: str) -> list[str]:
        """Return the tasks of a job of which two runs were there at the same time."""
        present: dict[str, set[tuple[str, int]]] = {}
        found: list[str] = []
        for each in self.events_of(job):
            runs = present.setdefault(each.task, set())
            if each.how == "start":
                runs.add((each.minion, each.run))
                if len(runs) > 1:
                    places = ", ".join(f"{m} run {n}" for m, n in sorted(runs))
                    found.append(f"{each.task} at {each.at_s:.3f} s: {places}")
            else:
                runs.discard((each.minion, each.run))
        return found
