"""Tests that long-running tasks run again soon after the crashes of their workers."""

import pytest

from fleet_support import Fleet, Rebirth, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.fleet_worker import RunPlan
from standing_support import MAX_WITHOUT_RUN_S, ONE, ROOM_S, TICK_S, StandingFleet

TEN = task_resources(cores=10)
NEARLY_ALL = task_resources(cores=31.5)
BEFORE_S = 6.0
AFTER_S = 40.0

CRASHES = 3
"""Crashes under a task after which the platform limits its starts."""

MAX_LATER_STARTS = 2
"""Starts after so many crashes."""


def failed_jobs(fleet: Fleet) -> list[JobId]:
    """Return the jobs that were given up."""
    return [job for job, ended in fleet.ended.items() if ended.state is JobState.FAILED]


class TestRacksThatCrash:
    def crash_racks(self, fleet: StandingFleet, crashes: int, gap_s: float) -> None:
        """Let racks crash one after the other while long-running tasks run."""
        fleet.submit_standing(jobs=8)
        fleet.work_for(BEFORE_S)
        for number in range(crashes):
            fleet.crash_rack(number)
            fleet.work_for(gap_s)
        fleet.work_for(AFTER_S)
        assert fleet.too_long() == {}
        assert failed_jobs(fleet) == []
        assert fleet.violations() == []

    # Guards against tasks that wait for one another's turns to start, for half a minute
    # and more, after racks have crashed whose workers come back elsewhere.
    @pytest.mark.parametrize("gap_s", [4.7, 5.5, 7.0])
    @pytest.mark.parametrize("crashes", [3, 6])
    def test_one_after_the_other_with_workers_that_come_back_elsewhere(
        self, gap_s: float, crashes: int
    ) -> None:
        fleet = StandingFleet()
        fleet.rebirth = Rebirth.ELSEWHERE
        self.crash_racks(fleet, crashes, gap_s)

    # Guards against a pause that doubles with each crash, whoever is to blame.
    @pytest.mark.parametrize("rebirth", [Rebirth.SAME_ID, Rebirth.SAME_ADDRESS])
    @pytest.mark.parametrize("gap_s", [6.0, 7.0])
    def test_again_and_again(self, rebirth: Rebirth, gap_s: float) -> None:
        fleet = StandingFleet()
        fleet.rebirth = rebirth
        self.crash_racks(fleet, crashes=9, gap_s=gap_s)

    # Guards against a successor that begins to count when it takes over.
    @pytest.mark.parametrize("rebirth", [Rebirth.SAME_ID, Rebirth.ELSEWHERE])
    @pytest.mark.parametrize("ahead_s", [-5.0, 0.0, 5.0])
    def test_before_the_holder_is_replaced(
        self, rebirth: Rebirth, ahead_s: float
    ) -> None:
        fleet = StandingFleet()
        fleet.rebirth = rebirth
        fleet.submit_standing(jobs=8)
        fleet.work_for(BEFORE_S)
        for number in range(4):
            fleet.crash_rack(number)
            fleet.work_for(7.0)
        fleet.work_for(2 * MAX_WITHOUT_RUN_S)
        fleet.crash_rack(4)
        fleet.work_for(0.5)
        # The successor's clock is behind by as much.
        fleet.wall_offset_s -= ahead_s
        fleet.take_over()
        fleet.work_for(AFTER_S)
        assert fleet.too_long() == {}
        assert failed_jobs(fleet) == []


class TestCuts:
    # Guards against a task that waits for what shows that its worker has crashed, while
    # nothing can show that: another process has come behind a cut.
    def test_worker_that_is_born_again_behind_a_cut(self) -> None:
        fleet = StandingFleet()
        fleet.submit_standing(jobs=1)
        fleet.work_for(BEFORE_S)
        fleet.crash_worker(fleet.starts[0][2])
        fleet.run_for(5.0)
        _, task, worker = fleet.starts[-1]
        assert task in fleet.standing
        fleet.unreachable.add(worker)
        fleet.restart_worker(worker)
        fleet.work_for(AFTER_S)
        assert fleet.too_long() == {}


