"""Break down the times of jobs from the members' logs.

Reads log lines from standard input, each a JSON object that may follow other text, such
as a time and the name of the member::

    python bench/job_times.py --worst 10 < members.log

For each queue it prints how long jobs waited for intake, for advice, and for resources
or their team's limit, how long their tasks ran, how long failed runs and the reporting
of the end of a step took, and how long the final commit took. Times are in seconds.
"""

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import msgspec
import typer

MAX_BAR = 60
"""Maximum width of a bar of the plot, in characters."""

PARTS = ("intake", "advice", "room", "rerun", "work", "report", "commit")


class Span(msgspec.Struct):
    """One run of a task, and when its step was ready for it."""

    step: tuple[int, int]
    task: int
    ready_s: float
    advised_s: float
    started_s: float
    ended_s: float | None = None
    kind: str = ""


class JobTimes(msgspec.Struct):
    """Events of a job found in the logs."""

    queue: str
    accepted_s: float
    ended_s: float | None = None
    state: str = ""
    spans: dict[tuple[int, int, int, int], Span] = {}

    def parts(self) -> dict[str, float]:
        """Break down the time between acceptance and end, in seconds by part.

        Follows the critical path of steps backwards from the last task that ended.
        """
        seconds_by_part: dict[str, float] = dict.fromkeys(PARTS, 0.0)
        succeeded = [each for each in self.spans.values() if each.kind == "succeeded"]
        if not succeeded or self.ended_s is None:
            return seconds_by_part
        last = max(succeeded, key=lambda span: span.ended_s or 0.0)
        seconds_by_part["commit"] = self.ended_s - (last.ended_s or self.ended_s)
        while True:
            task_runs = [
                each
                for each in self.spans.values()
                if (each.step, each.task) == (last.step, last.task)
            ]
            first = min(task_runs, key=lambda span: span.started_s)
            ended_s = last.ended_s or last.started_s
            seconds_by_part["work"] += ended_s - last.started_s
            seconds_by_part["rerun"] += last.started_s - first.started_s
            advised_s = min(max(first.advised_s, first.ready_s), first.started_s)
            seconds_by_part["advice"] += advised_s - first.ready_s
            seconds_by_part["room"] += first.started_s - advised_s
            earlier = [
                each
                for each in succeeded
                if (each.ended_s or 0.0) <= first.ready_s + 0.001
            ]
            if not earlier:
                seconds_by_part["intake"] += first.ready_s - self.accepted_s
                return seconds_by_part
            before = max(earlier, key=lambda span: span.ended_s or 0.0)
            seconds_by_part["report"] += first.ready_s - (
                before.ended_s or first.ready_s
            )
            last = before


def read_events(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the time and the fields of each structured log line."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            event = json.loads(line[begin:])
        except ValueError:
            continue
        if isinstance(event, dict) and "timestamp" in event and "event" in event:
            yield datetime.fromisoformat(event["timestamp"]).timestamp(), event


def read_jobs(lines: Iterable[str]) -> dict[str, JobTimes]:
    """Return the accepted jobs in the log by their id."""
    jobs: dict[str, JobTimes] = {}
    for at_s, event in read_events(lines):
        kind = event["event"]
        if kind == "answered" and event["operation"] == "POST":
            queue, _, name = event["path"].rpartition("/")
            if event["status"] == 200:
                jobs.setdefault(name, JobTimes(queue, at_s))
            continue
        job = jobs.get(event.get("job", ""))
        if job is None:
            continue
        if kind == "start":
            occurrence, step, task = event["task"]
            job.spans[occurrence, step, task, event["run"]] = Span(
                (occurrence, step),
                task,
                at_s - event.get("ready_age_s", 0.0),
                at_s - event.get("advice_age_s", 0.0),
                at_s,
            )
        elif kind == "run ended":
            span = job.spans.get((*event["task"], event["run"]))
            if span is not None:
                span.ended_s, span.kind = at_s, event["kind"]
        elif kind == "job ended":
            job.ended_s, job.state = at_s, event["state"]
    return jobs


def summarize(jobs: Iterable[JobTimes]) -> Iterator[str]:
    """Yield a table of means by queue, for all jobs and for the slowest tenth."""
    by_queue: dict[str, list[dict[str, float]]] = defaultdict(list)
    for job in jobs:
        if job.state == "completed":
            by_queue[job.queue].append(job.parts())
    yield f"{'queue':24} {'jobs':>6} {'total':>7}" + "".join(f"{p:>8}" for p in PARTS)
    for queue, parts in sorted(by_queue.items()):
        parts.sort(key=lambda each: sum(each.values()))
        for name, group in (
            ("", parts),
            (" (slowest tenth)", parts[-len(parts) // 10 :]),
        ):
            count = len(group)
            means = [sum(each[part] for each in group) / count for part in PARTS]
            cells = "".join(f"{mean:8.3f}" for mean in means)
            yield f"{queue[:8] + name:24} {count:6} {sum(means):7.3f}{cells}"


def plot(jobs: Iterable[JobTimes], width_s: float = 2.0) -> Iterator[str]:
    """Yield a bar with the mean waiting time for each window of acceptance times."""
    windows: dict[int, list[dict[str, float]]] = defaultdict(list)
    accepted = [job for job in jobs if job.state == "completed"]
    if not accepted:
        return
    begin_s = min(job.accepted_s for job in accepted)
    for job in accepted:
        windows[int((job.accepted_s - begin_s) // width_s)].append(job.parts())
    for number, parts in sorted(windows.items()):
        total: Counter[str] = Counter()
        for each in parts:
            total.update({part: each[part] for part in PARTS if part != "work"})
        part, seconds = total.most_common(1)[0]
        mean = sum(total.values()) / len(parts)
        bar = "#" * min(MAX_BAR, round(10 * mean))
        share = f"{part:7} {seconds / len(parts):5.2f}"
        yield f"{number * width_s:6.0f} s {mean:6.2f} {share} {bar}"


def main(worst: int = 0) -> None:
    """Print the breakdown, and the slowest jobs if ``--worst`` is given."""
    jobs = read_jobs(sys.stdin)
    for line in summarize(jobs.values()):
        typer.echo(line)
    typer.echo("\nwaiting by time of acceptance: mean, largest part")
    for line in plot(jobs.values()):
        typer.echo(line)
    ended = [(job, name) for name, job in jobs.items() if job.state == "completed"]
    ended.sort(key=lambda pair: -sum(pair[0].parts().values()))
    for job, name in ended[:worst]:
        parts = " ".join(f"{part}={value:.2f}" for part, value in job.parts().items())
        typer.echo(f"{name} {job.queue} {parts}")


if __name__ == "__main__":
    typer.run(main)
