"""Tests of the responses to callers, and of the number of runs, on endpoint faults."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from daemon_support import (
    LOOKUP,
    SEAT_HOLD,
    FakeEndpoints,
    call,
    echo,
    endpoint_host,
    problem,
    running_cell,
)
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_platform.endpoint_http import HttpEndpoint
from gooseberrydeck_platform.endpoints import EndpointRequest, EndpointResponse
from gooseberrydeck_platform.exceptions import (
    EndpointRefusedError,
    EndpointUnavailableError,
    OutcomeUnknownError,
)


def raising(error: Exception) -> Callable[[EndpointRequest, float], EndpointResponse]:
    def behave(_request: EndpointRequest, _timeout_s: float) -> EndpointResponse:
        raise error

    return behave


def answer_late(_request: EndpointRequest, timeout_s: float) -> EndpointResponse:
    time.sleep(timeout_s + 0.01)
    raise OutcomeUnknownError("timed out")


FAULTS = {
    "not reached": raising(EndpointUnavailableError("refused")),
    "refused": raising(EndpointRefusedError("full")),
    "died": raising(OutcomeUnknownError("reset")),
    "late": answer_late,
    "crashed": raising(ValueError("a fault of ours")),
}


class TestOneEndpoint:
    @pytest.mark.parametrize(
        ("fault", "expected", "runs"),
        [
            ("not reached", (503, "endpoint-not-reached", "not_run"), 3),
            ("refused", (503, "endpoint-not-reached", "not_run"), 3),
            ("died", (502, "endpoint-failed", "unknown"), 1),
            ("late", (504, "answer-late", "unknown"), 1),
            ("crashed", (500, "internal", "unknown"), 1),
        ],
    )
    def test_non_idempotent_request_runs_at_most_once(
        self, fault: str, expected: tuple[int, str, str], runs: int
    ) -> None:
        endpoints = FakeEndpoints(FAULTS[fault])
        with running_cell([endpoint_host("e1", SEAT_HOLD)], endpoints) as cell:
            answer = call(cell["m1"], "seat-hold", Gooseberry_Timeout_Ms="200")
        assert problem(answer) == expected
        assert len(endpoints.runs) == runs


class TestSeveralEndpoints:
    @pytest.mark.parametrize("fault", ["not reached", "refused", "died"])
    def test_idempotent_request_is_retried_on_another_endpoint(
        self, fault: str
    ) -> None:
        endpoints = FakeEndpoints()
        endpoints.host_behaviours[HostName("e1")] = FAULTS[fault]
        hosts = [endpoint_host("e1", slots=9), endpoint_host("e2")]
        with running_cell(hosts, endpoints) as cell:
            assert [call(cell["m1"])[0] for _ in range(5)] == 5 * [200]
        assert [name for name, _ in endpoints.runs].count("e1") == 1

    # Guards against "not run" for a request that an earlier attempt may have run.
    @pytest.mark.parametrize("later", ["not reached", "refused"])
    def test_refusal_after_an_attempt_that_may_have_run_is_not_a_refusal(
        self, later: str
    ) -> None:
        behaviours = iter([FAULTS["died"], FAULTS[later], FAULTS[later]])
        endpoints = FakeEndpoints(
            lambda request, timeout_s: next(behaviours)(request, timeout_s)
        )
        hosts = [endpoint_host(f"e{n}") for n in range(3)]
        with running_cell(hosts, endpoints) as cell:
            answer = call(cell["m1"])
        assert problem(answer) == (502, "endpoint-failed", "unknown")
        assert len(endpoints.runs) == 3

    def test_non_idempotent_request_that_may_have_run_is_not_retried(self) -> None:
        endpoints = FakeEndpoints(FAULTS["died"])
        hosts = [endpoint_host(f"e{n}", SEAT_HOLD) for n in range(4)]
        with running_cell(hosts, endpoints) as cell:
            assert problem(call(cell["m1"], "seat-hold"))[2] == "unknown"
        assert len(endpoints.runs) == 1

    def test_retries_stop_when_the_budget_is_exhausted(self) -> None:
        endpoints = FakeEndpoints(FAULTS["not reached"])
        with running_cell([endpoint_host("e1")], endpoints) as cell:
            budget = cell["m1"].dispatcher.budgets.budget(LOOKUP)
            budget.tokens, budget.floor_per_s = 1.0, 0.0
            assert [call(cell["m1"])[0] for _ in range(4)] == 4 * [503]
        assert len(endpoints.runs) == 5


class TestSlots:
    def test_endpoint_concurrency_is_limited_to_its_slots(self) -> None:
        def slow(request: EndpointRequest, timeout_s: float) -> EndpointResponse:
            time.sleep(0.02)
            return echo(request, timeout_s)

        endpoints = FakeEndpoints(slow)
        hosts = [endpoint_host("e1", slots=2), endpoint_host("e2", slots=1)]
        statuses: list[int] = []
        with running_cell(hosts, endpoints) as cell:
            threads = [
                threading.Thread(target=lambda: statuses.append(call(cell["m1"])[0]))
                for _ in range(10)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        assert statuses == 10 * [200]
        assert endpoints.max_in_flight == {"e1": 2, "e2": 1}

    def test_request_that_waits_too_long_is_reported_as_not_run(self) -> None:
        release = threading.Event()

        def hold(request: EndpointRequest, timeout_s: float) -> EndpointResponse:
            release.wait(10)
            return echo(request, timeout_s)

        endpoints = FakeEndpoints(hold)
        with running_cell([endpoint_host("e1", slots=1)], endpoints) as cell:
            first = threading.Thread(target=lambda: call(cell["m1"], body=b"first"))
            first.start()
            pool = cell["m1"].directory.pools[LOOKUP]
            while not pool.in_use():
                time.sleep(0.001)
            answer = call(cell["m1"], body=b"second", Gooseberry_Timeout_Ms="50")
            assert problem(answer) == (504, "waited-too-long", "not_run")
            release.set()
            first.join()
        assert endpoints.runs == [("e1", "first")]


@contextmanager
def raw_endpoint(*replies: bytes | None) -> Iterator[tuple[int, list[bytes]]]:
    """Answer each request with the next reply, then close; None only closes."""
    listener = socket.create_server(("127.0.0.1", 0))
    received: list[bytes] = []

    def serve() -> None:
        for reply in replies:
            connection, _ = listener.accept()
            with connection:
                connection.settimeout(5)
                received.append(connection.recv(65_536))
                if reply is not None:
                    connection.sendall(reply)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()[1], received
    finally:
        listener.close()


COMPLETE_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 5\r\n\r\nhello"
)


class TestRealConnections:
    @pytest.mark.parametrize(
        ("reply", "expected"),
        [
            (None, (502, "endpoint-failed", "unknown")),
            (COMPLETE_RESPONSE[:-2], (502, "endpoint-failed", "unknown")),
            (COMPLETE_RESPONSE[:20], (502, "endpoint-failed", "unknown")),
            (b"SSH-2.0-x\r\n\r\n", (502, "endpoint-failed", "unknown")),
            (
                b"HTTP/1.1 503 No\r\nGooseberry-Not-Run: true\r\n"
                b"Content-Length: 0\r\n\r\n",
                (503, "endpoint-not-reached", "not_run"),
            ),
        ],
    )
    def test_incomplete_answer_is_never_returned(
        self, reply: bytes | None, expected: tuple[int, str, str]
    ) -> None:
        replies = [reply] * (3 if expected[2] == "not_run" else 1)
        with raw_endpoint(*replies) as (port, received):
            host = endpoint_host("e1", SEAT_HOLD, port=port)
            with running_cell([host], FakeEndpoints(), connect=HttpEndpoint) as cell:
                assert problem(call(cell["m1"], "seat-hold")) == expected
            assert len(received) == len(replies)

    def test_surplus_answer_does_not_reach_the_next_caller(self) -> None:
        two_responses = COMPLETE_RESPONSE + COMPLETE_RESPONSE.replace(
            b"hello", b"other"
        )
        own_response = COMPLETE_RESPONSE.replace(b"hello", b"mine!")
        with raw_endpoint(two_responses, own_response) as (port, _):
            host = endpoint_host("e1", SEAT_HOLD, port=port)
            with running_cell([host], FakeEndpoints(), connect=HttpEndpoint) as cell:
                assert call(cell["m1"], "seat-hold")[2] == b"hello"
                assert call(cell["m1"], "seat-hold")[2] == b"mine!"
