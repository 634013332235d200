"""Tests of starts while the workers' capacities are not confirmed (review/4)."""

import threading
from collections.abc import Iterator

import pytest
from structlog.testing import capture_logs

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import WatchBatch
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registration_age import AGE_MARGIN_S
from gooseberrydeck_fleet.state import StopReason, WorkerObstacle
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.capacity_reports import CapacityReporter
from gooseberrydeck_member.store_follower import PrefixConfirmed, StoreFollower

ONE = StepSpec(1, task_resources())
W0 = WorkerId("w0")
PREFIX = "servers/"


class ConfirmedFleet(Fleet):
    """A worker whose registration was heard of just now."""

    def __init__(self) -> None:
        super().__init__(workers=1)
        timing = self.timing
        self.limit_s = timing.contact_s + timing.registration_s - AGE_MARGIN_S
        self.settling_s = timing.registration_s + AGE_MARGIN_S
        self.scheduler.registrations_confirmed(self.now_s)

    def confirm_for(self, seconds: float) -> None:
        """Run with a store that responds, without changes, ten times a second."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.scheduler.registrations_confirmed(self.now_s)
            self.run_for(0.1)


class TestStarts:
    # 18 to 23 starts of a day went over the rooms that had shrunk while the store was
    # down for 6.2 s. With starts as soon as the store responded again, 25 did: workers
    # had not registered yet.
    def test_nothing_starts_on_figures_that_may_have_shrunk(self) -> None:
        fleet = ConfirmedFleet()
        fleet.run_for(fleet.limit_s - 0.2)
        fleet.submit("in time", ONE)
        fleet.run_for(0.1)
        assert len(fleet.starts) == 1
        fleet.run_for(0.2)
        late = fleet.submit("late", ONE)
        fleet.run_for(2.0)
        assert len(fleet.starts) == 1
        fleet.confirm_for(fleet.settling_s - 0.1)
        assert len(fleet.starts) == 1
        fleet.confirm_for(0.3)
        assert len(fleet.running(late)) == 1

    # A start that waits for a thread was decided on before the confirmation was old.
    def test_start_that_waits_is_dropped(self) -> None:
        fleet = ConfirmedFleet()
        fleet.submit("a", ONE)
        fleet.clock.advance(0.05)
        commands = fleet.scheduler.decide(fleet.now_s, fleet.clock.wall())
        (start,) = (each for each in commands if isinstance(each, StartRun))
        assert fleet.scheduler.find_send_obstacle(start, fleet.now_s) is None
        late_s = fleet.now_s + fleet.limit_s
        obstacle = fleet.scheduler.find_send_obstacle(start, late_s)
        assert obstacle is WorkerObstacle.CAPACITY_OUTDATED

    def test_runs_leases_and_stops_go_on(self) -> None:
        fleet = ConfirmedFleet()
        job = fleet.submit("a", ONE, seconds=60.0)
        fleet.run_for(fleet.limit_s + 6.0)
        assert len(fleet.running(job)) == 1
        (run,) = fleet.scheduler.ledger.workers[W0].runs.values()
        fleet.scheduler.ends.request_stop(run, StopReason.STALLED)
        fleet.run_for(0.5)
        assert len(fleet.stops) == 1
        assert fleet.running(job) == []

    def test_one_line_tells_the_beginning_and_one_the_end(self) -> None:
        fleet = ConfirmedFleet()
        reporter = CapacityReporter(fleet.scheduler)
        with capture_logs() as logs:
            for _ in range(120):
                fleet.run_for(0.05)
                reporter.report(fleet.now_s)
            fleet.confirm_for(fleet.settling_s + 0.2)
            reporter.report(fleet.now_s)
        events = [each["event"] for each in logs]
        assert events == ["capacities unknown", "capacities known again"]


class WatchedStore:
    """A store whose watch takes ``seconds`` for each response without changes."""

    def __init__(self, clock: ManualClock, seconds: list[float]) -> None:
        self.clock = clock
        self.seconds = seconds

    def watch(
        self, _prefix: str, start: Revision, _timeout_s: float
    ) -> Iterator[WatchBatch]:
        for each in self.seconds:
            self.clock.advance(each)
            yield WatchBatch((), start)


class TestFollower:
    # A watch without changes posted nothing, as one that gets no response.
    @pytest.mark.parametrize("seconds", [1.0, 2.0])
    def test_idle_or_slow_watch_is_news_of_when_it_was_asked(
        self, seconds: float
    ) -> None:
        clock = ManualClock()
        began_s = clock.now_s
        messages: list[object] = []
        store = WatchedStore(clock, [seconds] * 3)
        follower = StoreFollower(
            store,  # type: ignore[arg-type]
            PREFIX,
            messages.append,
            clock=clock,
            posts_confirmations=True,
        )
        follower.stopping = threading.Event()
        follower.start_at(Revision(1))
        follower.follow()
        asked = [began_s + number * seconds for number in range(3)]
        assert messages == [PrefixConfirmed(PREFIX, each) for each in asked]

    # The age is at most that of two responses in a row: one is known, one under way.
    def test_slow_store_is_no_store_without_news(self) -> None:
        fleet = ConfirmedFleet()
        response_s = 2.0
        for _ in range(5):
            asked_s = fleet.now_s
            fleet.run_for(response_s)
            assert not fleet.scheduler.registration_age.is_outdated
            fleet.scheduler.registrations_confirmed(asked_s)
