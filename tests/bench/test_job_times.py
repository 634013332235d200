"""Tests of the breakdown of job times."""

from collections.abc import Iterator
from datetime import UTC, datetime

import msgspec
import pytest

from bench.job_times import read_jobs, summarize

JOB = "00000000000000aa"


def log_line(at_s: float, event: str, **fields: object) -> str:
    """Return a structured log line of a member after a time and a host name."""
    stamp = datetime.fromtimestamp(1_700_000_000 + at_s, UTC).isoformat()
    body = msgspec.json.encode({**fields, "event": event, "timestamp": stamp})
    return f"{at_s:9.4f} entry-1 {body.decode()}"


def run_lines(
    step: int, number: int, began_s: float, ended_s: float, kind: str, **ages: float
) -> Iterator[str]:
    common = {"job": JOB, "task": [0, step, 0], "run": number}
    yield log_line(began_s, "start", **common, **ages)
    yield log_line(ended_s, "run ended", **common, kind=kind)


def sample_log() -> list[str]:
    """Return the log of a job of two steps whose first run failed."""
    return [
        log_line(0.0, "answered", operation="POST", path=f"/urgent/{JOB}", status=200),
        "not a structured line",
        *run_lines(0, 1, 1.0, 2.0, "failed", ready_age_s=0.9, advice_age_s=0.2),
        *run_lines(0, 2, 2.0, 4.0, "succeeded", ready_age_s=1.9, advice_age_s=1.2),
        *run_lines(1, 3, 4.5, 6.5, "succeeded", ready_age_s=0.25, advice_age_s=0.25),
        log_line(6.6, "job ended", job=JOB, state="completed"),
    ]


class TestJobTimes:
    def test_parts_add_up_to_total(self) -> None:
        parts = read_jobs(sample_log())[JOB].parts()
        assert sum(parts.values()) == pytest.approx(6.6)

    def test_time_is_attributed_to_its_cause(self) -> None:
        parts = read_jobs(sample_log())[JOB].parts()
        assert parts == pytest.approx(
            {
                "intake": 0.1,
                "advice": 0.7,
                "room": 0.45,
                "rerun": 1.0,
                "work": 4.0,
                "report": 0.25,
                "commit": 0.1,
            }
        )

    def test_only_completed_jobs_are_summarized(self) -> None:
        assert len(list(summarize(read_jobs(sample_log()).values()))) == 3
        assert len(list(summarize(read_jobs(sample_log()[:-1]).values()))) == 1
