"""Tests of the scheduler beside data centres whose evacuation is requested."""

import pytest

from fleet_support import (
    HOST,
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import DataCentre, JobId
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
WHOLE = task_resources(32.0)
EAST, WEST = DataCentre("east"), DataCentre("west")


class EvacuationFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=0)
        for name in ("e0", "e1", "w0", "w1"):
            centre = EAST if name.startswith("e") else WEST
            self.fleet.add_worker(name, data_centre=centre)
        self.fleet.run_for(0.2)

    def evacuate(self, *centres: DataCentre) -> None:
        self.fleet.scheduler.set_evacuated(frozenset(centres), self.fleet.now_s)

    def decide(self) -> None:
        """Execute the next commands, without the time that a review takes."""
        wall_s = self.fleet.clock.wall()
        for command in self.fleet.scheduler.decide(self.fleet.now_s, wall_s):
            self.fleet.execute(command)

    def used(self, job: JobId, since_s: float = 0.0) -> set[WorkerId]:
        """Return the workers that tasks of a job were sent to."""
        starts = self.fleet.starts
        return {
            worker
            for at_s, task, worker in starts
            if task.job == job and at_s > since_s
        }


class TestStarts(EvacuationFixture):
    # Guards against work that starts in an evacuated data centre.
    @pytest.mark.parametrize(
        "step",
        [
            StepSpec(80, ONE),
            StepSpec(80, ONE, is_standing=True),
            StepSpec(40, ONE, is_gang=True),
        ],
        ids=["tasks", "long-running", "gang"],
    )
    def test_tasks_start_elsewhere(self, step: StepSpec) -> None:
        self.evacuate(EAST)
        job = self.fleet.submit("a", step)
        self.fleet.run_for(0.5)
        assert self.used(job) == {"w0", "w1"}
        assert self.fleet.violations() == []

    # Guards against a stop of runs that may finish there.
    def test_runs_finish_and_are_not_followed_by_others(self) -> None:
        job = self.fleet.submit("a", StepSpec(128, ONE, saves_progress=True))
        self.fleet.run_for(0.5)
        assert self.used(job) == {"e0", "e1", "w0", "w1"}
        self.evacuate(EAST)
        next_job = self.fleet.submit("b", StepSpec(64, ONE))
        self.fleet.run_for(2.0)
        assert self.fleet.state(job) is JobState.COMPLETED
        assert self.fleet.stops == []
        assert self.used(next_job) == {"w0", "w1"}

    # Guards against restarts in the data centre after a stop.
    def test_runs_of_a_draining_worker_move_to_another_data_centre(self) -> None:
        step = StepSpec(4, ONE, is_standing=True)
        job = self.fleet.submit("a", step, seconds=60.0)
        self.fleet.run_for(0.5)
        (former,) = self.used(job)
        centre = EAST if former.startswith("e") else WEST
        self.evacuate(centre)
        evacuated_s = self.fleet.now_s
        entry = registration(
            former, data_centre=centre, is_draining=True, remaining_s=5.0
        )
        self.fleet.scheduler.worker_registered(entry, evacuated_s)
        self.fleet.run_for(2.0)
        assert len(self.fleet.running(job)) == 4
        started = {each[0] for each in self.used(job, evacuated_s)}
        assert started == {"w" if centre == EAST else "e"}

    # Guards against a copy of a straggler in the data centre.
    def test_no_copy_starts_there(self) -> None:
        def plan(_request: StartRequest) -> RunPlan:
            return RunPlan(0.5, ONE, hangs=len(self.fleet.starts) == 1)

        step = StepSpec(4, ONE, is_speculative=True)
        self.fleet.submit("a", step, queue_name=URGENT, plan=plan)
        self.fleet.run_for(0.1)
        self.evacuate(EAST, WEST)
        self.fleet.run_for(2.0)
        assert len(self.fleet.starts) == 4
        self.evacuate()
        self.fleet.run_for(0.3)
        assert len(self.fleet.starts) == 5

    # Guards against a fault with no worker left, and against steps that nobody tries
    # again once there are some.
    def test_all_data_centres(self) -> None:
        self.evacuate(EAST, WEST)
        gang = self.fleet.submit("g", StepSpec(4, ONE, is_gang=True))
        job = self.fleet.submit("a", StepSpec(4, ONE), queue_name=URGENT)
        self.fleet.run_for(3.0)
        assert self.fleet.starts == []
        self.evacuate(EAST)
        self.fleet.run_for(0.1)
        assert self.used(job) | self.used(gang) <= {"w0", "w1"}
        assert len(self.fleet.running(job)) == len(self.fleet.running(gang)) == 4

    # Guards against steps that wait although a data centre is taken back.
    def test_waiting_tasks_start_at_once_after_the_withdrawal(self) -> None:
        self.evacuate(EAST)
        job = self.fleet.submit("a", StepSpec(128, ONE), seconds=30.0)
        self.fleet.run_for(0.5)
        assert len(self.fleet.running(job)) == 64
        self.evacuate()
        self.fleet.run_for(0.1)
        assert len(self.fleet.running(job)) == 128

    # Guards against a set that is added to in place of being replaced.
    def test_two_data_centres_in_turn(self) -> None:
        self.evacuate(EAST)
        self.evacuate(EAST, WEST)
        self.evacuate(WEST)
        job = self.fleet.submit("a", StepSpec(2, ONE))
        self.fleet.run_for(0.5)
        assert self.used(job) <= {"e0", "e1"}


