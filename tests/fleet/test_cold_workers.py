"""Tests of workers that are still slow after their start."""

import msgspec
import pytest

from fleet_support import URGENT, Fleet, registration, task_resources
from gooseberrydeck_coordination.ids import DataCentre, JobId
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
COLD_S = 5.0


class ColdFixture:
    def setup_method(self) -> None:
        self.fleet = Fleet(workers=0)
        self.cold = self.fleet.add_worker("a-cold", cold_s=COLD_S)
        self.fleet.add_worker("b-warm")
        self.fleet.run_for(0.2)

    def used(self, job: JobId) -> set[WorkerId]:
        return {worker for _, task, worker in self.fleet.starts if task.job == job}

    def register(self, name: str, **entry: object) -> None:
        self.fleet.scheduler.worker_registered(
            registration(name, **entry),  # type: ignore[arg-type]
            self.fleet.now_s,
        )


class TestPlacement(ColdFixture):
    # Guards against work that is slowed although other workers are free.
    @pytest.mark.parametrize("is_gang", [False, True])
    def test_work_goes_to_warm_workers_while_they_have_room(
        self, is_gang: bool
    ) -> None:
        job = self.fleet.submit("a", StepSpec(32, ONE, is_gang=is_gang), seconds=3.0)
        self.fleet.run_for(0.1)
        assert self.used(job) == {"b-warm"}

    # Guards against capacity that is left idle.
    def test_cold_worker_is_used_once_the_others_are_full(self) -> None:
        job = self.fleet.submit("a", StepSpec(40, ONE), seconds=3.0)
        self.fleet.run_for(0.1)
        assert self.used(job) == {"a-cold", "b-warm"}
        assert len(self.fleet.running(job)) == 40

    # Guards against batch work that takes the warm room before urgent work.
    def test_urgent_work_avoids_cold_workers_first(self) -> None:
        slow = self.fleet.submit("a", StepSpec(32, ONE), seconds=3.0)
        urgent = self.fleet.submit(
            "b", StepSpec(32, ONE), queue_name=URGENT, seconds=3.0
        )
        self.fleet.run_for(0.1)
        assert self.used(urgent) == {"b-warm"}
        assert self.used(slow) == {"a-cold"}

    # Guards against a cold worker that is preferred since it seems fast.
    def test_slower_worker_is_preferred(self) -> None:
        self.fleet.scheduler.ledger.speeds.workers[WorkerId("b-warm")] = 2.0
        job = self.fleet.submit("a", StepSpec(1, ONE))
        self.fleet.run_for(0.1)
        assert self.used(job) == {"b-warm"}

    # Guards against a worker that counts as cold for good.
    def test_worker_becomes_warm_with_time(self) -> None:
        self.fleet.run_for(COLD_S)
        for name in ("a-cold", "b-warm"):
            worker = self.fleet.scheduler.ledger.workers[WorkerId(name)]
            assert not worker.is_cold(self.fleet.now_s)
        job = self.fleet.submit("a", StepSpec(1, ONE))
        self.fleet.run_for(0.1)
        assert self.used(job) == {"a-cold"}

    # Guards against a rack that slows all members of a step, when another fits.
    def test_rack_without_cold_workers_is_chosen(self) -> None:
        self.fleet.add_worker("c-warm", rack="r2")
        self.fleet.add_worker("d-warm", rack="r2")
        self.register("a-cold", cold_s=COLD_S)
        self.fleet.run_for(0.2)
        filler = self.fleet.submit("f", StepSpec(8, ONE), seconds=9.0)
        self.fleet.run_for(0.2)
        assert self.used(filler) == {"b-warm"}
        job = self.fleet.submit("a", StepSpec(32, ONE, same_rack=True), seconds=3.0)
        self.fleet.run_for(0.2)
        assert self.used(job) <= {"c-warm", "d-warm"}

    # Guards against preemption on a cold worker where a warm one costs the same.
    def test_runs_of_warm_workers_are_preempted_first(self) -> None:
        whole = task_resources(32.0)
        step = StepSpec(2, whole, saves_progress=True, estimate_s=30.0)
        self.fleet.submit("a", step, seconds=30.0)
        self.fleet.run_for(1.5)
        job = self.fleet.submit("b", StepSpec(1, whole), queue_name=URGENT)
        self.fleet.run_for(0.5)
        assert self.used(job) == {"b-warm"}


class TestRegistrations(ColdFixture):
    # Guards against a pass over all steps at each heartbeat of each cold worker.
    def test_counting_down_is_no_change(self) -> None:
        self.fleet.submit("a", StepSpec(80, ONE), seconds=9.0)
        self.fleet.run_for(0.5)
        ledger = self.fleet.scheduler.ledger
        changed = ledger.have_workers_changed
        self.register("a-cold", cold_s=COLD_S - 1.5)
        assert ledger.have_workers_changed == changed
        assert not ledger.freed
        assert self.fleet.scheduler.changes.workers_to_record() is None

    # Guards against a record that changes with each heartbeat, and a successor that
    # takes an old figure for the present one.
    def test_record_for_a_successor_has_no_time(self) -> None:
        assert {each.cold_s for each in self.fleet.workers_record} == {0.0}

    # Guards against a record that a holder of the release before can't read.
    def test_registration_of_an_earlier_release_is_warm(self) -> None:
        entry = msgspec.json.decode(msgspec.json.encode(registration("w")))
        del entry["cold_s"]
        assert msgspec.convert(entry, Registration).cold_s == 0.0

    # Guards against a worker that counts as warm after its process has started again.
    def test_worker_becomes_cold_again(self) -> None:
        self.register("b-warm", cold_s=COLD_S)
        self.register("a-cold")
        job = self.fleet.submit("a", StepSpec(1, ONE))
        self.fleet.run_for(0.1)
        assert self.used(job) == {"a-cold"}


class TestSpeeds(ColdFixture):
    # Guards against a worker that is avoided long after it has become warm.
    def test_runs_that_began_cold_are_not_learned_from(self) -> None:
        def plan(_request: StartRequest) -> RunPlan:
            _, _, worker = self.fleet.starts[-1]
            return RunPlan(4.0 if worker == self.cold else 1.0, ONE)

        job = self.fleet.submit("a", StepSpec(64, ONE), plan=plan)
        self.fleet.run_for(0.5)
        step = next(iter(self.fleet.scheduler.ledger.jobs[job].steps.values()))
        self.fleet.run_for(6.0)
        assert self.fleet.state(job) is JobState.COMPLETED
        assert self.used(job) == {"a-cold", "b-warm"}
        assert step.durations.count == 32
        speeds = self.fleet.scheduler.ledger.speeds
        assert self.cold not in speeds.workers


class TestEvacuation(ColdFixture):
    # Guards against cold workers that get nothing when the warm ones are evacuated.
    def test_cold_workers_are_used_beside_an_evacuation(self) -> None:
        self.register("b-warm", data_centre="other")
        evacuated = frozenset({DataCentre("other")})
        self.fleet.scheduler.set_evacuated(evacuated, self.fleet.now_s)
        job = self.fleet.submit("a", StepSpec(2, ONE))
        self.fleet.run_for(0.1)
        assert self.used(job) == {"a-cold"}
