"""Tests of queueing, breakers, slow start and retry budgets under overload."""

import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daemon_support import (
    EDITORS,
    LOOKUP,
    BlockingEndpoints,
    FakeEndpoints,
    call,
    endpoint_host,
    problem,
    running_cell,
    start_thread,
    wait_until,
)
from gooseberrydeck_coordination.ids import RequestId, ShardId, TeamName
from gooseberrydeck_daemon.dispatch.breakers import Breaker, BreakerState, SlowStart
from gooseberrydeck_daemon.dispatch.exceptions import NotRunError, Reason
from gooseberrydeck_daemon.dispatch.limits import NoLimits, RequestLimits
from gooseberrydeck_daemon.dispatch.pools import PoolLoad, ServicePool
from gooseberrydeck_daemon.dispatch.queues import FairQueue
from gooseberrydeck_daemon.dispatch.recent_failures import (
    MAX_REMEMBERED,
    RecentFailures,
)
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest, Ticket
from gooseberrydeck_daemon.dispatch.slots import EndpointSlots
from gooseberrydeck_daemon.dispatch.waits import MIN_SAMPLES, WaitEstimate
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.settings import OverloadSettings
from gooseberrydeck_platform.hosts import HostState


def make_request(
    team: str = EDITORS, is_retry: bool = False, timeout_s: float = 60.0
) -> ServiceRequest:
    return ServiceRequest(
        RequestId(f"{team}/{is_retry}"),
        LOOKUP,
        TeamName(team),
        "text/plain",
        b"",
        time.monotonic() + timeout_s,
        is_retry=is_retry,
    )


def pop_teams(queue: FairQueue, count: int) -> list[str]:
    tickets = [queue.pop(lambda _: True) for _ in range(count)]
    return [ticket.request.team for ticket in tickets if ticket is not None]


class TestFairQueue:
    def test_burst_of_one_team_does_not_delay_another(self) -> None:
        queue = FairQueue(100)
        for _ in range(20):
            queue.push(Ticket(make_request("flood")))
        queue.push(Ticket(make_request("quiet")))
        assert "quiet" in pop_teams(queue, 2)

    def test_teams_are_served_by_weight(self) -> None:
        queue = FairQueue(100)
        queue.weights = {TeamName("heavy"): 3.0, TeamName("light"): 1.0}
        for team in 40 * ["heavy", "light"]:
            queue.push(Ticket(make_request(team)))
        assert pop_teams(queue, 40).count("heavy") == 30

    def test_first_attempts_are_served_before_retries(self) -> None:
        queue = FairQueue(10)
        queue.push(Ticket(make_request("a", is_retry=True)))
        queue.push(Ticket(make_request("b")))
        assert pop_teams(queue, 2) == ["b", "a"]

    @pytest.mark.parametrize(
        ("waiting", "newcomer", "displaced"),
        [
            (["a", "a", "a"], ("b", False), "a"),
            (["a", "b", "c"], ("a", False), "a"),
            (["a", "a", "b"], ("a", False), "a"),
            (["a", "a", "b"], ("c", True), "c"),
        ],
    )
    def test_ticket_displaced_from_a_full_queue(
        self, waiting: list[str], newcomer: tuple[str, bool], displaced: str
    ) -> None:
        queue = FairQueue(len(waiting))
        for team in waiting:
            queue.push(Ticket(make_request(team)))
        ticket = Ticket(make_request(*newcomer))
        displaced_ticket = queue.push(ticket)
        assert displaced_ticket is not None
        assert displaced_ticket.request.team == displaced
        assert queue.size == len(waiting)

    def test_retry_is_displaced_by_a_first_attempt(self) -> None:
        queue = FairQueue(2)
        queue.push(Ticket(make_request("a")))
        queue.push(Ticket(make_request("b", is_retry=True)))
        displaced_ticket = queue.push(Ticket(make_request("a")))
        assert displaced_ticket is not None
        assert displaced_ticket.request.is_retry

    def test_abandoned_ticket_is_not_started(self) -> None:
        queue = FairQueue(2)
        ticket = Ticket(make_request())
        queue.push(ticket)
        ticket.abandon(Reason.CALLER_GONE)
        assert queue.pop(lambda _: True) is None
        assert queue.size == 0

    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.sampled_from("abc"), st.booleans()),
                st.sampled_from(["pop", "refuse", "expire"]),
            ),
            max_size=60,
        )
    )
    def test_size_equals_the_number_of_queued_tickets(
        self, steps: list[object]
    ) -> None:
        queue = FairQueue(8)
        inside: set[int] = set()
        kept: list[Ticket] = []
        for step in steps:
            if isinstance(step, tuple):
                ticket = Ticket(make_request(*step))
                kept.append(ticket)
                inside.add(id(ticket))
                inside.discard(id(queue.push(ticket)))
            elif step == "expire":
                inside -= {id(item) for item in queue.remove_where(lambda _: True)}
            else:
                taken = queue.pop(lambda _, answer=step == "pop": answer)
                assert taken is None or id(taken) in inside
                inside.discard(id(taken))
            assert queue.size == len(inside) <= 8