class TestRegistrations(EvacuationFixture):
    # Guards against workers that start after the request, and accept work.
    def test_worker_that_registers_later(self) -> None:
        self.evacuate(EAST, WEST)
        self.fleet.add_worker("e2", data_centre=EAST)
        job = self.fleet.submit("a", StepSpec(1, ONE))
        self.fleet.run_for(0.5)
        assert self.used(job) == set()
        self.fleet.add_worker("n0", data_centre="north")
        self.fleet.run_for(0.5)
        assert self.used(job) == {"n0"}

    # Guards against a worker that is judged by the data centre of its first entry.
    def test_worker_that_changes_its_data_centre(self) -> None:
        self.evacuate(EAST, WEST)
        job = self.fleet.submit("a", StepSpec(1, ONE))
        self.fleet.run_for(0.5)
        now_s = self.fleet.now_s
        moved = registration("e0", data_centre="north")
        self.fleet.scheduler.worker_registered(moved, now_s)
        self.fleet.run_for(0.5)
        assert self.used(job) == {"e0"}
        self.fleet.scheduler.worker_registered(
            registration("e0", data_centre=EAST), self.fleet.now_s
        )
        other = self.fleet.submit("b", StepSpec(1, ONE))
        self.fleet.run_for(0.5)
        assert self.used(other) == set()


class TestPreemption(EvacuationFixture):
    def fill(self) -> JobId:
        """Run batch work on all workers that can be preempted."""
        step = StepSpec(4, WHOLE, saves_progress=True, estimate_s=30.0)
        job = self.fleet.submit("batch", step, seconds=30.0)
        # Jobs beyond their share preempt nothing, so the next job must be within it.
        self.fleet.run_for(1.5)
        assert len(self.fleet.running(job)) == 4
        return job

    # Guards against stopping runs for room that can't be used.
    def test_runs_of_evacuated_workers_are_not_preempted_for_room(self) -> None:
        self.fill()
        self.evacuate(EAST)
        job = self.fleet.submit("a", StepSpec(4, WHOLE), queue_name=URGENT)
        self.fleet.run_for(0.5)
        assert len(self.fleet.stops) == 2
        assert self.used(job) == {"w0", "w1"}

    # Guards against a step that waits for its reservation to expire, 1.5 s: the room
    # that was being made for it is evacuated meanwhile.
    def test_room_is_made_elsewhere_at_once(self) -> None:
        self.fill()
        job = self.fleet.submit("a", StepSpec(1, WHOLE), queue_name=URGENT)
        self.decide()
        (reserved,) = self.fleet.scheduler.placer.reservations
        worker = self.fleet.scheduler.ledger.workers[reserved]
        self.evacuate(worker.entry.data_centre)
        self.decide()
        assert self.fleet.scheduler.placer.reservations.keys() - {reserved}
        self.fleet.run_for(0.5)
        (used,) = self.used(job)
        assert used[0] != reserved[0]

    # Guards against stopping runs there for a team's limit while others would do.
    def test_limit_is_freed_elsewhere_first(self) -> None:
        limit = make_configuration(maximum=HOST + HOST + HOST + HOST)
        self.fleet.scheduler.set_configuration(limit)
        self.fill()
        self.fleet.add_worker("w2", data_centre=WEST)
        self.fleet.run_for(0.2)
        self.evacuate(EAST)
        self.fleet.submit("a", StepSpec(2, WHOLE), queue_name=URGENT)
        self.fleet.step()
        stopped = {
            run.worker.id
            for run in self.fleet.scheduler.ledger.team_runs[TEAM]
            if run.stop_reason is not None
        }
        assert stopped == {"w0", "w1"}


class TestAdvice(EvacuationFixture):
    def setup_method(self) -> None:
        super().setup_method()
        advised = queue(SLOW, 2, AdvicePolicy(0.0, 0.0, 2.5))
        self.fleet.scheduler.set_configuration(make_configuration(advised))

    # Guards against spending the scarce requests on workers that can't be used.
    def test_no_evacuated_worker_is_asked_about(self) -> None:
        self.evacuate(EAST)
        self.fleet.submit("a", StepSpec(80, ONE))
        self.fleet.run_for(1.0)
        asked = [each.workers for each in self.fleet.advice_requests]
        assert asked
        assert {worker for workers in asked for worker in workers} <= {"w0", "w1"}

    # Guards against a start by a ticket that was given before the request.
    def test_ticket_of_an_evacuated_worker_is_not_used(self) -> None:
        self.fleet.allowed = lambda worker: worker in ("e0", "w0")
        job = self.fleet.submit("a", StepSpec(64, ONE), seconds=0.3)
        self.fleet.run_for(0.2)
        before_s = self.fleet.now_s
        assert self.used(job) == {"e0", "w0"}
        self.evacuate(EAST)
        other = self.fleet.submit("b", StepSpec(8, ONE))
        self.fleet.run_for(2.0)
        assert self.fleet.state(other) is JobState.COMPLETED
        assert self.used(job, before_s) | self.used(other) == {"w0"}
