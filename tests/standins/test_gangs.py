"""Tests of gangs on the in-memory workers."""

from collections.abc import Callable

import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.worker_calls import EndKind, PollReply, StartRequest
from gooseberrydeck_standins.fleet_worker import (
    FleetWorkerEngine,
    RunPlan,
    RunSpan,
    find_duplicate_runs,
)
from gooseberrydeck_standins.gangs import GANG_TIMEOUT_S, GangRegistry

TOKEN = Epoch(1)
HOST = Resources(4_000, 1_000)
LEASE_MS = 6_000
WORK_S = 1.0
FIRST, SECOND = (TaskRef(JobId("a"), 0, 0, number) for number in range(2))


def gang_of_two(_request: StartRequest) -> RunPlan:
    return RunPlan(WORK_S, gang_size=2)


class GangFixture:
    """Two workers of one fleet, each for one member of a gang of two."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.gangs = GangRegistry()
        self.create_workers(gang_of_two)

    def create_workers(self, plan: Callable[[StartRequest], RunPlan]) -> None:
        self.one, self.other = (
            FleetWorkerEngine(self.clock, HOST, plan, gangs=self.gangs)
            for _ in range(2)
        )

    def start(
        self,
        engine: FleetWorkerEngine,
        task: TaskRef,
        run: int = 1,
        checkpoint: str = "",
        lease_ms: int = LEASE_MS,
    ) -> None:
        until_ms = int(engine.now_s() * 1000) + lease_ms
        engine.start(StartRequest(task, run, "", until_ms, checkpoint), TOKEN)

    def start_both(self, run: int = 1) -> None:
        self.start(self.one, FIRST, run)
        self.start(self.other, SECOND, run)

    def poll(self, engine: FleetWorkerEngine, last_seen: int = 0) -> PollReply:
        return engine.poll(TOKEN, last_seen, None)

    def kinds(self, engine: FleetWorkerEngine) -> list[EndKind]:
        return [end.kind for end in self.poll(engine).ends]

    def ended_s(self, engine: FleetWorkerEngine) -> list[float]:
        return [round(span.ended_s, 3) for span in engine.spans]


class TestPresence(GangFixture):
    def test_work_begins_when_all_members_are_present(self) -> None:
        began_s = self.clock.now_s
        self.start(self.one, FIRST)
        self.clock.advance(2.0)
        (report,) = self.poll(self.one).runs
        assert report.progress == 0.0
        self.start(self.other, SECOND)
        self.clock.advance(WORK_S + 0.1)
        assert self.kinds(self.one) == [EndKind.SUCCEEDED]
        assert self.kinds(self.other) == [EndKind.SUCCEEDED]
        assert self.ended_s(self.one) == [began_s + 2.0 + WORK_S]

    def test_member_without_the_others_ends_alone(self) -> None:
        began_s = self.clock.now_s
        self.start(self.one, FIRST)
        self.clock.advance(GANG_TIMEOUT_S + 0.5)
        assert self.kinds(self.one) == [EndKind.GANG_INCOMPLETE]
        assert self.ended_s(self.one) == [began_s + GANG_TIMEOUT_S]

    def test_members_of_different_runs_do_not_work_together(self) -> None:
        self.start(self.one, FIRST, run=1)
        self.start(self.other, SECOND, run=2)
        self.clock.advance(GANG_TIMEOUT_S + 0.5)
        assert self.kinds(self.one) == [EndKind.GANG_INCOMPLETE]
        assert self.kinds(self.other) == [EndKind.GANG_INCOMPLETE]

    def test_late_member_does_not_complete_a_gang_that_has_ended(self) -> None:
        self.start(self.one, FIRST)
        self.clock.advance(GANG_TIMEOUT_S + 0.1)
        self.start(self.other, SECOND)
        self.clock.advance(WORK_S + 0.1)
        assert self.kinds(self.one) == [EndKind.GANG_INCOMPLETE]
        assert self.kinds(self.other) == []

    def test_worker_without_a_shared_registry_runs_a_whole_gang(self) -> None:
        engine = FleetWorkerEngine(self.clock, HOST, gang_of_two)
        self.start(engine, FIRST)
        self.start(engine, SECOND)
        self.clock.advance(WORK_S + 0.1)
        assert self.kinds(engine) == [EndKind.SUCCEEDED] * 2

    def test_member_with_another_checkpoint_is_a_violation(self) -> None:
        self.start(self.one, FIRST, checkpoint="0.500")
        self.start(self.other, SECOND)
        assert len(self.other.violations) == 1


class TestEnds(GangFixture):
    def test_stop_of_a_member_breaks_the_gang(self) -> None:
        self.start_both()
        self.clock.advance(0.5)
        self.one.stop(FIRST, 1, TOKEN)
        self.clock.advance(0.5)
        assert self.kinds(self.other) == [EndKind.GANG_BROKEN]
        assert self.kinds(self.one) == [EndKind.STOPPED]

    def test_failure_of_a_member_breaks_the_gang(self) -> None:
        self.create_workers(
            lambda request: RunPlan(WORK_S, fails=request.task == FIRST, gang_size=2)
        )
        self.start_both()
        self.clock.advance(WORK_S + 0.1)
        assert self.kinds(self.other) == [EndKind.GANG_BROKEN]
        assert self.kinds(self.one) == [EndKind.FAILED]

    def test_crash_of_a_worker_breaks_the_gang(self) -> None:
        self.start_both()
        self.clock.advance(0.5)
        self.one.crash()
        assert self.kinds(self.other) == [EndKind.GANG_BROKEN]

    def test_members_on_a_crashed_worker_end_once(self) -> None:
        engine = FleetWorkerEngine(self.clock, HOST, gang_of_two)
        self.start(engine, FIRST)
        self.start(engine, SECOND)
        engine.crash()
        assert [span.task for span in engine.spans] == [str(FIRST), str(SECOND)]
        assert engine.runs == {}

    def test_broken_member_keeps_the_checkpoint_of_the_gang(self) -> None:
        self.start_both()
        self.clock.advance(0.4)
        self.one.crash()
        (end,) = self.poll(self.other).ends
        assert end.checkpoint == "0.400"

    @pytest.mark.parametrize("is_lapsed_first", [True, False])
    def test_gang_ends_at_the_first_event_whoever_is_polled_first(
        self, is_lapsed_first: bool
    ) -> None:
        began_s = self.clock.now_s
        self.start(self.one, FIRST, lease_ms=800 if is_lapsed_first else 1_200)
        self.start(self.other, SECOND)
        self.clock.advance(5.0)
        ends = {engine: self.kinds(engine) for engine in (self.other, self.one)}
        if is_lapsed_first:
            assert ends[self.one] == [EndKind.LAPSED]
            assert ends[self.other] == [EndKind.GANG_BROKEN]
            assert self.ended_s(self.other) == [began_s + 0.8]
        else:
            assert ends[self.one] == ends[self.other] == [EndKind.SUCCEEDED]
            assert self.ended_s(self.one) == [began_s + WORK_S]


class TestDuplicates(GangFixture):
    def done(self) -> None:
        self.start_both()
        self.clock.advance(WORK_S + 0.1)

    def find(self) -> list[str]:
        engines = self.one, self.other
        return find_duplicate_runs(
            [span for each in engines for span in each.spans + each.open_spans()]
        )

    def test_start_of_another_member_after_the_gang_was_done_is_found(self) -> None:
        self.done()
        # Only the end of the first member counts: that of the second has lapsed.
        self.poll(self.one, last_seen=1)
        self.other.advance()
        self.other.void_ends()
        self.clock.advance(0.1)
        self.start(self.one, SECOND, run=2)
        assert len(self.find()) == 1

    def test_gang_that_was_broken_may_run_again(self) -> None:
        self.start_both()
        self.one.stop(FIRST, 1, TOKEN)
        self.clock.advance(0.5)
        self.one.advance()
        self.start_both(run=2)
        self.clock.advance(WORK_S + 0.1)
        assert self.kinds(self.one) == [EndKind.STOPPED, EndKind.SUCCEEDED]
        assert self.find() == []

    def test_gang_without_work_left_does_not_count_as_its_own_duplicate(self) -> None:
        for engine, task in ((self.one, FIRST), (self.other, SECOND)):
            self.start(engine, task, checkpoint=str(WORK_S))
        assert self.kinds(self.one) == [EndKind.SUCCEEDED]
        assert self.find() == []

    def test_end_counts_for_nothing_if_the_lease_lapsed_before_it_was_noted(
        self,
    ) -> None:
        self.done()
        self.clock.advance(LEASE_MS / 1000)
        self.one.advance()
        self.other.advance()
        self.start_both(run=2)
        assert self.find() == []

    def test_noted_end_counts_although_the_lease_lapsed_later(self) -> None:
        self.done()
        self.poll(self.one, last_seen=1)
        self.clock.advance(LEASE_MS / 1000)
        self.start(self.one, FIRST, run=2)
        assert self.find() != []

    def test_end_counts_for_nothing_if_its_worker_crashed_before_it_was_noted(
        self,
    ) -> None:
        self.done()
        self.one.crash()
        assert [span.is_void for span in self.one.spans] == [True]

    def test_runs_in_progress_at_the_same_time_are_found(self) -> None:
        self.start(self.one, FIRST, run=1)
        self.start(self.other, FIRST, run=2)
        assert len(self.find()) == 1

    def test_start_after_a_plain_task_was_done_is_found(self) -> None:
        spans = [
            RunSpan("a", 1, 1.0, 2.0, EndKind.SUCCEEDED.value),
            RunSpan("a", 2, 3.0, 4.0, EndKind.STOPPED.value),
        ]
        assert len(find_duplicate_runs(spans)) == 1
