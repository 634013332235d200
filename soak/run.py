"""Run the soak test: ``python -m soak.run --seeds 1-50``.

Prints one line of JSON for each seed; exits with 1 if a guarantee was violated.
"""

import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from enum import Enum
from pathlib import Path

import msgspec
import typer

from gooseberrydeck_adapter_standins.local_platform import (
    DEFAULT_PAGE_ITEMS,
    LocalPlatform,
    default_configuration,
)
from gooseberrydeck_ctl.log_check import check_logs
from gooseberrydeck_standins.fleet_worker import CRASHED, RunSpan
from soak.callers import JobClient, StateClient, job_of
from soak.evacuations import (
    EVACUATION_LENGTH_S,
    EvacuationCell,
    draw_evacuations,
)
from soak.faults import CROWD_KINDS, Cell, Fault, draw_schedule
from soak.lasting import (
    ADVICE_OPTIONS,
    LASTING_LENGTH_S,
    LastingCell,
    LastingClient,
    draw_lasting,
    lasting_configuration,
)
from soak.restarts import (
    RESTARTS_LENGTH_S,
    RestartsCell,
    RestartsClient,
    draw_restarts,
)
from soak.series import PAGE_ITEMS, SERIES_LENGTH_S, SeriesCell, draw_series
from soak.standing import Standstill

__all__ = ["Draw", "Report", "find_runs_after_completion", "run_seed"]

LENGTH_S = 10.0
FINISH_S = 45.0
MAX_CRASHES = 5
"""A task isn't started three times more after three workers have crashed under it."""

MAX_STANDSTILLS = 4
"""How many of the longest are reported."""

FINAL = (b"completed", b"failed", b"cancelled")


class Draw(Enum):
    """What a seed draws."""

    FAULTS = "faults"
    """Single faults, each at a random time."""

    SERIES = "series"
    """Changes of the holder, with several faults around each of them."""

    REBIRTHS = "rebirths"
    """Series in which workers start again under their ids as well.

    What a process executes late of its predecessor's calls breaks guarantees that
    KNOWN-RED.txt lists.
    """

    EVACUATIONS = "evacuations"
    """Series beside the evacuation of a data centre."""

    LASTING = "lasting"
    """Racks that crash and changes of the holder, beside standing tasks."""

    RESTARTS = "restarts"
    """Data centres that crash and are back at once under the ids of their workers."""

    CROWDS = "crowds"
    """Clients outside the limits, beside kills of members."""


LENGTHS_S = {
    Draw.FAULTS: LENGTH_S,
    Draw.SERIES: SERIES_LENGTH_S,
    Draw.REBIRTHS: SERIES_LENGTH_S,
    Draw.EVACUATIONS: EVACUATION_LENGTH_S,
    Draw.LASTING: LASTING_LENGTH_S,
    Draw.RESTARTS: RESTARTS_LENGTH_S,
    Draw.CROWDS: LENGTH_S,
}


class Report(msgspec.Struct):
    """Results of a run; ``broken`` lists the violated guarantees.

    ``restarted`` is the number of starts after a successful run of their task whose end
    may have been lost. ``standstills`` are the longest times in which a standing task
    had no run.
    """

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    shown_completed: int = 0
    restarted: int = 0
    broken: list[str] = []
    standstills: list[Standstill] = []
    seconds: float = 0.0


@contextmanager
def running(client: JobClient | StateClient) -> Iterator[None]:
    """Run a client in a thread within a ``with`` block."""
    thread = threading.Thread(target=client.run)
    thread.start()
    try:
        yield
    finally:
        client.stopping.set()
        thread.join()


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


def find_runs_after_completion(
    spans: list[RunSpan], completed_s: Mapping[str, float]
) -> list[str]:
    """Describe the runs that began after a caller had read that their job is completed.

    ``completed_s`` has the wall-clock time of the first such response for each path.
    """
    by_job = {job_of(path): at_s for path, at_s in completed_s.items()}
    return [
        f"run after its job was completed: {span}"
        for span in spans
        for job, at_s in by_job.items()
        if job in span.task and span.began_s > at_s
    ]


def check_starts(cell: Cell, states: StateClient, report: Report) -> None:
    """Report starts after the end of their job, as callers and members saw it."""
    spans = cell.platform.spans()
    report.broken.extend(find_runs_after_completion(spans, states.completed_s))
    logs = check_logs(sorted(cell.platform.folder.glob("m*.log")))
    report.broken.extend(f"started after its job's end: {each}" for each in logs.faults)
    report.restarted = len(logs.found) - len(logs.faults)
    report.shown_completed = len(states.completed_s)


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
    if isinstance(cell, EvacuationCell):
        report.broken.extend(
            f"started during an evacuation: {span}" for span in cell.find_starts()
        )
    started = {span.task for span in cell.platform.spans()}
    for path in client.refused:
        if any(job_of(path) in task for task in started):
            report.broken.append(f"refused and run: {path}")


