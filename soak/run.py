"""Run the soak test: ``python -m soak.run --seeds 1-50``.

Prints one line of JSON for each seed; exits with 1 if a guarantee was violated.
"""

import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec
import typer

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    default_configuration,
    job_body,
)
from gooseberrydeck_standins.fleet_worker import CRASHED
from soak.faults import Cell, Fault, draw_schedule

__all__ = ["Report", "run_seed"]

LENGTH_S = 10.0
FINISH_S = 45.0
SUBMIT_EVERY_S = 0.12
DEADLY_SHARE = 0.03
"""Share of the jobs with a task that crashes each worker that starts it."""

MAX_CRASHES = 5
"""A task isn't started three times more after three workers have crashed under it."""

FINAL = (b"completed", b"failed", b"cancelled")
REFUSED = (429, 503)
INTERNAL_ERROR = 500


class Report(msgspec.Struct):
    """Results of a run; ``broken`` lists the violated guarantees."""

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    broken: list[str] = []
    seconds: float = 0.0


class JobClient:
    """Client that submits jobs to random members, with retries."""

    def __init__(self, cell: Cell, seed: int, with_crashes: bool) -> None:
        """Create a client whose jobs are generated from a seed.

        With ``with_crashes``, a few of them have a task that crashes its workers.
        """
        self.cell = cell
        self.with_crashes = with_crashes
        self.rng = random.Random(seed)
        self.stopping = threading.Event()
        self.accepted: list[str] = []
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.failed: set[str] = set()
        self.deadly: set[str] = set()

    def run(self) -> None:
        """Submit jobs until stopped."""
        number = 0
        while not self.stopping.wait(SUBMIT_EVERY_S):
            number += 1
            queue = self.rng.choice(("urgent", "slow"))
            self.submit(f"/{queue}/{number:016x}")

    def submit(self, path: str) -> None:
        """Submit a job under one id, with up to three attempts at random members.

        A job counts as refused only if every attempt was refused; otherwise its
        outcome is unknown.
        """
        is_deadly = self.with_crashes and self.rng.random() < DEADLY_SHARE
        if is_deadly:
            self.deadly.add(path)
        body = job_body(
            seconds=self.rng.uniform(0.1, 1.2),
            tasks=self.rng.randint(1, 4),
            cpu=self.rng.choice((1_000, 3_000)),
            steps=self.rng.randint(1, 2),
            crashing=0 if is_deadly else -1,
        )
        is_certain = True
        for _ in range(3):
            member = self.cell.member(self.rng.randrange(100))
            response = member.call("POST", path, body)
            if response is not None and response.status == INTERNAL_ERROR:
                self.failed.add(path)
            if response is not None and response.status == 200:
                self.accepted.append(path)
                return
            is_certain = (
                is_certain and response is not None and response.status in REFUSED
            )
        (self.refused if is_certain else self.unknown).add(path)


def inject_faults(cell: Cell, schedule: list[Fault]) -> None:
    """Inject the faults of a schedule and end each after its duration."""
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


def find_unfinished(cell: Cell, paths: list[str]) -> list[str]:
    """Return the jobs that no member reports in a final state."""
    return [path for path in paths if not is_final(cell, path)]


def is_final(cell: Cell, path: str) -> bool:
    """Return True if any member reports a job in a final state."""
    for member in list(cell.platform.members.values()):
        response = member.call("GET", path)
        if response is not None and any(word in response.body for word in FINAL):
            return True
    return False


def has_failed(cell: Cell, path: str) -> bool:
    """Return True if any member reports that a job has failed."""
    for member in list(cell.platform.members.values()):
        response = member.call("GET", path)
        if response is not None and b"failed" in response.body:
            return True
    return False


def check_failures(cell: Cell, client: JobClient, report: Report) -> None:
    """Report good jobs that were given up, and tasks that crashed too many workers."""
    report.broken.extend(
        f"given up: {path}"
        for path in client.accepted
        if path not in client.deadly and has_failed(cell, path)
    )
    crashes: Counter[str] = Counter()
    for span in cell.platform.spans():
        path = next((each for each in client.deadly if job_of(each) in span.task), "")
        if path and span.kind == CRASHED and span.task.endswith("number=0)"):
            crashes[span.task] += 1
    report.broken.extend(
        f"crashed {count} workers: {task}"
        for task, count in crashes.items()
        if count > MAX_CRASHES
    )


def job_of(path: str) -> str:
    """Return the id of the job at a path."""
    return path.rpartition("/")[2]


def check_end(cell: Cell, client: JobClient, report: Report) -> None:
    """Wait for the accepted jobs and add violated guarantees to the report."""
    end_s = time.monotonic() + FINISH_S
    unfinished_jobs = client.accepted
    while unfinished_jobs and time.monotonic() < end_s:
        unfinished_jobs = find_unfinished(cell, unfinished_jobs)
    report.broken.extend(
        f"accepted and not finished: {path}" for path in unfinished_jobs
    )
    report.broken.extend(f"internal error: {path}" for path in client.failed)
    report.broken.extend(cell.platform.violations())
    check_failures(cell, client, report)
    started = {span.task for span in cell.platform.spans()}
    for path in client.refused:
        if any(job_of(path) in task for task in started):
            report.broken.append(f"refused and run: {path}")


def run_seed(
    seed: int, folder: Path, length_s: float = LENGTH_S, with_crashes: bool = False
) -> Report:
    """Run the soak test for one seed and return its report.

    With ``with_crashes``, some tasks crash their workers, and workers shrink.
    """
    report = Report(seed)
    began_s = time.monotonic()
    with LocalPlatform(folder) as platform:
        platform.publish(default_configuration(with_advice=seed % 2 == 0))
        cell = Cell(platform)
        platform.wait_ready()
        client = JobClient(cell, seed, with_crashes)
        traffic = threading.Thread(target=client.run)
        traffic.start()
        try:
            inject_faults(cell, draw_schedule(seed, length_s, with_crashes))
        finally:
            client.stopping.set()
            traffic.join()
        cell.recover()
        platform.wait_ready()
        check_end(cell, client, report)
    report.accepted = len(client.accepted)
    report.refused = len(client.refused)
    report.unknown = len(client.unknown)
    report.seconds = round(time.monotonic() - began_s, 1)
    return report


def main(seeds: str = "1-3", keep: Path | None = None, crashes: bool = True) -> None:
    """Run seeds ``FIRST-LAST``; with ``keep``, logs are written below that folder.

    With ``--no-crashes``, the seeds draw what they drew before release 0.8.
    """
    first, _, last = seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            if keep is not None:
                folder = keep / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            report = run_seed(seed, folder, with_crashes=crashes)
        typer.echo(msgspec.json.encode(report).decode())
        failed += bool(report.broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
