"""Tests of best-effort tasks beside tasks with a latency target."""

import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_fleet.commands import ThrottleRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.throttling import next_speed_percent
from gooseberrydeck_fleet.work import StepSpec

ONE = task_resources()
SERVING = StepSpec(1, ONE, is_standing=True, target_s=0.1)
BEST_EFFORT = StepSpec(1, ONE, uses_leftover=True)


class TestNextSpeed:
    @pytest.mark.parametrize(
        ("speed_percent", "latency_ratio", "expected"),
        [
            (100, 0.4, 100),
            (100, 0.7, 100),
            (100, 0.9, 50),
            (50, 2.0, 25),
            (25, 1.0, 0),
            (0, 0.9, 0),
            (0, 0.6, 0),
            (0, 0.4, 25),
            (90, 0.1, 100),
        ],
    )
    def test_speed_is_halved_near_the_target_and_rises_slowly(
        self, speed_percent: int, latency_ratio: float, expected: int
    ) -> None:
        assert next_speed_percent(speed_percent, latency_ratio) == expected


class TestThrottling:
    def run_on_one_worker(self) -> Fleet:
        fleet = Fleet(workers=1)
        fleet.submit("serving", SERVING)
        fleet.submit("filling", BEST_EFFORT, seconds=60.0)
        fleet.run_for(0.3)
        assert len(fleet.starts) == 2
        return fleet

    def throttle_at(self, fleet: Fleet, load_ms: float) -> list[int]:
        worker = next(iter(fleet.scheduler.ledger.workers.values()))
        for run in worker.runs.values():
            if run.task.step.spec.target_s:
                run.load = load_ms
        fleet.clock.advance(1.0)
        commands = fleet.scheduler.decide(fleet.now_s, 0.0)
        return [each.percent for each in commands if isinstance(each, ThrottleRun)]

    def test_best_effort_task_is_slowed_down_before_the_target_is_missed(self) -> None:
        fleet = self.run_on_one_worker()
        assert self.throttle_at(fleet, 95.0) == [50]
        assert self.throttle_at(fleet, 95.0) == [25]
        assert self.throttle_at(fleet, 95.0) == [0]
        assert self.throttle_at(fleet, 20.0) == [25]

    # Guards against a task that works on at full speed, because the command to slow it
    # down was dropped when its worker fell silent, and was not sent again.
    @pytest.mark.parametrize("load_ms", [95.0, 60.0])
    def test_speed_is_set_again_after_a_silence(self, load_ms: float) -> None:
        fleet = self.run_on_one_worker()
        for _ in range(3):
            self.throttle_at(fleet, 95.0)
        fleet.scheduler.worker_silent(WorkerId("w0"), fleet.now_s)
        assert self.throttle_at(fleet, 95.0) == []
        fleet.poll_all()
        assert self.throttle_at(fleet, load_ms) == [0]
        assert self.throttle_at(fleet, load_ms) == []

    def test_task_at_full_speed_is_not_throttled_after_a_silence(self) -> None:
        fleet = self.run_on_one_worker()
        fleet.scheduler.worker_silent(WorkerId("w0"), fleet.now_s)
        fleet.poll_all()
        assert self.throttle_at(fleet, 40.0) == []

    def test_nothing_is_throttled_while_the_target_is_met(self) -> None:
        assert self.throttle_at(self.run_on_one_worker(), 40.0) == []

    def test_both_kinds_are_kept_apart_if_capacity_allows(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("serving", SERVING)
        fleet.run_for(0.1)
        fleet.submit("filling", BEST_EFFORT, seconds=9.0)
        fleet.run_for(0.1)
        assert fleet.starts[0][2] != fleet.starts[1][2]
