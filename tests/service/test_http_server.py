"""Tests of the HTTP server."""

import http.client
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
import pytest

from gooseberrydeck_service.http_server import HttpServer
from gooseberrydeck_service.tasks import Supervisor

TIMEOUT_S = 10.0


class Limits(msgspec.Struct, frozen=True):
    port: int = 0
    threads: int = 2
    max_connections: int = 10
    max_body_bytes: int = 1_000


def answer_ok(
    _environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


@pytest.fixture
def server() -> Iterator[HttpServer]:
    http_server = HttpServer("callers", answer_ok, "127.0.0.1", Limits())
    supervisor = Supervisor(max_tasks=1)
    supervisor.start(http_server)
    yield http_server
    supervisor.request_end()
    supervisor.wait()
    supervisor.close()


class TestHttpServer:
    def test_draining_server_responds_and_closes_open_connections(
        self, server: HttpServer
    ) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", server.port, TIMEOUT_S)
        for is_draining in (False, True):
            if is_draining:
                server.drain()
            connection.request("GET", "/")
            response = connection.getresponse()
            assert (response.status, response.read()) == (200, b"ok")
            assert (response.getheader("Connection") == "close") is is_draining
        connection.close()
