"""Run the soak: ``python -m soak.run --seeds 1-50``.

Prints one line a seed; exits with 1 if a promise was broken.
"""

import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import typer

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    default_configuration,
    job_body,
)
from soak.faults import Cell, Fault, draw_schedule

__all__ = ["Report", "run_seed"]

LENGTH_S = 10.0
FINISH_S = 45.0
SUBMIT_EVERY_S = 0.12
FINAL = (b"completed", b"failed", b"cancelled")
REFUSED = (429, 503)
INTERNAL_ERROR = 500


class Report(msgspec.Struct):
    """What a run has seen; ``broken`` names the promises that were not kept."""

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    broken: list[str] = []
    seconds: float = 0.0


class Clients:
    """Submit jobs at any member, again until they are accepted or given up."""

    def __init__(self, cell: Cell, seed: int) -> None:
        """Draw the jobs from a seed."""
        self.cell = cell
        self.draw = random.Random(seed)
        self.stopping = threading.Event()
        self.accepted: list[str] = []
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.failed: set[str] = set()

    def run(self) -> None:
        """Submit until stopped."""
        number = 0
        while not self.stopping.wait(SUBMIT_EVERY_S):
            number += 1
            queue = self.draw.choice(("urgent", "slow"))
            self.submit(f"/{queue}/{number:016x}")

    def submit(self, path: str) -> None:
        """Try a job at up to three members, under the same id."""
        body = job_body(
            seconds=self.draw.uniform(0.1, 1.2),
            tasks=self.draw.randint(1, 4),
            cpu=self.draw.choice((1_000, 3_000)),
            steps=self.draw.randint(1, 2),
        )
        is_certain = True
        for _ in range(3):
            member = self.cell.member(self.draw.randrange(100))
            answer = member.call("POST", path, body)
            if answer is not None and answer.status == INTERNAL_ERROR:
                self.failed.add(path)
            if answer is not None and answer.status == 200:
                self.accepted.append(path)
                return
            is_certain = is_certain and answer is not None and answer.status in REFUSED
        (self.refused if is_certain else self.unknown).add(path)


def play(cell: Cell, schedule: list[Fault]) -> None:
    """Inject the faults of a schedule at their times."""
    began_s = time.monotonic()
    ends: list[tuple[float, Callable[[], None]]] = []
    waiting = list(schedule)
    while waiting or ends:
        now_s = time.monotonic() - began_s
        while waiting and waiting[0].at_s <= now_s:
            fault = waiting.pop(0)
            ends.append((now_s + fault.for_s, cell.begin(fault)))
        for due in [each for each in ends if each[0] <= now_s]:
            ends.remove(due)
            due[1]()
        time.sleep(0.02)


def unfinished(cell: Cell, paths: list[str]) -> list[str]:
    """Return the jobs that no member shows in a final state."""
    return [path for path in paths if not is_final(cell, path)]


def is_final(cell: Cell, path: str) -> bool:
    """Tell whether some member shows a job in a final state."""
    for member in list(cell.platform.members.values()):
        answer = member.call("GET", path)
        if answer is not None and any(word in answer.body for word in FINAL):
            return True
    return False


def check_end(cell: Cell, clients: Clients, report: Report) -> None:
    """Wait for every accepted job, and look at what must never have happened."""
    end_s = time.monotonic() + FINISH_S
    left = clients.accepted
    while left and time.monotonic() < end_s:
        left = unfinished(cell, left)
    report.broken.extend(f"accepted and not finished: {path}" for path in left)
    report.broken.extend(f"internal error: {path}" for path in clients.failed)
    report.broken.extend(cell.platform.violations())
    started = {span.task for span in cell.platform.spans()}
    for path in clients.refused:
        job = path.rpartition("/")[2]
        if any(job in task for task in started):
            report.broken.append(f"refused and run: {path}")


def run_seed(seed: int, folder: Path, length_s: float = LENGTH_S) -> Report:
    """Play one seed and return what was seen."""
    report = Report(seed)
    began_s = time.monotonic()
    with LocalPlatform(folder) as platform:
        platform.publish(default_configuration(with_advice=seed % 2 == 0))
        cell = Cell(platform)
        platform.wait_ready()
        clients = Clients(cell, seed)
        traffic = threading.Thread(target=clients.run)
        traffic.start()
        try:
            play(cell, draw_schedule(seed, length_s))
        finally:
            clients.stopping.set()
            traffic.join()
        cell.heal()
        platform.wait_ready()
        check_end(cell, clients, report)
    report.accepted = len(clients.accepted)
    report.refused = len(clients.refused)
    report.unknown = len(clients.unknown)
    report.seconds = round(time.monotonic() - began_s, 1)
    return report


def main(seeds: str = "1-3", keep: Path | None = None) -> None:
    """Play seeds ``FIRST-LAST``; logs of broken ones are kept in ``keep``."""
    first, _, last = seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if keep is not None:
                folder = keep / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            report = run_seed(seed, folder)
        typer.echo(msgspec.json.encode(report).decode())
        failed += bool(report.broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
