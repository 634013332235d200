"""Tests of the HTTP client: what was sent, what is whole, when time is over."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpConnection,
    HttpNotSentError,
    HttpOutcomeUnknownError,
)
from gooseberrydeck_platform.http_pool import HttpPool
from network_support import refused_address

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
SHORT_S = 0.2
LONG_S = 10.0


class ScriptedServer:
    """Give each connection its script, which gets the socket; count requests."""

    def __init__(self, *scripts: Callable[["ScriptedServer", socket.socket], None]):
        self.scripts = scripts
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = HttpAddress("127.0.0.1", self.listener.getsockname()[1])
        self.requests: list[bytes] = []
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        for script in self.scripts:
            connection, _ = self.listener.accept()
            with connection:
                script(self, connection)
            self.closed.set()

    def receive(self, connection: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65_536)
            if not part:
                return
            data += part
        self.requests.append(data)


@contextmanager
def scripted(
    *scripts: Callable[[ScriptedServer, socket.socket], None],
) -> Iterator[ScriptedServer]:
    server = ScriptedServer(*scripts)
    server.thread.start()
    yield server
    server.listener.close()


def answers(*parts: bytes) -> Callable[[ScriptedServer, socket.socket], None]:
    """Answer one request by each part, then close the connection."""

    def script(server: ScriptedServer, connection: socket.socket) -> None:
        for part in parts:
            server.receive(connection)
            connection.sendall(part)

    return script


def closes_unread(server: ScriptedServer, connection: socket.socket) -> None:
    """Read the request and close without an answer."""
    server.receive(connection)


def is_silent(server: ScriptedServer, connection: socket.socket) -> None:
    """Read the request and answer nothing until the client has gone."""
    server.receive(connection)
    connection.recv(1)


def drips(server: ScriptedServer, connection: socket.socket) -> None:
    """Answer byte by byte, each well before the client's timeout."""
    server.receive(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    connection.settimeout(SHORT_S / 4)
    try:
        while True:
            connection.sendall(b".")
            try:
                if not connection.recv(1):
                    return
            except TimeoutError:
                continue
    except OSError:
        return


UNKNOWN_CASES = {
    "closed without an answer": closes_unread,
    "silence": is_silent,
    "a byte now and then": drips,
    "cut off in the head": answers(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "cut off in the body": answers(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole"
    ),
    "cut off in a chunk": answers(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole"
    ),
    "no last chunk": answers(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
    ),
    "neither length nor chunks": answers(b"HTTP/1.1 200 OK\r\n\r\nwhole"),
    "not HTTP": answers(b"whole\r\n\r\n"),
    "announced too large": answers(
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
    ),
}


class TestHttpConnection:
    @pytest.mark.parametrize("case", UNKNOWN_CASES)
    def test_after_the_first_byte_a_failure_is_unknown(self, case: str) -> None:
        with scripted(UNKNOWN_CASES[case]) as server:
            connection = HttpConnection(server.address)
            with pytest.raises(HttpOutcomeUnknownError):
                connection.request("POST", "/", b"body", timeout_s=SHORT_S)
            connection.close()
            assert len(server.requests) == 1

    @pytest.mark.parametrize(
        "headers",
        [{"Content-Type": "text/plain\r\nX-Evil: 1"}, {"Content-Type": "\u20ac"}],
        ids=["line break", "not latin-1"],
    )
    def test_headers_that_cannot_be_written_are_not_sent(
        self, headers: dict[str, str]
    ) -> None:
        with scripted(answers(WHOLE)) as server:
            connection = HttpConnection(server.address)
            with pytest.raises(HttpNotSentError):
                connection.request("POST", "/", b"", headers)
            assert connection.request("POST", "/", b"").body == b"whole"
            assert len(server.requests) == 1

    def test_a_refused_connection_is_not_sent(self) -> None:
        with refused_address() as address, pytest.raises(HttpNotSentError):
            HttpConnection(address).request("POST", "/", b"body")

    def test_a_kept_connection_is_used_again(self) -> None:
        with scripted(answers(WHOLE, WHOLE)) as server:
            connection = HttpConnection(server.address)
            for _ in range(2):
                answer = connection.request("POST", "/", b"body")
                assert answer.body == b"whole"

    def test_a_connection_closed_while_idle_is_replaced_before_sending(self) -> None:
        with scripted(answers(WHOLE), answers(WHOLE)) as server:
            connection = HttpConnection(server.address)
            connection.request("POST", "/", b"first")
            assert server.closed.wait(LONG_S)
            assert connection.request("POST", "/", b"second").body == b"whole"
            assert len(server.requests) == 2

    def test_a_connection_with_a_stray_answer_is_replaced(self) -> None:
        with scripted(answers(WHOLE + WHOLE), answers(WHOLE)) as server:
            connection = HttpConnection(server.address)
            connection.request("POST", "/", b"first")
            assert server.closed.wait(LONG_S)
            connection.request("POST", "/", b"second")
            assert len(server.requests) == 2

    def test_an_answer_in_chunks_is_whole(self) -> None:
        chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with scripted(answers(chunks + b"5\r\nwhole\r\n0\r\n\r\n")) as server:
            answer = HttpConnection(server.address).request("POST", "/", b"")
            assert answer.body == b"whole"

    @pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:port"])
    def test_bad_addresses_are_refused(self, text: str) -> None:
        with pytest.raises(ValueError, match=r"address|invalid"):
            HttpAddress.parse(text)


class TestHttpPool:
    def test_the_next_address_is_tried_if_nothing_was_sent(self) -> None:
        with refused_address() as dead, scripted(answers(WHOLE, WHOLE)) as server:
            pool = HttpPool([dead, server.address])
            assert pool.request("POST", "/").body == b"whole"
            assert pool.preferred_index == 1
            assert pool.request("POST", "/").body == b"whole"

    def test_no_other_address_is_tried_once_something_was_sent(self) -> None:
        with scripted(closes_unread) as first, scripted(answers(WHOLE)) as second:
            pool = HttpPool([first.address, second.address])
            with pytest.raises(HttpOutcomeUnknownError):
                pool.request("POST", "/", timeout_s=LONG_S)
            assert second.requests == []
