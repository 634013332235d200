"""Tests of the decisions on which client connections may stay."""

import msgspec

from gooseberrydeck_service.connection_budget import (
    CloseReason,
    ConnectionBudget,
    ConnectionLimits,
    ConnectionProgress,
)

LIMITS = ConnectionLimits(max_connections=4, max_held_bytes=1_000)


class FakeConnection:
    """A connection that records why it was closed."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self.budget = budget
        self.progress = ConnectionProgress(budget.monotonic())
        self.handling = False
        self.closed: CloseReason | None = None
        budget.add(self)

    def is_handling(self) -> bool:
        return self.handling

    def close_for(self, reason: CloseReason) -> None:
        self.closed = reason
        self.budget.remove(self)

    def receive(self, count: int, in_body: bool = True) -> None:
        """Receive bytes that the unfinished request holds."""
        progress, now_s = self.progress, self.budget.monotonic()
        rate = self.budget.limits.min_rate_bytes_per_s
        progress.receive(count, now_s, rate)
        if in_body and progress.body_since_s is None:
            progress.body_since_s = now_s
        self.budget.hold(progress, progress.held_bytes + count)


class Bench:
    """A budget with a fake clock."""

    def __init__(self, limits: ConnectionLimits = LIMITS) -> None:
        self.now_s = 100.0
        self.budget = ConnectionBudget(limits, lambda: self.now_s)

    def connect(self) -> FakeConnection:
        return FakeConnection(self.budget)

    def drip(self, connection: FakeConnection, seconds: int) -> None:
        """Receive one byte a second."""
        for _ in range(seconds):
            self.now_s += 1
            connection.receive(1)
            self.budget.close_expired()


class TestMemory:
    # Guards against closing an honest slow client in place of those that hold much.
    def test_largest_holding_for_the_lag_is_closed_first(self) -> None:
        bench = Bench()
        slow, stalled = bench.connect(), bench.connect()
        slow.receive(10)
        bench.now_s += 2
        stalled.receive(600)
        bench.now_s += 1
        arriving = bench.connect()
        arriving.receive(600)
        assert bench.budget.is_exceeded()
        bench.budget.free_memory()
        assert stalled.closed is CloseReason.MEMORY
        assert slow.closed is arriving.closed is None
        assert bench.budget.held_bytes() == 610

    # Guards against cutting a request that may already be executed.
    def test_requests_in_handling_are_not_closed(self) -> None:
        bench = Bench()
        connection = bench.connect()
        connection.receive(2_000)
        connection.handling = True
        bench.now_s += 100
        bench.budget.free_memory()
        bench.budget.make_room()
        bench.budget.close_expired()
        assert connection.closed is None

    # Guards against complete requests that fill the memory while threads are busy.
    def test_complete_requests_hold_at_most_half(self) -> None:
        budget = Bench().budget
        assert budget.accept_complete(500)
        assert not budget.accept_complete(1)
        budget.release_complete(500)
        assert budget.held_bytes() == 0

    # Guards against limits that a reload lowers without effect.
    def test_changed_limits_apply_to_open_connections(self) -> None:
        bench = Bench()
        connection = bench.connect()
        connection.receive(600)
        bench.budget.limits = msgspec.structs.replace(LIMITS, max_held_bytes=500)
        assert bench.budget.is_exceeded()
        bench.budget.free_memory()
        assert connection.closed is CloseReason.MEMORY


class TestRoom:
    # Guards against closing the load balancer's kept connections before silent ones.
    def test_connections_that_never_sent_a_request_go_first(self) -> None:
        bench = Bench()
        kept = bench.connect()
        kept.progress.finish(bench.now_s)
        bench.now_s += 5
        silent = bench.connect()
        bench.now_s += 1
        new = bench.connect()
        assert bench.budget.make_room()
        assert silent.closed is CloseReason.CONNECTIONS
        assert kept.closed is new.closed is None

    # Guards against new connections that close each other without ever being served.
    def test_new_connections_have_time_to_send(self) -> None:
        bench = Bench()
        connections = [bench.connect() for _ in range(4)]
        assert bench.budget.is_full()
        assert not bench.budget.make_room()
        assert not any(each.closed for each in connections)


class TestDeadlines:
    # Guards against single bytes that keep a request open.
    def test_dripping_body_is_closed(self) -> None:
        bench = Bench()
        connection = bench.connect()
        bench.drip(connection, 19)
        assert connection.closed is None
        bench.drip(connection, 3)
        assert connection.closed is CloseReason.SLOW

    def test_body_at_the_minimum_rate_is_closed_at_its_deadline(self) -> None:
        bench = Bench(ConnectionLimits(4))
        connection = bench.connect()
        for _ in range(62):
            connection.receive(4_096)
            bench.now_s += 1
            bench.budget.close_expired()
        assert connection.closed is CloseReason.BODY_TIMEOUT

    def test_unfinished_header_is_closed(self) -> None:
        bench = Bench()
        connection = bench.connect()
        connection.receive(100, in_body=False)
        bench.now_s += 5
        connection.receive(100, in_body=False)
        bench.budget.close_expired()
        assert connection.closed is None
        bench.now_s += 2
        bench.budget.close_expired()
        assert connection.closed is CloseReason.HEADER_TIMEOUT

    # Guards against closing a conforming client that pauses for 15 s.
    def test_pause_of_a_conforming_client_is_allowed(self) -> None:
        bench = Bench()
        connection = bench.connect()
        connection.receive(100)
        bench.now_s += 15
        bench.budget.close_expired()
        connection.receive(100)
        assert connection.closed is None
