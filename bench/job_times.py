"""Show where the time of jobs went, from the members' logs.

Reads log lines from standard input, each a JSON object that may follow other words (a
time, the member's name)::

    python bench/job_times.py --worst 10 < members.log

For each queue: how long jobs waited to be taken in, for advice, for room or their
team's limit, how long their tasks ran, how long failed runs and the way from an end to
the next step took, and how long the final commit took. Times are seconds.
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
"""Width of the longest bar of the plot, in characters."""

PARTS = ("intake", "advice", "room", "rerun", "work", "report", "commit")


class Span(msgspec.Struct):
    """One run of a task: when its step was ready, and when it was started and ended."""

    step: tuple[int, int]
    task: int
    ready_s: float
    advised_s: float
    started_s: float
    ended_s: float | None = None
    kind: str = ""


class JobTimes(msgspec.Struct):
    """What the logs tell of a job."""

    queue: str
    accepted_s: float
    ended_s: float | None = None
    state: str = ""
    spans: dict[tuple[int, int, int, int], Span] = {}

    def parts(self) -> dict[str, float]:
        """Return how the time between acceptance and end was spent.

        Follows the chain of steps back from the last task that ended.
        """
        found: dict[str, float] = dict.fromkeys(PARTS, 0.0)
        done = [each for each in self.spans.values() if each.kind == "succeeded"]
        if not done or self.ended_s is None:
            return found
        last = max(done, key=lambda span: span.ended_s or 0.0)
        found["commit"] = self.ended_s - (last.ended_s or self.ended_s)
        while True:
            same = [
                each
                for each in self.spans.values()
                if (each.step, each.task) == (last.step, last.task)
            ]
            first = min(same, key=lambda span: span.started_s)
            ended_s = last.ended_s or last.started_s
            found["work"] += ended_s - last.started_s
            found["rerun"] += last.started_s - first.started_s
            advised_s = min(max(first.advised_s, first.ready_s), first.started_s)
            found["advice"] += advised_s - first.ready_s
            found["room"] += first.started_s - advised_s
            earlier = [
                each for each in done if (each.ended_s or 0.0) <= first.ready_s + 0.001
            ]
            if not earlier:
                found["intake"] += first.ready_s - self.accepted_s
                return found
            before = max(earlier, key=lambda span: span.ended_s or 0.0)
            found["report"] += first.ready_s - (before.ended_s or first.ready_s)
            last = before


def read_events(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield the time and the fields of each structured line."""
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
    """Return what the lines tell of each job that was accepted."""
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
    """Yield a line of means for each queue, all jobs and the slowest tenth."""
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
    """Yield a bar for each window of acceptance: the mean of the largest part."""
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
    """Print where the time went; with ``--worst`` the slowest jobs too."""
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
