"""Tests of evacuations that race with other events, in virtual time.

The joined fleet checks of each start that it wasn't sent over 2 s after the request,
unless the store is disturbed, and that no task runs twice.
"""

from collections.abc import Callable, Iterator

import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import DataCentre, JobId
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.send_permission import SendObstacle
from gooseberrydeck_fleet.state import WorkerObstacle
from gooseberrydeck_fleet.work import JobState, StepSpec
from joined_checks import CheckedFleet
from joined_support import DATA_CENTRES, EVACUATIONS, Behaviour

WORKERS = 12
ONE = task_resources()
EVACUATION_S = 5.0
SKEW_S = 6.0
"""How much later an evacuation may take effect while the store is unstable."""


@pytest.fixture
def joined() -> Iterator[CheckedFleet]:
    joined = CheckedFleet(WORKERS)
    # More short tasks than have room, so that starts follow each other everywhere.
    joined.submit(StepSpec(900, ONE), behaviour=Behaviour(1.0))
    joined.run_for(1.0)
    yield joined
    joined.close()


def started_in(joined: CheckedFleet, name: str, since_s: float) -> list[float]:
    """Return when starts were sent to workers of a data centre."""
    sent = [
        span.sent_s
        for host in joined.hosts
        if joined.data_centre_of(host.worker) == name
        for engine in host.engines
        for span in engine.spans + engine.open_spans()
    ]
    return sorted(at_s for at_s in sent if at_s is not None and at_s > since_s)


class TestTakeover:
    # Guards against a successor that starts work in the data centre, which its
    # predecessor hadn't heard of either.
    def test_holder_is_replaced_between_request_and_effect(
        self, joined: CheckedFleet
    ) -> None:
        joined.evacuate("east")
        requested_s = joined.loop.now_s
        joined.replace_holder()
        joined.run_for(6.0)
        assert joined.logged("shard taken over") == 2
        assert started_in(joined, "east", requested_s + 0.05) == []
        assert started_in(joined, "west", requested_s + 1.0)
        assert joined.violations() == []

    # Guards against a withdrawal that nobody sees, between two holders.
    def test_request_is_withdrawn_while_the_holder_is_replaced(
        self, joined: CheckedFleet
    ) -> None:
        joined.evacuate("east")
        joined.run_for(3.0)
        joined.take_back("east")
        joined.replace_holder()
        joined.run_for(3.0)
        assert started_in(joined, "east", joined.loop.now_s - 1.0)
        assert joined.violations() == []


class TestRequests:
    def test_two_data_centres_in_turn(self, joined: CheckedFleet) -> None:
        joined.evacuate("east")
        joined.run_for(2.0)
        joined.evacuate("west")
        joined.run_for(3.0)
        joined.take_back("east")
        joined.run_for(3.0)
        now_s = joined.loop.now_s
        assert started_in(joined, "east", now_s - 1.0)
        assert started_in(joined, "west", now_s - 4.0) == []
        assert joined.violations() == []

    # Guards against an evacuation that stays since its end came before its beginning.
    def test_request_is_withdrawn_before_it_is_seen(self, joined: CheckedFleet) -> None:
        joined.evacuate("east")
        joined.take_back("east")
        joined.run_for(3.0)
        assert started_in(joined, "east", joined.loop.now_s - 1.0)

    # Guards against one odd key that hides the requests beside it.
    def test_unreadable_entry_beside_a_request(self, joined: CheckedFleet) -> None:
        joined.write(EVACUATIONS, b"\xff")
        joined.write(f"{EVACUATIONS}\x00", b"{}")
        joined.evacuate("east")
        joined.run_for(5.0)
        assert started_in(joined, "east", joined.loop.now_s - 3.0) == []
        assert joined.logged("evacuation unreadable") == 2
        assert joined.violations() == []

    # Guards against a holder that fails without any worker, and against work that
    # isn't tried again.
    def test_all_data_centres(self, joined: CheckedFleet) -> None:
        for name in DATA_CENTRES:
            joined.evacuate(name)
        joined.run_for(8.0)
        now_s = joined.loop.now_s
        for name in DATA_CENTRES:
            assert started_in(joined, name, now_s - 5.0) == []
            joined.take_back(name)
        joined.run_for(3.0)
        for name in DATA_CENTRES:
            assert started_in(joined, name, now_s)
        assert joined.violations() == []