def draw_faults(
    draw: Draw, seed: int, length_s: float, with_crashes: bool
) -> list[Fault]:
    """Return what a seed draws."""
    if draw is Draw.FAULTS:
        return draw_schedule(seed, length_s, with_crashes)
    if draw is Draw.CROWDS:
        return draw_schedule(seed, length_s, kinds=CROWD_KINDS)
    if draw is Draw.LASTING:
        return draw_lasting(seed, length_s)
    if draw is Draw.EVACUATIONS:
        return draw_evacuations(seed, length_s)
    if draw is Draw.RESTARTS:
        return draw_restarts(seed)
    return draw_series(seed, length_s, draw is Draw.REBIRTHS)


def create_cell(draw: Draw, platform: LocalPlatform, seed: int) -> Cell:
    """Store the configuration and start the cell of a draw."""
    if draw is Draw.LASTING:
        platform.publish(lasting_configuration())
        return LastingCell(platform)
    platform.publish(default_configuration(with_advice=seed % 2 == 0))
    if draw in (Draw.FAULTS, Draw.CROWDS):
        return Cell(platform)
    if draw is Draw.EVACUATIONS:
        return EvacuationCell(platform)
    if draw is Draw.RESTARTS:
        return RestartsCell(platform)
    return SeriesCell(platform, draw is Draw.REBIRTHS)


def create_client(cell: Cell, draw: Draw, seed: int, with_crashes: bool) -> JobClient:
    """Return the client that submits the jobs of a draw."""
    if isinstance(cell, LastingCell):
        return LastingClient(cell, seed, with_crashes)
    if isinstance(cell, RestartsCell):
        return RestartsClient(cell, seed)
    return JobClient(cell, seed, with_crashes, draw is not Draw.FAULTS)


def observe_standing_tasks(cell: Cell, client: JobClient, report: Report) -> None:
    """Observe the standing tasks after the faults, if there are any."""
    if isinstance(cell, LastingCell) and isinstance(client, LastingClient):
        cell.observe()
        standstills, lost = cell.check_standing_tasks(client)
        report.standstills = standstills[:MAX_STANDSTILLS]
        report.broken.extend(lost)


def run_seed(
    seed: int,
    folder: Path,
    length_s: float = LENGTH_S,
    with_crashes: bool = False,
    draw: Draw = Draw.FAULTS,
) -> Report:
    """Run the soak test for one seed and return its report.

    With ``with_crashes``, some tasks crash their workers; without series, workers
    shrink as well.
    """
    report = Report(seed)
    began_s = time.monotonic()
    schedule = draw_faults(draw, seed, length_s, with_crashes)
    page_items = DEFAULT_PAGE_ITEMS if draw is Draw.FAULTS else PAGE_ITEMS
    advice_options = ADVICE_OPTIONS if draw is Draw.LASTING else ()
    with LocalPlatform(folder, page_items, advice_options) as platform:
        cell = create_cell(draw, platform, seed)
        platform.wait_ready()
        client = create_client(cell, draw, seed, with_crashes)
        states = StateClient(cell, seed, client.accepted)
        with running(states):
            with running(client):
                inject_faults(cell, schedule)
                observe_standing_tasks(cell, client, report)
            cell.recover()
            platform.wait_ready()
            check_end(cell, client, report)
        check_starts(cell, states, report)
        ledgers = msgspec.json.encode(platform.ledgers())
        (folder / "ledgers.json").write_bytes(ledgers)
    report.accepted = len(client.accepted)
    report.refused = len(client.refused)
    report.unknown = len(client.unknown)
    report.seconds = round(time.monotonic() - began_s, 1)
    return report


def main(
    seeds: str = "1-3",
    keep: Path | None = None,
    crashes: bool = True,
    draw: Draw = Draw.FAULTS,
) -> None:
    """Run seeds ``FIRST-LAST``; with ``keep``, logs are written below that folder.

    The workers' ledgers are written there too.

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
            report = run_seed(seed, folder, LENGTHS_S[draw], crashes, draw)
        typer.echo(msgspec.json.encode(report).decode())
        failed += bool(report.broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
