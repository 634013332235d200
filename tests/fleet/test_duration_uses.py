"""Tests of what learned durations change in the decisions of a scheduler."""

import pytest

from fleet_support import (
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_fleet.expectations import Refusal
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.settings import DurationUses
from gooseberrydeck_fleet.speeds import SpeedEstimator, StepDurations
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import EndKind, StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan

ONE = task_resources()
WHOLE = task_resources(cores=32.0)
NO_USES = DurationUses()
USES = pytest.mark.parametrize("uses", [NO_USES, DurationUses.all()])


def trained_fleet(
    uses: DurationUses, queue: QueueName, seconds: float, estimate_s: float = 1.0
) -> Fleet:
    """Return two workers, and a scheduler that has seen 40 runs of ``seconds``."""
    fleet = Fleet(workers=2, uses=uses)
    durations = fleet.scheduler.ledger.durations
    step = StepSpec(1, ONE, estimate_s=estimate_s)
    if durations.is_learning:
        for _ in range(40):
            expected = durations.expect(queue, TEAM, 0, step)
            durations.learn(queue, TEAM, 0, step, expected, seconds, 0.0, fleet.now_s)
            durations.refresh({}, fleet.now_s)
    return fleet


def find_job(fleet: Fleet, job: JobId) -> Job:
    return fleet.scheduler.ledger.jobs[job]


class TestDueTime:
    # Guards against a due time by an estimate that is four times too short, and one
    # that moves while the job waits, which would undo the order.
    def test_follows_what_is_learned_when_the_job_is_evaluated(self) -> None:
        fleet = trained_fleet(DurationUses.all(), URGENT, 4.0)
        step = StepSpec(1, WHOLE, estimate_s=1.0)
        job = find_job(fleet, fleet.submit("a", step, queue_name=URGENT, seconds=4.0))
        due_s = job.due_s
        assert due_s - job.record.accepted_s == pytest.approx(1.5 * 4 + 0.25, abs=1.0)
        job.durations.teams.clear()
        job.durations.refresh({}, fleet.now_s)
        assert job.due_s == due_s
        fleet.scheduler.ledger.touch(job)
        fleet.step()
        assert job.due_s - job.record.accepted_s == 1.5 + 0.25

    def test_lateness_alone_leaves_the_due_time(self) -> None:
        fleet = trained_fleet(DurationUses(lateness=True), URGENT, 4.0)
        step = StepSpec(1, WHOLE, estimate_s=1.0)
        job = find_job(fleet, fleet.submit("a", step, queue_name=URGENT, seconds=4.0))
        assert job.due_s - job.record.accepted_s == 1.5 + 0.25
        first = next(iter(job.steps.values()))
        assert job.critical_path_s(first) == pytest.approx(4.0, abs=0.5)


class TestLateness:
    # Guards against a job that never counts as late, since it was evaluated by an
    # earlier time than what was learned meanwhile gives.
    def test_job_becomes_late_at_the_time_that_was_learned_last(self) -> None:
        fleet = trained_fleet(DurationUses(lateness=True), URGENT, 0.5)
        fleet.submit("full", StepSpec(2, WHOLE, estimate_s=9.0), seconds=60.0)
        fleet.run_for(0.2)
        step = StepSpec(1, WHOLE, estimate_s=1.0)
        job = find_job(fleet, fleet.submit("a", step, queue_name=URGENT))
        fleet.step()
        first = next(iter(job.steps.values()))
        learned_s = job.late_from_s(first)
        job.durations.teams.clear()
        job.durations.refresh({}, fleet.now_s)
        fleet.scheduler.ledger.touch(job)
        fleet.step()
        estimated_s = job.late_from_s(first)
        assert learned_s is not None
        assert estimated_s is not None
        assert estimated_s + 0.1 < learned_s
        fleet.run_for(estimated_s + 0.1 - fleet.clock.wall())
        rank = fleet.scheduler.server.waiting.ranks[first.ref]
        assert rank[2]


class TestMoves:
    # Guards against a run that is lost with its worker, since its estimate says that it
    # ends in time.
    @USES
    def test_run_that_outlasts_its_worker_moves_early(self, uses: DurationUses) -> None:
        fleet = trained_fleet(uses, SLOW, 10.0)
        fleet.submit("a", StepSpec(1, ONE, estimate_s=1.0), seconds=10.0)
        fleet.run_for(0.1)
        worker = str(fleet.starts[0][2])
        entry = registration(worker, is_draining=True, remaining_s=4.0)
        fleet.scheduler.worker_registered(entry, fleet.now_s)
        fleet.run_for(0.3)
        assert len(fleet.stops) == (uses != NO_USES)


class TestPreemption:
    # Guards against stopping a run that is about to end instead of one that has just
    # begun.
    @USES
    def test_run_with_most_left_is_stopped(self, uses: DurationUses) -> None:
        fleet = trained_fleet(uses, SLOW, 10.0)
        step = StepSpec(1, WHOLE, estimate_s=1.0, saves_progress=True)
        jobs = []
        for name in ("first", "second"):
            jobs.append(fleet.submit(name, step, seconds=10.0))
            fleet.run_for(3.0)
        fleet.submit("urgent", StepSpec(1, WHOLE, estimate_s=1.0), queue_name=URGENT)
        fleet.run_for(0.1)
        assert [task.job for _, task, _ in fleet.stops] == [jobs[uses != NO_USES]]

    # The same, where the team's limit keeps the urgent step waiting.
    @USES
    def test_run_with_most_left_makes_room_in_its_teams_limit(
        self, uses: DurationUses
    ) -> None:
        fleet = trained_fleet(uses, SLOW, 10.0)
        limit = task_resources(cores=20.0, memory_mib=1_000)
        fleet.scheduler.set_configuration(make_configuration(maximum=limit))
        half = task_resources(cores=10.0)
        step = StepSpec(1, half, estimate_s=1.0, saves_progress=True)
        jobs = []
        for name in ("first", "second"):
            jobs.append(fleet.submit(name, step, seconds=10.0))
            fleet.run_for(3.0)
        fleet.submit("urgent", StepSpec(1, half, estimate_s=1.0), queue_name=URGENT)
        fleet.run_for(0.1)
        assert [task.job for _, task, _ in fleet.stops] == [jobs[uses != NO_USES]]


class TestCopies:
    # Guards against a stalled task without siblings that gets no copy.
    @USES
    def test_task_without_siblings_gets_a_copy(self, uses: DurationUses) -> None:
        fleet = trained_fleet(uses, URGENT, 0.5)

        def plan(_: StartRequest) -> RunPlan:
            return RunPlan(0.5, ONE, hangs=len(fleet.starts) == 1)

        step = StepSpec(1, ONE, estimate_s=1.0, is_speculative=True)
        job = fleet.submit("a", step, queue_name=URGENT, plan=plan)
        fleet.run_for(2.2)
        is_copied = uses != NO_USES
        assert len(fleet.starts) == 1 + is_copied
        assert (fleet.state(job) is JobState.COMPLETED) is is_copied


class TestPlacement:
    # Guards against short chains that take the fast workers from the long ones.
    def test_long_chain_prefers_fast_workers_more_than_a_short_one(self) -> None:
        durations = trained_fleet(DurationUses.all(), URGENT, 1.0)
        learner = durations.scheduler.ledger.durations
        for _ in range(20):
            learner.speed_preference(URGENT, 1.0)
        assert learner.speed_preference(URGENT, 1.0) == pytest.approx(1.0, abs=0.01)
        assert 1.2 < learner.speed_preference(URGENT, 2.0) <= 1.5
        assert 0.5 <= learner.speed_preference(URGENT, 0.5) < 0.8


class TestSamples:
    def refused(self, fleet: Fleet) -> dict[Refusal, int]:
        return dict(fleet.scheduler.ledger.durations.refused)

    @USES
    def test_finished_run_is_learned_from_only_with_a_use(
        self, uses: DurationUses
    ) -> None:
        fleet = Fleet(workers=2, uses=uses)
        fleet.submit("a", StepSpec(2, ONE, estimate_s=1.0))
        fleet.run_for(1.5)
        durations = fleet.scheduler.ledger.durations
        assert (TEAM in durations.teams) is (uses != NO_USES)
        assert not durations.refused

    # Guards against the time since the takeover passing for the duration.
    def test_adopted_run_is_refused(self) -> None:
        fleet = Fleet(workers=2, uses=DurationUses.all())
        fleet.submit("a", StepSpec(1, ONE, estimate_s=1.0), seconds=3.0)
        fleet.run_for(1.0)
        fleet.take_over()
        fleet.run_for(3.0)
        assert self.refused(fleet) == {Refusal.NOT_STARTED_HERE: 1}

    # Guards against the time during which the end could not be reported.
    def test_run_that_ends_while_its_worker_is_silent_is_refused(self) -> None:
        fleet = Fleet(workers=1, uses=DurationUses.all())
        fleet.submit("a", StepSpec(1, ONE, estimate_s=1.0))
        fleet.run_for(0.5)
        fleet.unreachable.add(WorkerId("w0"))
        fleet.run_for(1.5)
        fleet.unreachable.clear()
        fleet.run_for(0.5)
        assert self.refused(fleet) == {Refusal.WORKER_WAS_SILENT: 1}

    # Guards against learning from work that never ends by itself.
    def test_long_running_task_is_refused(self) -> None:
        fleet = Fleet(workers=1, uses=DurationUses.all())
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(1.0)
        engine = fleet.engines[WorkerId("w0")]
        engine.end(next(iter(engine.runs.values())), EndKind.SUCCEEDED)
        fleet.run_for(0.1)
        assert self.refused(fleet) == {Refusal.LONG_RUNNING: 1}


class TestWorkersOfTwoSpeeds:
    # Guards against a correction by an estimate that all workers' share of drifts: the
    # siblings that end last make every worker look slower than before.
    def test_correction_for_speed_has_no_drift(self) -> None:
        speeds = SpeedEstimator()
        workers = [WorkerId(f"w{number}") for number in range(4)]
        for number in range(200):
            step = StepDurations()
            for place in range(4):
                index = (number + place) % 4
                factor = 1.25 if index % 2 else 0.8
                seconds = factor * (0.8 + 0.15 * place)
                speeds.observe(workers[index], "a", seconds, step)
        speeds.update_mean(dict.fromkeys(workers, "a"))
        for index, worker in enumerate(workers):
            sign = 1 if index % 2 else -1
            assert 0.1 < sign * speeds.relative_slowness(worker, "a") < 0.4
