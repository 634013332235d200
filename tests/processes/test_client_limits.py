"""Tests of a member process with clients outside the limits.

Each guards against a process that runs out of memory or descriptors, or that stops
answering ordinary callers. They run one at a time: ``crowded_member`` holds a lock.
"""

import socket
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest

from crowd_support import (
    ANSWER_TIMEOUT_S,
    FEW_FDS,
    MAX_BODY_BYTES,
    Crowd,
    CrowdedMember,
    crowded_member,
    header,
    unfinished_body,
    unfinished_chunks,
    unfinished_header,
)
from gooseberrydeck_adapter_standins.local_platform import job_body

# Includes waiting for the lock while the other tests of this module run.
pytestmark = pytest.mark.timeout(900)

BODY_CLIENTS = 400
CHUNK_CLIENTS = 400
HEADER_CLIENTS = 1_300
SILENT_CLIENTS = 500
MIXED_CLIENTS_EACH = 150
SLOW_PIECES = 40
SLOW_PIECE_INTERVAL_S = 0.1


@pytest.fixture
def member(tmp_path: Path) -> Iterator[CrowdedMember]:
    with crowded_member(tmp_path) as member:
        yield member


def check_crowd(member: CrowdedMember, payloads: Sequence[bytes]) -> None:
    """Check the bounds and the answers while a crowd is connected and afterwards."""
    with Crowd(member.address, payloads) as crowd:
        crowd.wait_absorbed()
        member.check_answer()
    member.check_answer()
    member.check_bounds()


class TestUnfinishedBodies:
    def test_large_bodies(self, member: CrowdedMember) -> None:
        check_crowd(member, [unfinished_body()] * BODY_CLIENTS)

    # Guards against bodies that are held before the API key is checked.
    def test_large_bodies_with_a_wrong_key(self, member: CrowdedMember) -> None:
        check_crowd(member, [unfinished_body("wrong")] * BODY_CLIENTS)

    def test_large_chunks(self, member: CrowdedMember) -> None:
        check_crowd(member, [unfinished_chunks(8_000)] * CHUNK_CLIENTS)

    # Guards against an event loop that is busy with chunks of one byte.
    def test_chunks_of_one_byte(self, member: CrowdedMember) -> None:
        check_crowd(member, [unfinished_chunks(1)] * CHUNK_CLIENTS)


class TestUnfinishedHeaders:
    def test_large_headers(self, member: CrowdedMember) -> None:
        check_crowd(member, [unfinished_header()] * HEADER_CLIENTS)


class TestSilentClients:
    # Guards against an accept that fails in a busy loop without descriptors.
    def test_more_connections_than_descriptors(self, tmp_path: Path) -> None:
        with crowded_member(tmp_path, FEW_FDS) as member:
            check_crowd(member, [b""] * SILENT_CLIENTS)


class TestMixedClients:
    def test_all_kinds_at_once(self, member: CrowdedMember) -> None:
        kinds = [
            unfinished_body(),
            unfinished_body("wrong"),
            unfinished_chunks(8_000),
            unfinished_chunks(1),
            unfinished_header(),
            b"",
        ]
        check_crowd(member, kinds * MIXED_CLIENTS_EACH)


class TestHonestClients:
    # Guards against limits that refuse a chunked body in calm.
    def test_chunked_body_in_large_chunks(self, member: CrowdedMember) -> None:
        body = job_body().ljust(64_000)
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (len(piece), piece)
            for piece in (body[:32_000], body[32_000:])
        )
        request = header("Transfer-Encoding: chunked", "Connection: close")
        address = (member.address.host, member.address.port)
        with socket.create_connection(address, ANSWER_TIMEOUT_S) as client:
            client.sendall(request + chunks + b"0\r\n\r\n")
            reply = client.recv(65_536)
        assert reply.startswith(b"HTTP/1.1 200 "), reply
        member.check_bounds()

    # Guards against limits that close an honest client in place of the crowd.
    def test_slow_client_beside_a_crowd(self, member: CrowdedMember) -> None:
        body = job_body()
        request = header(f"Content-Length: {len(body)}", "Connection: close") + body
        address = (member.address.host, member.address.port)
        size = -(-len(request) // SLOW_PIECES)
        with Crowd(member.address, [unfinished_body()] * BODY_CLIENTS) as crowd:
            crowd.wait_absorbed()
            with socket.create_connection(address, ANSWER_TIMEOUT_S) as client:
                for start in range(0, len(request), size):
                    client.sendall(request[start : start + size])
                    time.sleep(SLOW_PIECE_INTERVAL_S)
                reply = client.recv(65_536)
        assert reply.startswith(b"HTTP/1.1 200 "), reply
        member.check_bounds()

    # Guards against a limit that refuses the largest permitted body.
    def test_largest_body_in_calm(self, member: CrowdedMember) -> None:
        body = job_body().ljust(MAX_BODY_BYTES)
        response = member.member.call("POST", "/urgent/largest", body)
        assert response is not None
        assert response.status == 200
        member.check_bounds()
