"""Tasks that fill beside tasks with a target."""

import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_fleet.commands import ThrottleRun
from gooseberrydeck_fleet.throttling import next_speed_percent
from gooseberrydeck_fleet.work import StepSpec

ONE = task_resources()
SERVING = StepSpec(1, ONE, is_standing=True, target_s=0.1)
FILLING = StepSpec(1, ONE, uses_leftover=True)


class TestNextPace:
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
    def test_halves_near_the_target_and_rises_slowly(
        self, speed_percent: int, latency_ratio: float, expected: int
    ) -> None:
        assert next_speed_percent(speed_percent, latency_ratio) == expected


class TestPacing:
    def meeting(self) -> Fleet:
        fleet = Fleet(workers=1)
        fleet.submit("serving", SERVING)
        fleet.submit("filling", FILLING, seconds=60.0)
        fleet.run_for(0.3)
        assert len(fleet.starts) == 2
        return fleet

    def paces_at(self, fleet: Fleet, load_ms: float) -> list[int]:
        worker = next(iter(fleet.scheduler.ledger.workers.values()))
        for run in worker.runs.values():
            if run.task.step.spec.target_s:
                run.load = load_ms
        fleet.clock.advance(1.0)
        commands = fleet.scheduler.decide(fleet.now_s, 0.0)
        return [each.percent for each in commands if isinstance(each, ThrottleRun)]

    def test_filling_task_is_slowed_down_before_the_target_is_missed(self) -> None:
        fleet = self.meeting()
        assert self.paces_at(fleet, 95.0) == [50]
        assert self.paces_at(fleet, 95.0) == [25]
        assert self.paces_at(fleet, 95.0) == [0]
        assert self.paces_at(fleet, 20.0) == [25]

    def test_nothing_is_paced_while_the_target_is_met(self) -> None:
        assert self.paces_at(self.meeting(), 40.0) == []

    def test_both_are_kept_apart_where_there_is_room(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("serving", SERVING)
        fleet.run_for(0.1)
        fleet.submit("filling", FILLING, seconds=9.0)
        fleet.run_for(0.1)
        assert fleet.starts[0][2] != fleet.starts[1][2]
