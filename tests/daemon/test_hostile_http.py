"""Adversarial input to the callers' listener: nothing crashes and nothing leaks."""

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
HOSTILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
GOOD_HEAD = (
    b"POST /v1/services/lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    b"Authorization: Bearer " + SECRET.encode() + b"\r\n"
)


@pytest.fixture(scope="module")
def member() -> Iterator[Member]:
    with running_cell([endpoint_host("e1")], ENDPOINTS) as cell:
        yield cell["m1"]


def exchange(member: Member, data: bytes, is_closing: bool = False) -> bytes:
    """Send bytes, maybe close our half, and return all that comes back."""
    address = ("127.0.0.1", member.callers.port)
    received = b""
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(data)
        if is_closing:
            connection.shutdown(socket.SHUT_WR)
        while chunk := connection.recv(65_536):
            received += chunk
    return received


def check_still_whole(member: Member) -> None:
    """Check that nothing is left in flight and that a good request is served."""
    wait_until(lambda: member.admit.in_flight == 0)
    assert call(member, body=b"whole")[2] == b"whole"
    assert member.supervisor.crash is None
    assert member.metrics.counts["http.problems.internal"] == 0


class TestBytes:
    @HOSTILE
    @given(st.binary(max_size=300))
    def test_any_bytes(self, member: Member, data: bytes) -> None:
        answer = exchange(member, data, is_closing=True)
        assert b" 500 " not in answer.split(b"\r\n")[0]
        assert b"Traceback" not in answer

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (GOOD_HEAD + b"\r\n", 411),
            (GOOD_HEAD + b"Content-Length: -1\r\n\r\n", 400),
            (GOOD_HEAD + b"Content-Length: x\r\n\r\n", 400),
            (GOOD_HEAD + b"Content-Length: 99999999999\r\n\r\n", 413),
            (GOOD_HEAD + b"Content-Length: 2000000\r\n\r\n" + b"x" * 2_000_000, 413),
            (GOOD_HEAD + b"Transfer-Encoding: strange\r\n\r\n", 501),
            (GOOD_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            (GOOD_HEAD + b"A: " + b"x" * 70_000 + b"\r\n\r\n", 431),
            (b"GARBAGE\r\n\r\n", 400),
        ],
    )
    def test_framing_faults_are_problems(
        self, member: Member, data: bytes, status: int
    ) -> None:
        runs = len(ENDPOINTS.runs)
        head, _, body = exchange(member, data).partition(b"\r\n\r\n")
        assert int(head.split()[1]) == status
        assert b"application/problem+json" in head
        assert json.loads(body)["outcome"] == "not_run"
        assert len(ENDPOINTS.runs) == runs
        check_still_whole(member)

    def test_a_chunked_body_is_whole(self, member: Member) -> None:
        data = (
            GOOD_HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        assert exchange(member, data).endswith(b"\r\n\r\nabc")


class TestHeaders:
    @HOSTILE
    @given(
        st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=60),
        st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=60),
        st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20),
    )
    def test_any_values(
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

    def test_all_were_survived(self, member: Member) -> None:
        check_still_whole(member)


class TestSlowCallers:
    def test_half_requests_hold_no_thread(self, member: Member) -> None:
        address = ("127.0.0.1", member.callers.port)
        held = [socket.create_connection(address) for _ in range(40)]
        for connection in held:
            connection.sendall(GOOD_HEAD + b"Content-Length: 10\r\n\r\nhalf")
        assert call(member)[0] == 200
        for connection in held:
            connection.close()
        check_still_whole(member)
