"""What the holder believes of the durations in each queue, from the members' logs."""

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_ctl.exceptions import CtlError

__all__ = ["DurationRow", "DurationView", "read_durations"]

EVENT = "durations learned"


class StepSummary(msgspec.Struct, frozen=True):
    """What is typical of the tasks of the steps with one number."""

    number: int
    typical_s: float
    nine_of_ten_s: float


class DurationLine(msgspec.Struct, frozen=True):
    """A log line about the durations in one queue."""

    event: str
    timestamp: str
    member: str
    queue: str
    learned_error: float
    estimate_error: float
    teams_by_learned: int
    teams_by_estimate: int
    steps: tuple[StepSummary, ...] = ()


class DurationRow(msgspec.Struct, frozen=True):
    """What is learned of one step number of a queue, by whom, and since when.

    The errors are those of the queue, as natural logarithms.
    """

    queue: str
    step: int
    typical_s: float
    nine_of_ten_s: float
    learned_error: float
    estimate_error: float
    teams_by_learned: int
    teams_by_estimate: int
    member: str
    at: str


class DurationView(msgspec.Struct):
    """The newest summaries, and the number of lines that can't be decoded."""

    rows: list[DurationRow] = []
    unreadable: int = 0


def read_durations(paths: Sequence[Path], queue: str | None = None) -> DurationView:
    """Return the newest summaries of each queue, or of one, from log files.

    Raise ``CtlError`` if a file cannot be read.
    """
    view = DurationView()
    newest: dict[str, DurationLine] = {}
    for path in paths:
        try:
            with path.open(errors="replace") as lines:
                read_lines(lines, newest, view)
        except OSError as error:
            raise CtlError(f"the log cannot be read: {error}") from error
    for name, line in sorted(newest.items()):
        if queue in (None, name):
            view.rows += to_rows(line)
    return view


def read_lines(
    lines: Iterable[str], newest: dict[str, DurationLine], view: DurationView
) -> None:
    """Keep the newest line of each queue; the time stamps sort as text."""
    for text in lines:
        _, brace, content = text.strip().partition("{")
        if EVENT not in content or not content.endswith("}"):
            continue
        try:
            line = decode_json(brace + content, DurationLine)
        except DecodingError:
            view.unreadable += 1
            continue
        known = newest.get(line.queue)
        is_newer = known is None or line.timestamp >= known.timestamp
        if line.event == EVENT and is_newer:
            newest[line.queue] = line


def to_rows(line: DurationLine) -> list[DurationRow]:
    """Return a row for each step number of a line."""
    return [
        DurationRow(
            line.queue,
            step.number,
            step.typical_s,
            step.nine_of_ten_s,
            line.learned_error,
            line.estimate_error,
            line.teams_by_learned,
            line.teams_by_estimate,
            line.member,
            line.timestamp,
        )
        for step in line.steps
    ]
