"""Tests of what forbids the start of a task."""

import msgspec
import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_fleet.configuration import unconfigured_queue
from gooseberrydeck_fleet.crash_records import CrashRecord
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.start_permission import (
    StartObstacle,
    find_run_obstacle,
    find_start_obstacle,
    has_startable_tasks,
    may_copy,
    startable_tasks,
)
from gooseberrydeck_fleet.state import Task
from gooseberrydeck_fleet.work import JobState, StepSpec

ONE = task_resources()
"""What each task needs; a fleet without workers starts none of them."""


class TestObstacles:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=0)
        first, second = StepSpec(2, ONE), StepSpec(1, ONE, after=(0,))
        job = self.fleet.submit("a", first, second)
        self.job = self.fleet.scheduler.ledger.jobs[job]
        self.first, self.second = self.job.steps.values()

    @property
    def task(self) -> Task:
        """The task that is tested."""
        return self.first.tasks[0]

    def forbid(self, obstacle: StartObstacle) -> None:
        """Bring about one obstacle for the task."""
        match obstacle:
            case StartObstacle.JOB_ENDED:
                self.job.state = JobState.COMPLETED
            case StartObstacle.QUEUE_NOT_CONFIGURED:
                self.job.queue = unconfigured_queue(self.job.record.queue)
            case StartObstacle.TASK_DONE:
                self.fleet.scheduler.ledger.task_done(self.task)
            case StartObstacle.RUNS_KNOWN:
                worker = self.fleet.add_worker("w0")
                self.fleet.run_for(0.3)
                assert self.fleet.engines[worker].runs
            case StartObstacle.UNKNOWN_RUNS:
                self.job.may_have_unknown_runs = True
            case StartObstacle.MAY_START_LATE:
                self.fleet.scheduler.ledger.late_starts.add(self.task.ref)
            case StartObstacle.ATTEMPTS_USED_UP:
                self.task.failures.update(range(self.job.queue.max_attempts))
            case StartObstacle.CRASH_NOT_STORED:
                worker = WorkerId("w0")
                record = CrashRecord(1, worker, 0, 0.0, 1.0, relevance=1.0)
                self.task.crashes[1] = record
                self.job.crashes_counted = 1
            case _:
                raise AssertionError(obstacle)

    @pytest.mark.parametrize(
        "obstacle",
        [each for each in StartObstacle if each != StartObstacle.DEPENDENCIES_OPEN],
    )
    def test_obstacle_is_named(self, obstacle: StartObstacle) -> None:
        assert find_start_obstacle(self.task) is None
        assert has_startable_tasks(self.first)
        self.forbid(obstacle)
        assert find_start_obstacle(self.task) is obstacle
        assert self.task not in startable_tasks(self.first)

    def test_step_waits_for_its_dependencies(self) -> None:
        (task,) = self.second.tasks
        assert find_start_obstacle(task) is StartObstacle.DEPENDENCIES_OPEN
        assert not has_startable_tasks(self.second)
        self.fleet.scheduler.ledger.step_done(self.first)
        assert startable_tasks(self.second) == [task]

    # Guards against copies that are decided and dropped in turn: what forbids the first
    # start of a task isn't asked when a copy of it is decided.
    def test_copy_is_checked_like_at_its_decision(self) -> None:
        self.forbid(StartObstacle.RUNS_KNOWN)
        (run,) = self.task.runs
        self.forbid(StartObstacle.UNKNOWN_RUNS)
        assert find_run_obstacle(run) is StartObstacle.UNKNOWN_RUNS
        ledger = self.fleet.scheduler.ledger
        copy = ledger.add_run(self.task, run.worker, 9, self.fleet.now_s)
        assert find_run_obstacle(copy) is StartObstacle.RUNS_KNOWN
        self.first.spec = msgspec.structs.replace(self.first.spec, is_speculative=True)
        assert find_run_obstacle(copy) is None
        self.forbid(StartObstacle.TASK_DONE)
        assert find_run_obstacle(copy) is StartObstacle.TASK_DONE

    def test_only_tasks_with_one_run_may_be_copied(self) -> None:
        assert not may_copy(self.task)
        self.forbid(StartObstacle.RUNS_KNOWN)
        assert may_copy(self.task)
        self.job.state = JobState.CANCELLED
        assert not may_copy(self.task)
