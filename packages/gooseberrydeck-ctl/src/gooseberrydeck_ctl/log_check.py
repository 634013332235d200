"""Search of the members' logs for starts after the end of their job or task."""

import heapq
from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from pathlib import Path
from typing import Any, NewType

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_ctl.exceptions import CtlError

__all__ = ["EndKnown", "LogReport", "StartAfterEnd", "check_logs"]

RUNS_PER_TOKEN = 1_000_000
"""The runs of a holder are numbered from this multiple of its token on."""

TASK_EVENTS = ("start", "run ended")
"""The events whose lines name a run of a task."""

Task = NewType("Task", tuple[Any, ...])
"""The job of a task, followed by its occurrence, step and number."""


class EndKnown(Enum):
    """What a member had logged before it started a task again."""

    JOB_ENDED = "job ended"
    """The end of the job had been stored."""

    RUN_SUCCEEDED = "run ended"
    """A run of the task had succeeded.

    That is no fault if the end was lost with the member or the worker before it was
    stored and acknowledged.
    """


class LogLine(msgspec.Struct):
    """The fields of a log line that the check reads."""

    event: str = ""
    timestamp: str = ""
    member: str = ""
    job: Any = None
    task: Any = None
    run: Any = None
    worker: Any = None
    kind: Any = None
    token: Any = None
    won: Any = None
    total: Any = None


class StartAfterEnd(msgspec.Struct, frozen=True):
    """A start of a task whose end was in the logs, with both lines' main fields.

    ``is_superseded`` says that another member had claimed the shard before: workers
    that have seen its token refuse the start. ``has_run`` says that a worker has listed
    the end of the run. ``ended_on`` is the worker of the run that had ended.
    """

    known: EndKnown
    job: str
    task: tuple[int, ...]
    run: int
    worker: str
    ended_at: str
    ended_by: str
    ended_on: str | None
    started_at: str
    started_by: str
    is_superseded: bool = False
    has_run: bool = False

    @property
    def is_fault(self) -> bool:
        """Return True if neither a lost end nor a refusal can explain the start."""
        is_refused = self.is_superseded and not self.has_run
        return self.known is EndKnown.JOB_ENDED and not is_refused


class LogReport(msgspec.Struct):
    """The result of a check; it is incomplete if lines were dropped or unreadable."""

    starts: int = 0
    dropped: int = 0
    unreadable: int = 0
    found: list[StartAfterEnd] = []

    @property
    def faults(self) -> list[StartAfterEnd]:
        """Return the starts that are faults."""
        return [each for each in self.found if each.is_fault]


class LogCheck:
    """Compares each start with the ends that were logged before it."""

    def __init__(self) -> None:
        """Create a check that has read nothing."""
        self.report = LogReport()
        self.ended_jobs: dict[str, LogLine] = {}
        self.succeeded: dict[Task, LogLine] = {}
        self.ended_runs: set[tuple[Task, Any]] = set()
        self.newest_token = 0

    def read(self, line: LogLine) -> None:
        """Take note of a line; the lines must be in order of time."""
        if line.event == "log lines dropped" and isinstance(line.total, int):
            self.report.dropped += line.total
        if line.event == "claim" and line.won and isinstance(line.token, int):
            self.newest_token = max(self.newest_token, line.token)
        if not isinstance(line.job, str):
            return
        if line.event in TASK_EVENTS and not names_a_run(line):
            self.report.unreadable += 1
            return
        if line.event == "job ended":
            self.ended_jobs.setdefault(line.job, line)
        elif line.event == "run ended":
            self.ended_runs.add((task_of(line), line.run))
            if line.kind == "succeeded":
                self.succeeded.setdefault(task_of(line), line)
        elif line.event == "start":
            self.check_start(line)

    def check_start(self, line: LogLine) -> None:
        """Report a start if an end of its job, or of a run of its task, is known."""
        self.report.starts += 1
        known, end = EndKnown.JOB_ENDED, self.ended_jobs.get(line.job)
        if end is None:
            known, end = EndKnown.RUN_SUCCEEDED, self.succeeded.get(task_of(line))
        if end is None:
            return
        found = {
            "known": known,
            "job": line.job,
            "task": line.task,
            "run": line.run,
            "worker": line.worker,
            "ended_at": end.timestamp,
            "ended_by": end.member,
            "ended_on": end.worker,
            "started_at": line.timestamp,
            "started_by": line.member,
        }
        try:
            start = msgspec.convert(found, StartAfterEnd)
        except msgspec.ValidationError:
            self.report.unreadable += 1
            return
        is_superseded = start.run // RUNS_PER_TOKEN < self.newest_token
        self.report.found.append(
            msgspec.structs.replace(start, is_superseded=is_superseded)
        )

    def finish(self) -> LogReport:
        """Return the report, with the runs whose ends were logged after their start."""
        self.report.found = [
            msgspec.structs.replace(
                each,
                has_run=(Task((each.job, *each.task)), each.run) in self.ended_runs,
            )
            for each in self.report.found
        ]
        return self.report


def names_a_run(line: LogLine) -> bool:
    """Return True if a line names a run by numbers, and its task if there is one."""
    numbers = line.task if isinstance(line.task, list) else []
    return all(isinstance(each, int) for each in (line.run, *numbers))


def task_of(line: LogLine) -> Task:
    """Return the task of a line."""
    numbers = line.task if isinstance(line.task, list) else []
    return Task((line.job, *numbers))


def check_logs(paths: Sequence[Path]) -> LogReport:
    """Check the log files of the members of one cell.

    Several files are merged by the time stamps of their lines. One file is read as it
    is, so that it may hold the merged lines of all members.
    """
    check = LogCheck()
    files = [read_lines(path, check.report) for path in paths]
    for _, line in heapq.merge(*files, key=lambda each: each[0]):
        check.read(line)
    return check.finish()


def read_lines(path: Path, report: LogReport) -> Iterator[tuple[str, LogLine]]:
    """Yield the lines of a file, each with its time stamp or that of the line before.

    Raise ``CtlError`` if the file cannot be read.
    """
    try:
        with path.open(errors="replace") as lines:
            yield from decode_lines(lines, report)
    except OSError as error:
        raise CtlError(f"the log cannot be read: {error}") from error


def decode_lines(
    lines: Iterable[str], report: LogReport
) -> Iterator[tuple[str, LogLine]]:
    """Yield the log lines; other output, such as a traceback, is skipped.

    Whatever stands before the JSON object of a line is ignored. A line whose object
    cannot be decoded is counted.
    """
    timestamp = ""
    for text in lines:
        _, brace, content = text.strip().partition("{")
        if not brace or not content.endswith("}"):
            continue
        try:
            line = decode_json(brace + content, LogLine)
        except DecodingError:
            report.unreadable += 1
            continue
        timestamp = line.timestamp or timestamp
        yield timestamp, line