class TestReservedWorkers:
    # Guards against a task that finds room only beside one that has its worker to
    # itself, and waits until the latter is cleared.
    def test_only_room_is_beside_a_task_with_much_blame(self) -> None:
        fleet = StandingFleet(workers=4)
        full = fleet.submit("full", StepSpec(1, NEARLY_ALL), seconds=1_000.0)
        fleet.run_for(TICK_S)
        spec = StepSpec(1, TEN, is_standing=True)
        jobs = [fleet.submit(f"standing{number}", spec) for number in range(2)]
        fleet.standing = [TaskRef(job, 0, 0, 0) for job in jobs]
        fleet.run_for(AFTER_S)
        (worker,) = {fleet.worker_of(task) for task in fleet.standing}
        fleet.crash_worker(worker)
        fleet.run_for(BEFORE_S)
        stays, leaves = (fleet.worker_of(task) for task in fleet.standing)
        assert fleet.scheduler.ledger.suspects.reserved == {stays, leaves}
        fleet.rebirth = Rebirth.NEVER
        others = {stays, fleet.worker_of(TaskRef(full, 0, 0, 0))}
        for each in fleet.engines.keys() - others:
            fleet.crash_worker(each)
        fleet.run_for(AFTER_S)
        assert fleet.too_long() == {}
        assert len(fleet.engines[stays].runs) == 2


class TestOrdinaryTasks:
    # Guards against a pause that doubles with each crash over the life of a task, so
    # that a job of one task stands still for minutes with room for it.
    @pytest.mark.parametrize("rebirth", [Rebirth.SAME_ID, Rebirth.ELSEWHERE])
    def test_pause_has_a_bound(self, rebirth: Rebirth) -> None:
        fleet = StandingFleet()
        fleet.rebirth = rebirth
        jobs = [
            fleet.submit(f"long{number}", StepSpec(1, ONE), seconds=100.0)
            for number in range(24)
        ]
        fleet.work_for(BEFORE_S)
        longest_s = 0.0
        for number in range(9):
            fleet.crash_rack(number)
            for _ in range(80):
                fleet.run_for(TICK_S)
                ledger = fleet.scheduler.ledger
                for task in filter(
                    None, (ledger.find_task(TaskRef(job, 0, 0, 0)) for job in jobs)
                ):
                    pause_s = ledger.suspects.retry_s(task, fleet.now_s) - fleet.now_s
                    longest_s = max(longest_s, pause_s)
        assert longest_s <= ROOM_S
        assert failed_jobs(fleet) == []


class TestDeadlyTasks:
    # Guards against tasks that are held back no longer, and take down workers without
    # an end.
    @pytest.mark.parametrize(
        ("rebirth", "racks"),
        [
            (Rebirth.SAME_ID, 3),
            (Rebirth.SAME_ADDRESS, 3),
            (Rebirth.ELSEWHERE, 3),
            (Rebirth.NEVER, 0),
        ],
    )
    @pytest.mark.parametrize("after_s", [0.05, 1.5])
    @pytest.mark.parametrize("deadly", [1, 4])
    def test_long_running_ones_beside_racks_that_crash(
        self, rebirth: Rebirth, racks: int, after_s: float, deadly: int
    ) -> None:
        fleet = StandingFleet()
        fleet.rebirth = rebirth
        fleet.submit_standing(jobs=6)
        fleet.work_for(BEFORE_S)

        def plan(request: StartRequest) -> RunPlan:
            crashes_after_s = after_s if request.task.number == 0 else None
            return RunPlan(
                100.0, ONE, is_standing=True, crashes_after_s=crashes_after_s
            )

        spec = StepSpec(3, ONE, is_standing=True)
        bad = [fleet.submit(f"bad{n}", spec, plan=plan) for n in range(deadly)]
        for number in range(racks):
            fleet.work_for(5.0)
            fleet.crash_rack(number)
        fleet.work_for(2 * AFTER_S)
        assert sorted(failed_jobs(fleet)) == sorted(bad)
        for job in bad:
            task = TaskRef(job, 0, 0, 0)
            crashes = [at_s for at_s, _, runs in fleet.crashes if task in runs]
            starts = [at_s for at_s, started, _ in fleet.starts if started == task]
            for crash_s in crashes[CRASHES - 1 : CRASHES]:
                later = [at_s for at_s in starts if at_s > crash_s]
                assert len(later) <= MAX_LATER_STARTS
        assert fleet.too_long() == {}
        assert fleet.violations() == []
