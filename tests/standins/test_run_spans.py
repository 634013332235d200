"""Tests of the checks of when tasks were started."""

import pytest

from fleet_support import HOST, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_fleet.worker_calls import EndKind, StartOutcome, StartRequest
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine, RunPlan
from gooseberrydeck_standins.run_spans import (
    NOTICE_S,
    RunSpan,
    find_duplicate_runs,
    find_starts_after_end,
    find_starts_beyond_attempts,
)

JOB = JobId("a")
TASK = TaskRef(JOB, 0, 0, 0)
TOKEN = Epoch(1)
WORK_S = 1.0
LEASE_MS = 5_000
SOON_S = NOTICE_S - 0.1
LATE_S = NOTICE_S + 0.1


class WorkerFixture:
    """A worker, on which runs of one task start."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.completed_s: dict[JobId, float] = {}
        self.kind = EndKind.SUCCEEDED
        self.seconds = WORK_S
        self.allows_copies = self.is_standing = False
        self.engine = self.new_engine()
        self.other = self.new_engine()

    def new_engine(self) -> FleetWorkerEngine:
        return FleetWorkerEngine(self.clock, HOST, self.plan)

    def plan(self, _request: StartRequest) -> RunPlan:
        return RunPlan(
            self.seconds,
            task_resources(),
            fails=self.kind is EndKind.FAILED,
            is_standing=self.is_standing,
            allows_copies=self.allows_copies,
        )

    def start(
        self,
        run: int,
        engine: FleetWorkerEngine | None = None,
        delay_s: float = 0.0,
    ) -> None:
        """Start a run by a request that was ``delay_s`` on the way."""
        engine = engine or self.engine
        until_ms = engine.reply().clock_ms + LEASE_MS
        request = StartRequest(TASK, run, "", until_ms)
        sent_s = self.clock.wall() - delay_s if delay_s else None
        outcome, _ = engine.start(request, TOKEN, sent_s)
        assert outcome is StartOutcome.STARTED

    def acknowledge(self, number: int) -> None:
        self.engine.poll(TOKEN, number, None)

    def run_and_acknowledge(self, run: int) -> None:
        self.start(run)
        self.clock.advance(WORK_S)
        self.acknowledge(run)

    @property
    def spans(self) -> list[RunSpan]:
        engines = self.engine, self.other
        for engine in engines:
            engine.advance()
        return [span for each in engines for span in each.spans + each.open_spans()]

    def starts_after_end(self) -> list[str]:
        return find_starts_after_end(self.spans, self.completed_s)


class TestAcknowledgedEnds(WorkerFixture):
    def test_end_is_acknowledged_by_the_first_poll_with_its_number(self) -> None:
        self.start(1)
        self.clock.advance(WORK_S)
        self.acknowledge(0)
        assert self.spans[0].acknowledged_s is None
        self.clock.advance(0.5)
        self.acknowledge(1)
        at_s = self.clock.wall()
        self.clock.advance(0.5)
        self.acknowledge(1)
        assert self.spans[0].acknowledged_s == at_s

    def test_end_is_void_for_good_if_the_lease_lapsed_before(self) -> None:
        self.start(1)
        self.clock.advance(LEASE_MS / 1000)
        self.engine.poll(TOKEN, 0, LEASE_MS * 2)
        self.acknowledge(1)
        (span,) = self.spans
        assert span.is_void
        assert span.acknowledged_s is None

    def test_acknowledged_end_outlasts_the_lease_and_the_process(self) -> None:
        self.run_and_acknowledge(1)
        self.clock.advance(LEASE_MS / 1000)
        self.engine.crash()
        (span,) = self.spans
        assert not span.is_void

    def test_number_that_arrives_before_the_end_acknowledges_it(self) -> None:
        self.start(1)
        self.acknowledge(1)
        self.clock.advance(WORK_S)
        (span,) = self.spans
        assert span.acknowledged_s == span.ended_s


class TestStartsAfterEnd(WorkerFixture):
    @pytest.mark.parametrize("allows_copies", [False, True])
    def test_start_long_after_the_acknowledgement_is_found(
        self, allows_copies: bool
    ) -> None:
        self.allows_copies = allows_copies
        self.run_and_acknowledge(1)
        self.clock.advance(LATE_S)
        self.start(2)
        assert len(self.starts_after_end()) == 1

    def test_copy_may_start_beside_the_first_run_and_soon_after_its_end(self) -> None:
        self.allows_copies = True
        self.start(1)
        self.clock.advance(WORK_S / 2)
        self.start(2, self.other)
        self.clock.advance(WORK_S / 2)
        self.acknowledge(1)
        self.clock.advance(SOON_S)
        self.start(3)
        assert find_duplicate_runs(self.spans) == self.starts_after_end() == []

    @pytest.mark.parametrize("allows_copies", [False, True])
    def test_time_counts_from_the_acknowledgement(self, allows_copies: bool) -> None:
        self.allows_copies = allows_copies
        self.start(1)
        self.clock.advance(WORK_S + LATE_S)
        self.start(2)
        self.acknowledge(1)
        assert self.starts_after_end() == []
        assert bool(find_duplicate_runs(self.spans)) is not allows_copies

    def test_delay_on_the_way_does_not_count(self) -> None:
        self.allows_copies = True
        self.run_and_acknowledge(1)
        self.clock.advance(LATE_S)
        self.start(2, delay_s=LATE_S - SOON_S)
        assert self.starts_after_end() == []

    def test_start_that_was_sent_long_after_the_end_is_found_though_delayed(
        self,
    ) -> None:
        self.allows_copies = True
        self.run_and_acknowledge(1)
        self.clock.advance(LATE_S + 0.5)
        self.start(2, delay_s=0.5)
        assert len(self.starts_after_end()) == 1

    def test_void_end_permits_another_start(self) -> None:
        self.start(1)
        self.clock.advance(LEASE_MS / 1000)
        self.start(2)
        self.acknowledge(1)
        self.clock.advance(LATE_S)
        assert self.starts_after_end() == []

    @pytest.mark.parametrize("after_s", [SOON_S, LATE_S])
    def test_start_long_after_the_job_was_completed_is_found(
        self, after_s: float
    ) -> None:
        self.allows_copies = True
        self.completed_s[JOB] = self.clock.wall()
        self.clock.advance(after_s)
        self.start(1)
        assert bool(self.starts_after_end()) is (after_s > NOTICE_S)


class TestStartsBeyondAttempts(WorkerFixture):
    def fail_twice(self) -> None:
        self.kind = EndKind.FAILED
        self.run_and_acknowledge(1)
        self.run_and_acknowledge(2)

    def find(self) -> list[str]:
        return find_starts_beyond_attempts(self.spans, attempts=2)

    def test_start_after_the_last_attempt_is_found(self) -> None:
        self.fail_twice()
        assert self.find() == []
        self.start(3)
        assert len(self.find()) == 1

    def test_failures_count_that_are_acknowledged_after_the_start(self) -> None:
        self.kind = EndKind.FAILED
        for run in (1, 2):
            self.start(run)
            self.clock.advance(WORK_S)
        self.start(3)
        self.acknowledge(2)
        assert len(self.find()) == 1

    @pytest.mark.parametrize("after_s", [SOON_S, LATE_S])
    def test_copy_may_start_until_soon_after_the_last_acknowledgement(
        self, after_s: float
    ) -> None:
        self.allows_copies = True
        self.fail_twice()
        self.clock.advance(after_s)
        self.start(3)
        assert bool(self.find()) is (after_s > NOTICE_S)

    def test_copy_may_start_long_after_failures_of_which_one_is_not_acknowledged(
        self,
    ) -> None:
        self.allows_copies = True
        self.kind = EndKind.FAILED
        self.run_and_acknowledge(1)
        self.start(2)
        self.clock.advance(WORK_S + LATE_S)
        self.start(3)
        assert self.find() == []

    def test_delay_of_a_copy_on_the_way_does_not_count(self) -> None:
        self.allows_copies = True
        self.fail_twice()
        self.clock.advance(LATE_S)
        self.start(3, delay_s=LATE_S)
        assert self.find() == []

    def test_delay_of_another_start_counts(self) -> None:
        self.fail_twice()
        self.clock.advance(LATE_S)
        self.start(3, delay_s=LATE_S)
        assert len(self.find()) == 1

    def test_standing_tasks_may_fail_without_limit(self) -> None:
        spans = [
            RunSpan("a", run, run, run + 0.5, EndKind.FAILED.value, is_standing=True)
            for run in range(5)
        ]
        assert find_starts_beyond_attempts(spans, attempts=2) == []


class TestStallingRuns(WorkerFixture):
    def test_stalling_run_reports_no_progress_and_ends_later(self) -> None:
        def plan(_request: StartRequest) -> RunPlan:
            return RunPlan(WORK_S, task_resources(), stalls_s=2.0)

        self.engine.plan_of = plan
        self.start(1)
        self.clock.advance(2.0)
        (run,) = self.engine.poll(TOKEN, 0, None).runs
        assert run.progress == 0.0
        self.clock.advance(WORK_S)
        assert [span.kind for span in self.spans] == [EndKind.SUCCEEDED.value]
