"""Tests of connections with limits; the server listens on a loopback address."""

import random
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
import pytest

from gooseberrydeck_service.bounded_parser import HeaderFields
from gooseberrydeck_service.connection_budget import ConnectionLimits, ConnectionState
from gooseberrydeck_service.http_server import HttpServer
from gooseberrydeck_service.tasks import Supervisor
from gooseberrydeck_standins.processes import wait_for

TIMEOUT_S = 10.0
MAX_BODY_BYTES = 3_000


class Listener(msgspec.Struct, frozen=True):
    port: int = 0
    threads: int = 2
    max_connections: int = 4
    max_body_bytes: int = MAX_BODY_BYTES


def echo(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def check(fields: HeaderFields) -> int | None:
    return 401 if fields.path == "/refused" else None


@pytest.fixture
def server() -> Iterator[HttpServer]:
    http_server = HttpServer(
        "callers",
        echo,
        "127.0.0.1",
        Listener(),
        limits=ConnectionLimits(max_connections=4, max_held_bytes=40_000),
        check=check,
    )
    supervisor = Supervisor(max_tasks=1)
    supervisor.start(http_server)
    yield http_server
    supervisor.request_end()
    supervisor.wait()
    supervisor.close()


def request(body: bytes, chunk_bytes: int = 0, path: str = "/") -> bytes:
    """Return a request, with a chunked body if ``chunk_bytes`` isn't 0."""
    head = b"POST %s HTTP/1.1\r\nHost: h\r\n" % path.encode()
    if not chunk_bytes:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    chunks = [body[n : n + chunk_bytes] for n in range(0, len(body), chunk_bytes)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in chunks)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"


def exchange(server: HttpServer, pieces: Iterable[bytes], end: bytes) -> bytes:
    """Send pieces on one connection and return the bytes received up to ``end``."""
    address = ("127.0.0.1", server.port)
    received = b""
    with socket.create_connection(address, TIMEOUT_S) as client:
        for piece in pieces:
            client.sendall(piece)
        while not received.endswith(end):
            data = client.recv(65_536)
            if not data:
                break
            received += data
    return received


def wait_released(server: HttpServer) -> None:
    """Wait for the release of all requests, which follows their responses."""
    wait_for(lambda: server.budget.held_bytes() == 0, "nothing is held", TIMEOUT_S)


class TestBodies:
    # Guards against bytes that are lost or repeated where a body is parsed in pieces.
    @pytest.mark.parametrize("seed", range(5))
    def test_requests_on_one_connection_keep_their_bodies(
        self, server: HttpServer, seed: int
    ) -> None:
        draw = random.Random(seed)
        bodies = [
            draw.randbytes(draw.choice((0, 1, 700, 2_000))).hex().encode()[:2_000]
            + b"<%d>" % number
            for number in range(6)
        ]
        sizes = [draw.choice((0, 1, 7, 300, 1_999)) for _ in bodies]
        for body, size in zip(bodies, sizes, strict=True):
            stream = request(body, size) + request(b"next", 1)
            cuts = sorted(draw.sample(range(len(stream)), 5))
            pieces = [
                stream[start:end]
                for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True)
            ]
            received = exchange(server, pieces, b"next")
            assert received.count(b"200 OK") == 2
            assert b"\r\n\r\n" + body + b"HTTP/1.1" in received
        wait_released(server)

    # Guards against counting the framing as a part of the body, and against ">=".
    @pytest.mark.parametrize("chunk_bytes", [0, 1, 500])
    def test_limit_is_that_of_the_content(
        self, server: HttpServer, chunk_bytes: int
    ) -> None:
        largest = b"x" * MAX_BODY_BYTES
        assert b"200 OK" in exchange(server, [request(largest, chunk_bytes)], b"xx")
        received = exchange(server, [request(largest + b"x", chunk_bytes)], b"\0")
        assert b" 413 " in received

    # Guards against holding, or executing, a body whose header is refused.
    @pytest.mark.parametrize("chunk_bytes", [0, 500])
    def test_refused_header(self, server: HttpServer, chunk_bytes: int) -> None:
        sent = request(b"x" * 2_000, chunk_bytes, "/refused") + request(b"next")
        received = exchange(server, [sent], b"\0")
        assert received.startswith(b"HTTP/1.1 401 ")
        assert b"200 OK" not in received
        wait_released(server)

    # Guards against requests that count as complete but are never handled.
    def test_expectation_without_a_body(self, server: HttpServer) -> None:
        sent = request(b"").replace(b"Host", b"Expect: 100-continue\r\nHost")
        for _ in range(3):
            assert b" 200 OK" in exchange(server, [sent], b"\r\n\r\n")
        wait_released(server)

    def test_expectation_with_a_body(self, server: HttpServer) -> None:
        body = request(b"body").replace(b"Host", b"Expect: 100-continue\r\nHost")
        for path, status in ((b"/", b" 200 OK"), (b"/refused", b" 401 ")):
            sent = body.replace(b"POST /", b"POST " + path)
            received = exchange(server, [sent[:-4], sent[-4:]], b"body")
            assert status in received
            assert (b" 100 Continue" in received) is (path == b"/")
        wait_released(server)

    # Guards against memory that counts as held after its connection has ended.
    def test_left_connections_hold_nothing(self, server: HttpServer) -> None:
        for chunk_bytes in (0, 1, 500):
            exchange(server, [request(b"x" * 900, chunk_bytes)[:-9]], b"")
        assert b"200 OK" in exchange(server, [request(b"next")], b"next")
        assert b"200 OK" in exchange(server, [request(b"next")], b"next")
        wait_released(server)
        assert ConnectionState.BODY not in server.budget.states()


class TestResponsiveness:
    # Guards against a probe that stays ready while the listener doesn't answer.
    def test_silent_or_blocked_listener_is_not_responsive(
        self, server: HttpServer
    ) -> None:
        assert server.is_responsive()
        server.server.blocked_since_s = server.turn_s - 60
        assert not server.is_responsive()
