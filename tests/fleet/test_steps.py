"""Tests of steps, their dependencies, and the effects of the ends of runs."""

import pytest

from fleet_support import HOST, SLOW, Fleet, make_configuration, queue, task_resources
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.work import (
    InvalidWorkError,
    JobState,
    StepSpec,
    WorkSpec,
    validate_work,
)
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()


class TestSteps:
    def test_job_completes_when_every_task_has_succeeded(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(count=5, resources=ONE))
        fleet.run_for(0.5)
        assert fleet.state(job) is JobState.RUNNING
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 5

    def test_step_waits_for_its_dependencies(self) -> None:
        fleet = Fleet()
        fleet.submit("a", StepSpec(2, ONE), StepSpec(1, ONE, after=(0,)))
        fleet.run_for(0.9)
        assert {task.step for _, task, _ in fleet.starts} == {0}
        fleet.run_for(0.5)
        assert [task.step for _, task, _ in fleet.starts] == [0, 0, 1]

    def test_failed_task_runs_again_on_another_worker(self) -> None:
        fleet = Fleet()
        broken = fleet.add_worker("broken", capacity=HOST)

        def plan(request: object) -> RunPlan:
            return RunPlan(0.2, ONE, fails=len(fleet.starts) == 1)

        job = fleet.submit("a", StepSpec(1, ONE), plan=plan)
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert fleet.starts[0][2] != fleet.starts[1][2] or broken not in fleet.engines

    def test_job_fails_after_its_maximum_attempts(self) -> None:
        fleet = Fleet()
        job = fleet.submit(
            "a", StepSpec(1, ONE), plan=lambda _: RunPlan(0.1, ONE, fails=True)
        )
        fleet.run_for(3.0)
        assert fleet.state(job) is JobState.FAILED
        assert len(fleet.starts) == 3

    def test_long_running_task_restarts_after_any_end(self) -> None:
        fleet = Fleet()
        job = fleet.submit(
            "a",
            StepSpec(1, ONE, is_standing=True),
            plan=lambda _: RunPlan(0.3, ONE, fails=True),
        )
        fleet.run_for(10.0)
        assert fleet.state(job) is JobState.RUNNING
        assert len(fleet.starts) > 4

    def test_cancelled_job_is_stopped_and_not_restarted(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(3, ONE, is_standing=True))
        fleet.run_for(0.5)
        record = fleet.records[job]
        cancelled = type(record)(
            record.id, record.queue, record.team, record.work, record.accepted_s, True
        )
        fleet.scheduler.accept(cancelled, 2)
        assert fleet.state(job) is JobState.CANCELLED
        fleet.run_for(1.0)
        assert fleet.running(job) == []
        assert len(fleet.starts) == 3

    def test_occurrences_start_when_due(self) -> None:
        fleet = Fleet()
        first_s = fleet.clock.wall() + 1.0
        work = WorkSpec("", (StepSpec(1, ONE),), 2, first_s, 2.0)
        job = fleet.submit("a", work=work, seconds=0.3)
        fleet.run_for(0.9)
        assert fleet.starts == []
        fleet.run_for(4.0)
        assert [task.occurrence for _, task, _ in fleet.starts] == [0, 1]
        assert all(at_s >= first_s for at_s, _, _ in fleet.starts)
        assert fleet.state(job) is JobState.COMPLETED

    def test_stalled_run_moves_to_another_worker(self) -> None:
        fleet = Fleet()
        job = fleet.submit(
            "a",
            StepSpec(1, ONE),
            plan=lambda _: RunPlan(1.0, ONE, hangs=len(fleet.starts) == 1),
        )
        fleet.run_for(6.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert [reason for _, _, reason in fleet.stops] == ["stalled"]
        assert fleet.starts[0][2] != fleet.starts[1][2]


class TestPlacementRules:
    def test_required_label_is_respected(self) -> None:
        fleet = Fleet()
        special = fleet.add_worker("special", labels=frozenset({"b"}))
        fleet.run_for(0.1)
        fleet.submit("a", StepSpec(3, ONE, required_label="b"))
        fleet.run_for(0.2)
        assert {worker for _, _, worker in fleet.starts} == {special}

    def test_maximum_per_worker_is_respected(self) -> None:
        fleet = Fleet(workers=3)
        job = fleet.submit("a", StepSpec(5, ONE, max_per_worker=1))
        fleet.run_for(0.2)
        assert len(fleet.running(job)) == 3
        assert len({worker for _, _, worker in fleet.starts}) == 3

    def test_data_rack_is_preferred(self) -> None:
        fleet = Fleet()
        near = fleet.add_worker("near", rack="r9")
        fleet.run_for(0.1)
        fleet.submit("a", StepSpec(1, ONE, data_rack="r9"))
        fleet.run_for(0.1)
        assert fleet.starts[0][2] == near

    def test_same_rack_tasks_share_a_rack(self) -> None:
        fleet = Fleet(workers=0, capacity=Resources(4_000, 65_536))
        for rack in ("r1", "r2"):
            for number in range(2):
                fleet.add_worker(f"{rack}-{number}", rack=rack)
        fleet.run_for(0.1)
        job = fleet.submit("a", StepSpec(8, ONE, same_rack=True))
        fleet.run_for(0.1)
        assert len(fleet.running(job)) == 8
        assert len({str(worker)[:2] for _, _, worker in fleet.starts}) == 1

    def test_repeated_task_returns_to_the_rack_of_its_siblings(self) -> None:
        fleet = Fleet(workers=0)
        used = fleet.add_worker("r1-0", rack="r1", capacity=Resources(4_000, 65_536))
        fleet.run_for(0.1)

        fleet.submit(
            "a",
            StepSpec(4, ONE, same_rack=True),
            plan=lambda _: RunPlan(
                0.2 if len(fleet.starts) == 1 else 3.0,
                ONE,
                fails=len(fleet.starts) == 1,
            ),
        )
        fleet.run_for(0.1)
        for number in range(3):
            fleet.add_worker(
                f"r2-{number}", rack="r2", capacity=Resources(2_000, 65_536)
            )
        sibling = fleet.add_worker("r1-1", rack="r1")
        fleet.run_for(0.5)
        assert {worker for _, _, worker in fleet.starts[:4]} == {used}
        assert fleet.starts[4][2] == sibling

    def test_gang_starts_as_a_whole_or_not_at_all(self) -> None:
        fleet = Fleet(workers=2, capacity=Resources(2_000, 65_536))
        fleet.submit("small", StepSpec(1, ONE), seconds=2.0)
        fleet.run_for(0.1)
        job = fleet.submit("gang", StepSpec(4, ONE, is_gang=True))
        fleet.run_for(1.0)
        assert fleet.running(job) == []
        fleet.run_for(2.0)
        run_numbers = {
            held.run
            for engine in fleet.engines.values()
            for held in engine.runs.values()
        }
        assert len(fleet.running(job)) == 4
        assert len(run_numbers) == 1

    def test_best_effort_tasks_reserve_no_processors(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit("fill", StepSpec(1, task_resources(32), uses_leftover=True))
        fleet.run_for(0.1)
        job = fleet.submit("whole", StepSpec(1, task_resources(32)))
        fleet.run_for(0.1)
        assert len(fleet.running(job)) == 1

    def test_draining_worker_gets_no_tasks(self) -> None:
        fleet = Fleet(workers=0)
        fleet.add_worker("leaving", is_draining=True)
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.QUEUED

    def test_jobs_of_a_removed_queue_continue(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.scheduler.set_configuration(make_configuration(queue(SLOW, 2), version=2))
        fleet.run_for(2.0)
        assert fleet.state(job) is JobState.COMPLETED


class TestValidation:
    @pytest.mark.parametrize(
        "steps",
        [
            (),
            (StepSpec(count=0),),
            (StepSpec(after=(0,)),),
            (StepSpec(), StepSpec(after=(1,))),
            (StepSpec(), StepSpec(after=(-1,))),
            (StepSpec(count=100_001),),
        ],
    )
    def test_invalid_work_is_rejected(self, steps: tuple[StepSpec, ...]) -> None:
        with pytest.raises(InvalidWorkError):
            validate_work(WorkSpec(steps=steps))
