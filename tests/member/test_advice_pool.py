"""Tests of the advice pool in virtual time, with members that don't answer."""

from collections.abc import Iterator

import msgspec
import pytest

from fleet_support import SLOW, make_configuration, queue, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.advice import Advice, AdviceFailedError
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_member.advice_pool import AdviceCompleted, AdvicePool
from gooseberrydeck_standins.fleet_worker import RunPlan
from joined_support import Behaviour, JoinedFleet
from virtual_time import VirtualTime

PEERS = ("m2:1", "m3:1", "m4:1")
WORKERS = (WorkerId("w1"),)
VALID_S = 2.5
DURATION_S = 0.5
TIMEOUT_S = 2.0
LOST_AFTER_S = 9.0
"""Time after which a standing task counts as lost if it has no run."""


class Service:
    """The advice service as seen through the members: this one is ``""``.

    Those in ``silent`` give no response, those in ``failing`` one without advice, and
    those in ``crashing`` one that can't be read.
    """

    def __init__(self, loop: VirtualTime) -> None:
        self.loop = loop
        self.silent: set[str] = set()
        self.failing: set[str] = set()
        self.crashing: set[str] = set()
        self.asked: list[tuple[str, StepRef]] = []
        self.in_flight: set[str] = set()
        self.overlaps: list[str] = []

    def advise(
        self,
        address: str,
        step: StepRef,
        workers: tuple[WorkerId, ...],
        timeout_s: float,
    ) -> Advice:
        """Handle a request through a peer, as a ``PeerClient``."""
        self.asked.append((address, step))
        if address in self.in_flight:
            self.overlaps.append(address)
        self.in_flight.add(address)
        self.loop.sleep(timeout_s if address in self.silent else DURATION_S)
        self.in_flight.discard(address)
        if address in self.crashing:
            raise RecursionError
        if address in self.silent | self.failing:
            raise AdviceFailedError("no advice")
        return Advice(dict.fromkeys(workers, "ticket"), VALID_S)

    def ask(
        self, step: StepRef, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> Advice:
        """Handle a request of this member, as an ``Adviser``."""
        return self.advise("", step, workers, timeout_s)


class PoolUnderTest:
    """A pool with what it has posted, and when."""

    def __init__(self) -> None:
        self.loop = VirtualTime()
        self.service = Service(self.loop)
        self.pool = AdvicePool(
            self.service,
            self.service,  # type: ignore[arg-type]
            self.loop.clock,
            self.loop,
        )
        self.pool.set_peers(PEERS)
        self.began_s = self.loop.now_s
        self.completed: list[tuple[float, AdviceCompleted]] = []

    def ask(self, number: int) -> StepRef:
        """Ask for a step, and return it."""
        step = StepRef(JobId(f"j{number}"), 0, 0)
        self.pool.ask(AskAdvice(step, WORKERS, False, TIMEOUT_S), self.post)
        self.loop.run_for(0.0)
        return step

    def post(self, message: object) -> None:
        """Note a result."""
        assert isinstance(message, AdviceCompleted)
        self.completed.append((self.loop.now_s - self.began_s, message))

    def results(self, step: StepRef) -> list[tuple[float, bool]]:
        """Return when results for a step were posted, and whether it got advice."""
        return [
            (round(at_s, 3), message.advice is not None)
            for at_s, message in self.completed
            if message.step == step
        ]

    def members_asked(self) -> list[str]:
        """Return the members in the order in which they were asked."""
        return [address for address, _ in self.service.asked]


@pytest.fixture
def under_test() -> Iterator[PoolUnderTest]:
    created = PoolUnderTest()
    yield created
    created.loop.close()


class TestChoice:
    def test_each_member_has_one_request_in_flight(
        self, under_test: PoolUnderTest
    ) -> None:
        assert under_test.pool.capacity() == 1 + len(PEERS)
        steps = [under_test.ask(number) for number in range(4)]
        under_test.loop.run_for(DURATION_S)
        assert under_test.members_asked() == ["", *PEERS]
        for step in steps:
            assert under_test.results(step) == [(DURATION_S, True)]

    # Guards against steps that never get advice beside members that could ask for it.
    @pytest.mark.parametrize("kind", ["silent", "failing"])
    def test_member_whose_request_failed_is_asked_last(
        self, under_test: PoolUnderTest, kind: str
    ) -> None:
        getattr(under_test.service, kind).update({"", "m2:1"})
        for number in range(6):
            under_test.ask(number)
            under_test.loop.run_for(TIMEOUT_S + 0.1)
        assert under_test.members_asked() == ["", "m2:1", *["m3:1"] * 4]

    def test_member_that_failed_is_asked_if_the_others_are_busy(
        self, under_test: PoolUnderTest
    ) -> None:
        under_test.service.failing.add("")
        under_test.ask(0)
        under_test.loop.run_for(TIMEOUT_S)
        under_test.service.failing.clear()
        for number in range(1, 5):
            under_test.ask(number)
        assert under_test.members_asked() == ["", *PEERS, ""]
        under_test.loop.run_for(TIMEOUT_S)
        under_test.ask(5)
        assert under_test.members_asked()[-1] == ""

    def test_members_that_all_fail_take_turns(self, under_test: PoolUnderTest) -> None:
        under_test.service.failing.update({"", *PEERS})
        for number in range(8):
            under_test.ask(number)
            under_test.loop.run_for(TIMEOUT_S)
        assert under_test.members_asked() == ["", *PEERS] * 2


class TestUnexpectedErrors:
    # Guards against requests that count as in flight for good, so that no step can ask.
    def test_error_of_any_type_is_posted_as_a_failure(
        self, under_test: PoolUnderTest
    ) -> None:
        under_test.service.crashing.add("")
        step = under_test.ask(0)
        under_test.loop.run_for(DURATION_S)
        assert under_test.results(step) == [(DURATION_S, False)]
        assert under_test.pool.capacity() == 4


class TestMembersThatLeave:
    # Guards against steps that wait for the time-out of a member known to be gone.
    def test_request_through_a_member_that_left_fails_at_once(
        self, under_test: PoolUnderTest
    ) -> None:
        under_test.service.silent.add("m2:1")
        under_test.ask(0)
        step = under_test.ask(1)
        under_test.loop.run_for(0.6)
        under_test.pool.set_peers(("m3:1", "m4:1"))
        assert under_test.results(step) == [(0.6, False)]
        assert under_test.pool.capacity() == 3
        # The response, or its time-out, counts for nothing any more.
        under_test.loop.run_for(2 * TIMEOUT_S)
        assert under_test.results(step) == [(0.6, False)]

    def test_member_that_is_back_gets_no_second_request_beside_the_first(
        self, under_test: PoolUnderTest
    ) -> None:
        under_test.service.silent.add("m2:1")
        under_test.ask(0)
        under_test.ask(1)
        under_test.pool.set_peers(("m3:1", "m4:1"))
        under_test.pool.set_peers(PEERS)
        assert under_test.pool.capacity() == 3
        under_test.ask(2)
        under_test.ask(3)
        assert under_test.service.overlaps == []
        under_test.loop.run_for(TIMEOUT_S)
        assert under_test.pool.capacity() == 4

    def test_requests_through_members_that_stay_go_on(
        self, under_test: PoolUnderTest
    ) -> None:
        steps = [under_test.ask(number) for number in range(2)]
        under_test.pool.set_peers(("m2:1",))
        under_test.loop.run_for(DURATION_S)
        for step in steps:
            assert under_test.results(step) == [(DURATION_S, True)]


class StandingFleet(JoinedFleet):
    """A fleet whose tasks last, and that asks for slow advice through a pool."""

    def __init__(self, workers: int) -> None:
        super().__init__(workers)
        self.service = Service(self.loop)
        self.task.advice_pool = AdvicePool(
            self.service,
            self.service,  # type: ignore[arg-type]
            self.loop.clock,
            self.loop,
        )
        self.task.advice_pool.set_peers(PEERS)
        policy = AdvicePolicy(DURATION_S, 0.0, VALID_S)
        slow = queue(SLOW, 2, policy)
        self.task.set_configuration(make_configuration(slow, version=2))

    def plan(self, request: StartRequest) -> RunPlan:
        """Return the course of a run."""
        return msgspec.structs.replace(super().plan(request), is_standing=True)


class TestStandingTasks:
    # Guards against standing tasks that never start while members can't ask for advice.
    @pytest.mark.parametrize("silent", [{""}, {"", "m2:1"}, {"m2:1", "m3:1"}])
    def test_they_start_beside_silent_members(self, silent: set[str]) -> None:
        fleet = StandingFleet(workers=8)
        fleet.service.silent |= silent
        jobs = [
            fleet.submit(
                StepSpec(1, task_resources(1), is_standing=True),
                behaviour=Behaviour(),
            )
            for _ in range(6)
        ]
        fleet.run_for(LOST_AFTER_S)
        assert {task.job for task, _ in fleet.sent_s} == set(jobs)
        fleet.close()
