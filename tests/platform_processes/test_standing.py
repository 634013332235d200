"""Tests of the check that standing tasks run, on recorded runs without processes."""

import pytest

from gooseberrydeck_adapter.names import step_name
from gooseberrydeck_adapter_standins.advice import is_allowed
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_standins.fleet_worker import CRASHED, RunSpan
from soak.standing import (
    Outage,
    Rooms,
    Standstill,
    WorkerLife,
    find_lost,
    find_standstills,
)

TASK = TaskRef(JobId("000000000000f000"), 0, 0, 0)
SLOTS = 8


def span(run: int, began_s: float, ended_s: float, kind: str = "lapsed") -> RunSpan:
    return RunSpan(str(TASK), run, began_s, ended_s, kind, is_standing=True)


def standstill(began_s: float, ended_s: float) -> Standstill:
    return Standstill(TASK, began_s, ended_s, 1, CRASHED)


def always(_task: TaskRef, _at_s: float) -> bool:
    return True


class TestStandstills:
    def test_times_between_runs_and_after_the_last_are_found(self) -> None:
        spans = [span(1, 11.0, 20.0, CRASHED), span(2, 25.0, 30.0)]
        found = find_standstills({TASK: 10.0}, spans, until_s=42.0)
        assert [(each.began_s, each.ended_s) for each in found] == [
            (30.0, 42.0),
            (20.0, 25.0),
            (10.0, 11.0),
        ]
        assert [each.last_run for each in found] == [2, 1, 0]
        assert found[1].last_kind == CRASHED

    def test_runs_that_overlap_leave_no_gap(self) -> None:
        spans = [span(1, 10.0, 40.0), span(2, 15.0, 20.0), span(3, 39.0, 42.0)]
        assert find_standstills({TASK: 10.0}, spans, until_s=42.0) == []

    def test_task_that_never_ran_stands_still_from_its_acceptance(self) -> None:
        other = TASK._replace(number=1)
        spans = [span(1, 10.0, 42.0)]
        found = find_standstills({TASK: 10.0, other: 10.0}, spans, until_s=42.0)
        assert found == [Standstill(other, 10.0, 42.0)]


class TestLost:
    def test_standstill_beyond_the_bound_is_lost(self) -> None:
        assert len(find_lost([standstill(20.0, 29.05)], [], always)) == 1

    def test_standstill_within_the_bound_is_not_lost(self) -> None:
        assert find_lost([standstill(20.0, 28.95)], [], always) == []

    @pytest.mark.parametrize(("ended_s", "is_lost"), [(36.9, False), (37.2, True)])
    def test_cell_has_to_be_calm_for_seven_seconds(
        self, ended_s: float, is_lost: bool
    ) -> None:
        outages = [Outage(24.0, 30.0)]
        found = find_lost([standstill(20.0, ended_s)], outages, always)
        assert bool(found) == is_lost

    def test_outages_of_workers_leave_the_cell_calm(self) -> None:
        outages = [Outage(24.0, 30.0, frozenset({"w1"}))]
        assert len(find_lost([standstill(20.0, 30.0)], outages, always)) == 1

    @pytest.mark.parametrize(("ended_s", "is_lost"), [(37.8, False), (38.2, True)])
    def test_room_is_needed_for_three_seconds(
        self, ended_s: float, is_lost: bool
    ) -> None:
        def has_room(_task: TaskRef, at_s: float) -> bool:
            return at_s >= 35.0

        found = find_lost([standstill(20.0, ended_s)], [], has_room)
        assert bool(found) == is_lost


def rooms(
    *lives: WorkerLife, outages: tuple[Outage, ...] = (), share: float = 1.0
) -> Rooms:
    return Rooms(list(lives), outages, share)


def life(*spans: RunSpan, began_s: float = 0.0, ended_s: float = 99.0) -> WorkerLife:
    return WorkerLife("w1", list(spans), SLOTS, began_s, ended_s)


class TestRooms:
    @pytest.mark.parametrize(("runs", "has_room"), [(6, True), (7, False)])
    def test_room_for_two_tasks_is_needed(self, runs: int, has_room: bool) -> None:
        spans = [span(number, 10.0, 30.0) for number in range(runs)]
        assert rooms(life(*spans)).has_room(TASK, 20.0) == has_room
        assert rooms(life(*spans)).has_room(TASK, 31.0)

    @pytest.mark.parametrize(
        ("at_s", "has_room"), [(9.0, False), (12.9, False), (13.1, True), (40.0, False)]
    )
    def test_worker_has_room_while_it_lives(self, at_s: float, has_room: bool) -> None:
        worker = life(began_s=10.0, ended_s=40.0)
        assert rooms(worker).has_room(TASK, at_s) == has_room

    def test_disturbed_worker_has_no_room(self) -> None:
        outage = Outage(20.0, 22.0, frozenset({"w1"}))
        record = rooms(life(), outages=(outage,))
        assert [record.has_room(TASK, at_s) for at_s in (19.0, 21.0, 24.0, 26.0)] == [
            True,
            False,
            False,
            True,
        ]

    def test_crashed_worker_has_no_room(self) -> None:
        record = rooms(life(span(1, 10.0, 20.0, CRASHED)))
        assert not record.has_room(TASK, 21.0)
        assert record.has_room(TASK, 24.0)

    def test_only_workers_that_the_advice_allows_count(self) -> None:
        allowed = is_allowed(step_name(TASK.step_ref), "w1", 0.35)
        assert rooms(life(), share=0.35).has_room(TASK, 20.0) == allowed
        assert not rooms(life(), share=0.0).has_room(TASK, 20.0)
