"""Hostile input to the callers' listener must not crash it or leak requests."""

import http.client
import json
import socket
from collections.abc import Iterator

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from daemon_support import (
    SECRET,
    FakeEndpoints,
    call,
    endpoint_host,
    running_cell,
    wait_until,
)
from gooseberrydeck_daemon.composition import Member

ENDPOINTS = FakeEndpoints()
FUZZ_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
VALID_HEAD = (
    b"POST /v1/services/lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    b"Authorization: Bearer " + SECRET.encode() + b"\r\n"
)


@pytest.fixture(scope="module")
def member() -> Iterator[Member]:
    with running_cell([endpoint_host("e1")], ENDPOINTS) as cell:
        yield cell["m1"]


def exchange(member: Member, data: bytes, shuts_down_write: bool = False) -> bytes:
    """Send bytes and return everything received until the member closes.

    With ``shuts_down_write``, shut down the sending side of the connection first.
    """
    address = ("127.0.0.1", member.callers.port)
    received = b""
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(data)
        if shuts_down_write:
            connection.shutdown(socket.SHUT_WR)
        while chunk := connection.recv(65_536):
            received += chunk
    return received


def check_member_is_healthy(member: Member) -> None:
    """Check that no request is in flight and that a valid request is served."""
    wait_until(lambda: member.admit.in_flight == 0)
    assert call(member, body=b"whole")[2] == b"whole"
    assert member.supervisor.crash is None
    assert member.metrics.counts["http.problems.internal"] == 0


class TestRawRequests:
    @FUZZ_SETTINGS
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_cause_no_server_error(
        self, member: Member, data: bytes
    ) -> None:
        response = exchange(member, data, shuts_down_write=True)
        assert b" 500 " not in response.split(b"\r\n")[0]
        assert b"Traceback" not in response

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (VALID_HEAD + b"\r\n", 411),
            (VALID_HEAD + b"Content-Length: -1\r\n\r\n", 400),
            (VALID_HEAD + b"Content-Length: x\r\n\r\n", 400),
            (VALID_HEAD + b"Content-Length: 99999999999\r\n\r\n", 413),
            (VALID_HEAD + b"Content-Length: 2000000\r\n\r\n" + b"x" * 2_000_000, 413),
            (VALID_HEAD + b"Transfer-Encoding: strange\r\n\r\n", 501),
            (VALID_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            (VALID_HEAD + b"A: " + b"x" * 70_000 + b"\r\n\r\n", 431),
            (b"GARBAGE\r\n\r\n", 400),
        ],
    )
    def test_framing_errors_return_problem_details(
        self, member: Member, data: bytes, status: int
    ) -> None:
        runs = len(ENDPOINTS.runs)
        head, _, body = exchange(member, data).partition(b"\r\n\r\n")
        assert int(head.split()[1]) == status
        assert b"application/problem+json" in head
        assert json.loads(body)["outcome"] == "not_run"
        assert len(ENDPOINTS.runs) == runs
        check_member_is_healthy(member)

    def test_chunked_body_is_reassembled(self, member: Member) -> None:
        data = (
            VALID_HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        assert exchange(member, data).endswith(b"\r\n\r\nabc")


class TestHeaderValues:
    @FUZZ_SETTINGS
    @given(
        st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=60),
        st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=60),
        st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
    )
    def test_arbitrary_values_are_client_errors(
        self, member: Member, key: str, path: str, timeout: str
    ) -> None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", member.callers.port, timeout=10
        )
        headers = {
            "Authorization": f"Bearer {key}",
            "Gooseberry-Timeout-Ms": timeout,
            "Idempotency-Key": key,
        }
        connection.request("POST", f"/v1/{path}", b"x", headers)
        response = connection.getresponse()
        response.read()
        connection.close()
        assert 400 <= response.status < 500

    def test_member_is_healthy_afterwards(self, member: Member) -> None:
        check_member_is_healthy(member)


class TestIncompleteRequests:
    def test_incomplete_requests_occupy_no_thread(self, member: Member) -> None:
        address = ("127.0.0.1", member.callers.port)
        connections = [socket.create_connection(address) for _ in range(40)]
        for connection in connections:
            connection.sendall(VALID_HEAD + b"Content-Length: 10\r\n\r\nhalf")
        assert call(member)[0] == 200
        for connection in connections:
            connection.close()
        check_member_is_healthy(member)
