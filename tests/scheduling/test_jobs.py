"""Tests of job records and task ids."""

import pytest

from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_scheduling import (
    InvalidJobError,
    JobSpec,
    decode_record,
    encode_record,
    job_of,
    new_record,
    task_id,
    task_index,
)

SPEC = JobSpec(JobId("a/b"), TeamName("press"), QueueName("reviews"), tasks=2)


class TestJobRecord:
    def test_record_round_trips_through_json(self) -> None:
        record = new_record(SPEC, 5.0)
        assert decode_record(encode_record(record)) == record

    def test_job_without_tasks_is_invalid(self) -> None:
        with pytest.raises(InvalidJobError):
            new_record(JobSpec(SPEC.id, SPEC.team, SPEC.queue, tasks=0), 5.0)


class TestTaskId:
    def test_id_contains_job_and_index(self) -> None:
        task = task_id(SPEC.id, 1, 3)
        assert job_of(task) == SPEC.id
        assert task_index(task) == 1