class TestBreaker:
    def test_opens_after_consecutive_failures_and_probes_after_cooldown(self) -> None:
        breaker = Breaker()
        assert [breaker.record_failure(10.0) for _ in range(5)][-1]
        assert breaker.allowance(8, 10.9) == 0
        assert breaker.allowance(8, 11.0) == 1
        assert breaker.record_failure(11.0)
        assert breaker.allowance(8, 12.9) == 0
        assert breaker.allowance(8, 13.0) == 1
        assert breaker.record_success()
        assert breaker.allowance(8, 13.0) == 8

    def test_success_resets_the_failure_count(self) -> None:
        breaker = Breaker()
        for _ in range(3):
            assert not any(breaker.record_failure(1.0) for _ in range(4))
            breaker.record_success()
        assert breaker.state is BreakerState.CLOSED


class TestSlowStart:
    def test_usable_slots_increase_gradually(self) -> None:
        slow_start = SlowStart()
        assert slow_start.allowance(8, 100.0) == 8
        slow_start.start(100.0)
        counts = [slow_start.allowance(8, 100.0 + step / 2) for step in range(9)]
        assert counts == [1, 2, 3, 4, 5, 6, 7, 8, 8]

    def test_endpoint_that_was_leaving_starts_slowly(self) -> None:
        host = endpoint_host("e1", state=HostState.LEAVING)
        slots = EndpointSlots(host, ShardId(1), FakeEndpoints().connect)
        assert slots.free_slots == 0
        slots.set_host(endpoint_host("e1"), 50.0)
        assert slots.free_slots == 1
        slots.refresh(54.0)
        assert slots.free_slots == 8


class TestWaitEstimate:
    def test_detects_deadlines_that_cannot_be_met(self) -> None:
        waits = WaitEstimate()
        now_s = time.monotonic()
        assert waits.meets_deadline(1_000, 1, now_s)
        for _ in range(MIN_SAMPLES):
            waits.record(0.1)
        assert waits.wait_s(7, 8) == pytest.approx(0.1)
        assert not waits.meets_deadline(79, 8, now_s + 1.0)
        assert waits.meets_deadline(79, 8, now_s + 5.0)


class CappedLimits:
    """Admit up to a fixed number of running units per team."""

    def __init__(self, cap: int) -> None:
        self.cap = cap
        self.running: Counter[TeamName] = Counter()

    def try_admit(self, team: TeamName, shard: ShardId, units: int = 1) -> bool:
        if self.running[team] >= self.cap:
            return False
        self.running[team] += 1
        return True

    def release(self, team: TeamName, shard: ShardId, units: int = 1) -> None:
        self.running[team] -= 1


class IdleExecutor(ThreadPoolExecutor):
    """Accept work without ever running it."""

    def submit(self, *_: object, **__: object) -> Future[None]:  # type: ignore[override]
        return Future()