class TestStore:
    # Guards against starts once a holder, which may act for some seconds without the
    # store, no longer knows that the request is still there.
    @pytest.mark.parametrize("is_down", [False, True])
    def test_request_stays_in_force_while_the_store_is_silent(
        self, joined: CheckedFleet, is_down: bool
    ) -> None:
        joined.evacuate("east")
        joined.run_for(2.0)
        since_s = joined.loop.now_s
        joined.disturb_store(7.0, is_down=is_down, is_cut=not is_down)
        joined.run_for(12.0)
        assert joined.logged("evacuations not confirmed") >= 1
        assert started_in(joined, "east", since_s) == []
        assert started_in(joined, "west", since_s)
        joined.take_back("east")
        joined.run_for(3.0)
        assert started_in(joined, "east", joined.loop.now_s - 2.0)
        assert joined.violations() == []

    # Guards against a request that is missed, since it was made while the holder could
    # not reach the store.
    @pytest.mark.parametrize("cut_s", [1.0, 4.0, 9.0])
    def test_request_while_the_holder_is_cut_off(
        self, joined: CheckedFleet, cut_s: float
    ) -> None:
        joined.disturb_store(cut_s, is_cut=True)
        joined.run_for(0.3)
        joined.evacuate("east")
        requested_s = joined.loop.now_s
        joined.run_for(EVACUATION_S + SKEW_S + 3.0)
        bound_s = requested_s + EVACUATION_S + SKEW_S
        assert started_in(joined, "east", bound_s) == []
        assert joined.violations() == []


class QueuedStarts:
    """A fleet in two data centres whose scheduler's starts wait in the holder."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=0)
        for name in ("east", "west"):
            self.fleet.add_worker(name, data_centre=name)
        self.fleet.run_for(0.2)

    def evacuate(self, *names: str) -> None:
        centres = frozenset(map(DataCentre, names))
        self.fleet.scheduler.set_evacuated(centres, self.fleet.now_s)

    def decide(self) -> list[StartRun]:
        """Return the starts that are decided on, without sending them."""
        commands = self.fleet.scheduler.decide(
            self.fleet.now_s, self.fleet.clock.wall()
        )
        return [each for each in commands if isinstance(each, StartRun)]


class TestStarts(QueuedStarts):
    # Guards against a start that is sent in the data centre since it was decided
    # before, and against a task that is lost with it.
    def test_start_that_waits_for_two_seconds_is_dropped(self) -> None:
        job = self.fleet.submit("a", StepSpec(64, ONE))
        starts = self.decide()
        assert {each.worker for each in starts} == {"east", "west"}
        self.fleet.clock.advance(1.0)
        self.evacuate("east")
        scheduler, find = self.fleet.scheduler, self.fleet.scheduler.find_send_obstacle
        self.check(starts, lambda each: find(each, self.fleet.now_s), None)
        self.fleet.clock.advance(1.0)
        # Those to the other data centre have run out too.
        self.check(
            starts, lambda each: find(each, self.fleet.now_s), SendObstacle.EXPIRED
        )
        for each in starts:
            request = each.request
            scheduler.start_unanswered(each.worker, request.task, request.run, False)
        self.fleet.run_for(4.0)
        assert self.fleet.state(job) is JobState.COMPLETED
        assert {worker for _, _, worker in self.fleet.starts} == {"west"}
        assert self.fleet.violations() == []

    def check(
        self,
        starts: list[StartRun],
        find: Callable[[StartRun], object],
        elsewhere: SendObstacle | None,
    ) -> None:
        """Check what forbids the starts in each of the data centres."""
        for start in starts:
            is_east = start.worker == "east"
            expected = WorkerObstacle.EVACUATED if is_east else elsewhere
            assert find(start) is expected

    # Guards against a second run beside a start without a response, which the worker
    # executes seconds after the request; that is allowed, and the run finishes.
    @pytest.mark.parametrize("late_s", [0.5, 2.0, 6.0])
    def test_late_order(self, late_s: float) -> None:
        self.fleet.delayed_starts.update(self.fleet.engines)
        job = self.fleet.submit("a", StepSpec(64, ONE, is_standing=True), seconds=99.0)
        self.fleet.run_for(0.05)
        assert self.late_workers() == {"east", "west"}
        self.fleet.delayed_starts.clear()
        self.evacuate("east")
        self.fleet.run_for(late_s)
        self.fleet.deliver_starts()
        self.fleet.run_for(12.0)
        assert self.fleet.violations() == []
        assert self.count_running(job, "west") == 32

    # Guards against runs that are stopped in the data centre, or followed by others.
    def test_late_order_within_its_validity_runs_to_its_end(self) -> None:
        self.fleet.delayed_starts.add(next(iter(self.fleet.engines)))
        job = self.fleet.submit("a", StepSpec(32, ONE), seconds=2.0)
        self.fleet.run_for(0.05)
        assert self.late_workers() == {"east"}
        self.fleet.delayed_starts.clear()
        self.evacuate("east")
        self.fleet.deliver_starts()
        self.fleet.run_for(3.0)
        assert self.fleet.state(job) is JobState.COMPLETED
        assert self.fleet.stops == []
        assert len(self.fleet.starts) == 32

    def late_workers(self) -> set[str]:
        """Return the workers to which start requests are under way."""
        return {str(each.worker) for each in self.fleet.starts_under_way}

    def count_running(self, job: JobId, name: str) -> int:
        """Return how many tasks of a job run in a data centre."""
        (engine,) = (
            engine for worker, engine in self.fleet.engines.items() if worker == name
        )
        return sum(task.job == job for task in engine.runs)
