"""Tests of jobs on members that run as separate processes."""

import json
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from gooseberrydeck_configuration.objects import Limit, Queue, QueuePolicy
from gooseberrydeck_coordination.ids import QueueName
from gooseberrydeck_standins.local_cell import LocalCell, MemberProcess
from gooseberrydeck_standins.processes import wait_for
from processes_support import CONFIGURATION, EDITORS, HEADERS

LIMIT = 8
REVIEWS = QueueName("reviews")
JOBS_CONFIGURATION = msgspec.structs.replace(
    CONFIGURATION,
    limits=(Limit(EDITORS, LIMIT),),
    queues=(Queue(REVIEWS, QueuePolicy.BATCH, teams=(EDITORS,)),),
)
JOB_TIMEOUT_S = 60.0


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[LocalCell]:
    with LocalCell(tmp_path, shards=4) as cell:
        cell.add_endpoints("lookups", 1)
        cell.add_workers(4)
        yield cell


def submit(member: MemberProcess, job: str, run_s: float) -> bool:
    """Submit a job of two tasks and return True if it was accepted."""
    body = json.dumps(
        {
            "id": job,
            "tasks": 2,
            "cpus": 1.0,
            "idempotent": False,
            "payload": json.dumps({"run_s": run_s}),
        }
    ).encode()
    path = f"/v1/queues/{REVIEWS}/jobs"
    return member.call("POST", path, body, HEADERS).status == 202


def state_of(member: MemberProcess, job: str) -> str:
    response = member.call("GET", f"/v1/jobs/{job}", b"", HEADERS)
    return str(json.loads(response.body).get("state", response.status))


class TestJobs:
    def test_accepted_jobs_run_once_within_the_limit(self, cell: LocalCell) -> None:
        cell.plan_members("m1", "m2")
        first, second = cell.add_member("m1"), cell.add_member("m2")
        cell.wait_ready()
        cell.publish(JOBS_CONFIGURATION)
        jobs = [f"review-{number}" for number in range(12)]
        for job in jobs:
            wait_for(lambda j=job: submit(first, j, 0.3), f"{job} is accepted")
        for job in jobs:
            wait_for(
                lambda j=job: state_of(second, j) == "succeeded",
                f"{job} has ended",
                JOB_TIMEOUT_S,
            )
        ledger = cell.ledger()
        assert not ledger.started_twice()
        assert not ledger.over_capacity(cell.capacities())
        assert not ledger.over_limit({EDITORS: LIMIT})

    def test_jobs_run_once_after_all_members_are_killed(self, cell: LocalCell) -> None:
        cell.plan_members("m1", "m2", "m3", "m4")
        first, second = cell.add_member("m1"), cell.add_member("m2")
        cell.wait_ready()
        cell.publish(JOBS_CONFIGURATION)
        jobs = [f"review-{number}" for number in range(12)]
        for job in jobs:
            wait_for(lambda j=job: submit(first, j, 3.0), f"{job} is accepted")
        wait_for(lambda: len(cell.ledger().snapshot()) >= 2, "a job has started")
        first.kill()
        second.kill()
        third, _ = cell.add_member("m3"), cell.add_member("m4")
        cell.wait_ready()
        for job in jobs:
            wait_for(
                lambda j=job: state_of(third, j) == "succeeded",
                f"{job} has ended",
                JOB_TIMEOUT_S,
            )
        ledger = cell.ledger()
        assert not ledger.started_twice()
        assert not ledger.over_limit({EDITORS: LIMIT})