class TestPool:
    def make_pool(
        self, slots: int = 1, limits: RequestLimits | None = None
    ) -> ServicePool:
        pool = ServicePool(
            LOOKUP,
            4,
            IdleExecutor(),
            lambda _: True,
            limits or NoLimits(),
            OverloadSettings(),
            InMemoryMetrics(),
        )
        host = endpoint_host("e1", slots=slots)
        connect = FakeEndpoints().connect
        pool.set_endpoints([EndpointSlots(host, ShardId(1), connect)])
        return pool

    def reason(self, ticket: Ticket) -> Reason:
        error = ticket.future.exception(timeout=0)
        assert isinstance(error, NotRunError)
        return error.reason

    def test_request_that_would_miss_its_deadline_is_refused(self) -> None:
        pool = self.make_pool()
        for _ in range(MIN_SAMPLES):
            pool.waits.record(1.0)
        pool.submit(make_request())
        patient = pool.submit(make_request(timeout_s=10.0))
        urgent = pool.submit(make_request(timeout_s=2.5))
        assert not patient.future.done()
        assert self.reason(urgent) is Reason.DEADLINE_OUT_OF_REACH
        error = urgent.future.exception()
        assert isinstance(error, NotRunError)
        assert error.retry_after_s == pytest.approx(2.0)

    def test_waiting_request_ends_with_the_last_endpoint(self) -> None:
        pool = self.make_pool()
        pool.submit(make_request())
        waiting = pool.submit(make_request())
        pool.set_endpoints(())
        assert self.reason(waiting) is Reason.OWNERSHIP_MOVED
        assert pool.queue.size == 0

    def test_waiting_request_expires_at_its_deadline(self) -> None:
        pool = self.make_pool()
        pool.submit(make_request())
        waiting = pool.submit(make_request(timeout_s=5.0))
        pool.refresh(time.monotonic() + 4.0)
        assert not waiting.future.done()
        pool.refresh(time.monotonic() + 5.0)
        assert self.reason(waiting) is Reason.WAITED_TOO_LONG

    def test_full_queue_refuses_immediately(self) -> None:
        pool = self.make_pool()
        tickets = [pool.submit(make_request()) for _ in range(6)]
        assert self.reason(tickets[5]) is Reason.QUEUE_FULL
        assert pool.load().waiting == 4

    def test_team_at_its_limit_does_not_block_others(self) -> None:
        limits = CappedLimits(1)
        pool = self.make_pool(8, limits)
        running, limited = pool.submit(make_request()), pool.submit(make_request())
        other = pool.submit(make_request("others"))
        assert limits.running == {EDITORS: 1}
        assert pool.load() == PoolLoad(free=7, waiting=2, slots=8)
        pool.start_waiting()
        assert limits.running == {EDITORS: 1, "others": 1}
        pool.refresh(time.monotonic() + 60.0)
        assert self.reason(limited) is Reason.TEAM_LIMIT
        assert not running.future.done()
        assert not other.future.done()

    def test_breakers_are_ignored_when_most_would_be_open(self) -> None:
        pool = self.make_pool()
        (slots,) = pool.endpoints.values()
        for _ in range(5):
            if slots.record(False, 100.0):
                pool.update_breakers(100.0)
        assert slots.breaker.state is BreakerState.OPEN
        assert slots.free_slots == 1


class TestCallerRetries:
    def test_repeated_failed_request_is_recognized(self) -> None:
        failures = RecentFailures()
        request = make_request()
        assert not failures.is_repeated(request)
        failures.record(request)
        assert failures.is_repeated(make_request())
        assert not failures.is_repeated(make_request("others"))

    def test_memory_is_bounded(self) -> None:
        failures = RecentFailures()
        for number in range(MAX_REMEMBERED + 10):
            failures.record(make_request(f"t{number}"))
        assert len(failures.until_s) == MAX_REMEMBERED

    @pytest.mark.parametrize(
        ("attempt", "tokens", "is_waiting"),
        [("1", 0.0, True), ("2", 0.0, False), ("2", 1.0, True)],
    )
    def test_retry_without_budget_is_not_queued(
        self, attempt: str, tokens: float, is_waiting: bool
    ) -> None:
        endpoints, answers = BlockingEndpoints(), []
        with running_cell([endpoint_host("e1", slots=1)], endpoints) as cell:
            member = cell["m1"]
            threads = [start_thread(lambda: call(member, body=b"1"))]
            wait_until(lambda: len(endpoints.runs) == 1)
            threads.append(start_thread(lambda: call(member, body=b"2")))
            queue = member.directory.pools[LOOKUP].queue
            wait_until(lambda: queue.size == 1)
            budget = member.dispatcher.budgets.budget(LOOKUP)
            budget.tokens, budget.floor_per_s, budget.share = tokens, 0.0, 0.0
            member.dispatcher.budgets.share_of = lambda _: 0.0
            threads.append(
                start_thread(
                    lambda: answers.append(
                        call(member, body=b"3", Gooseberry_Attempt=attempt)
                    )
                )
            )
            wait_until(lambda: queue.size == 2 or len(answers) == 1)
            size = queue.size
            endpoints.released.set()
            for thread in threads:
                thread.join()
        assert size == 1 + is_waiting
        if is_waiting:
            assert answers[0][0] == 200
        else:
            assert problem(answers[0]) == (503, "retry-budget-spent", "not_run")
