"""Tests of the HTTP client: unsent requests, incomplete responses and deadlines."""

import math
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
from gooseberrydeck_platform.http_socket import DeadlineSocket
from network_support import refused_address
from odd_values import ODD_ADDRESSES

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
SHORT_S = 0.2
LONG_S = 10.0


class ScriptedServer:
    """A server that runs one script for each connection and records the requests."""

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
def run_scripted_server(
    *scripts: Callable[[ScriptedServer, socket.socket], None],
) -> Iterator[ScriptedServer]:
    server = ScriptedServer(*scripts)
    server.thread.start()
    yield server
    server.listener.close()


def respond_with(*parts: bytes) -> Callable[[ScriptedServer, socket.socket], None]:
    """Return a script that sends each part as a response, then closes."""

    def script(server: ScriptedServer, connection: socket.socket) -> None:
        for part in parts:
            server.receive(connection)
            connection.sendall(part)

    return script


def close_without_response(server: ScriptedServer, connection: socket.socket) -> None:
    """Read the request and close the connection without a response."""
    server.receive(connection)


def stay_silent(server: ScriptedServer, connection: socket.socket) -> None:
    """Read the request and stay silent until the client closes the connection."""
    server.receive(connection)
    connection.recv(1)


def trickle(server: ScriptedServer, connection: socket.socket) -> None:
    """Send the response byte by byte, each well before the client's timeout.

    Only a deadline for the whole response ends such a request.
    """
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


UNKNOWN_OUTCOME_CASES = {
    "closed without an answer": close_without_response,
    "silence": stay_silent,
    "a byte now and then": trickle,
    "cut off in the head": respond_with(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "cut off in the body": respond_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole"
    ),
    "cut off in a chunk": respond_with(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole"
    ),
    "no last chunk": respond_with(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
    ),
    "neither length nor chunks": respond_with(b"HTTP/1.1 200 OK\r\n\r\nwhole"),
    "not HTTP": respond_with(b"whole\r\n\r\n"),
    "announced too large": respond_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
    ),
}


class TestHttpConnection:
    @pytest.mark.parametrize("case", UNKNOWN_OUTCOME_CASES)
    def test_failure_after_first_byte_has_unknown_outcome(self, case: str) -> None:
        with run_scripted_server(UNKNOWN_OUTCOME_CASES[case]) as server:
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
    def test_request_with_unencodable_header_is_not_sent(
        self, headers: dict[str, str]
    ) -> None:
        with run_scripted_server(respond_with(COMPLETE_RESPONSE)) as server:
            connection = HttpConnection(server.address)
            with pytest.raises(HttpNotSentError):
                connection.request("POST", "/", b"", headers)
            assert connection.request("POST", "/", b"").body == b"whole"
            assert len(server.requests) == 1

    def test_request_on_refused_connection_is_not_sent(self) -> None:
        with refused_address() as address, pytest.raises(HttpNotSentError):
            HttpConnection(address).request("POST", "/", b"body")

    def test_connection_is_reused(self) -> None:
        with run_scripted_server(
            respond_with(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        ) as server:
            connection = HttpConnection(server.address)
            for _ in range(2):
                response = connection.request("POST", "/", b"body")
                assert response.body == b"whole"

    def test_connection_closed_while_idle_is_replaced_before_sending(self) -> None:
        with run_scripted_server(
            respond_with(COMPLETE_RESPONSE), respond_with(COMPLETE_RESPONSE)
        ) as server:
            connection = HttpConnection(server.address)
            connection.request("POST", "/", b"first")
            assert server.closed.wait(LONG_S)
            assert connection.request("POST", "/", b"second").body == b"whole"
            assert len(server.requests) == 2

    def test_connection_with_unsolicited_response_is_replaced(self) -> None:
        with run_scripted_server(
            respond_with(COMPLETE_RESPONSE + COMPLETE_RESPONSE),
            respond_with(COMPLETE_RESPONSE),
        ) as server:
            connection = HttpConnection(server.address)
            connection.request("POST", "/", b"first")
            assert server.closed.wait(LONG_S)
            connection.request("POST", "/", b"second")
            assert len(server.requests) == 2

    def test_chunked_response_is_complete(self) -> None:
        chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with run_scripted_server(
            respond_with(chunks + b"5\r\nwhole\r\n0\r\n\r\n")
        ) as server:
            response = HttpConnection(server.address).request("POST", "/", b"")
            assert response.body == b"whole"

    @pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:port"])
    def test_malformed_address_is_rejected(self, text: str) -> None:
        with pytest.raises(ValueError, match=r"address|invalid"):
            HttpAddress.parse(text)

    @pytest.mark.parametrize("text", ODD_ADDRESSES, ids=lambda each: repr(each[:24]))
    def test_odd_address_is_rejected(self, text: str) -> None:
        with pytest.raises(ValueError, match="address"):
            HttpAddress.parse(text)

    @pytest.mark.parametrize(
        ("text", "host", "port"),
        [
            ("10.0.0.1:1", "10.0.0.1", 1),
            ("a-b.c_d:65535", "a-b.c_d", 65_535),
            ("::1:80", "::1", 80),
        ],
    )
    def test_address_is_parsed(self, text: str, host: str, port: int) -> None:
        assert HttpAddress.parse(text) == HttpAddress(host, port)

    # Guards against tasks that end by OverflowError or UnicodeError, which the system's
    # calls raise for such addresses, in place of a failed request.
    @pytest.mark.parametrize(
        ("host", "port"),
        [
            ("127.0.0.1", -1),
            ("127.0.0.1", 65_536),
            ("127.0.0.1", 2**70),
            ("a" * 64 + ".example", 80),
            ("..", 80),
        ],
    )
    def test_request_to_an_impossible_address_is_not_sent(
        self, host: str, port: int
    ) -> None:
        with pytest.raises(HttpNotSentError):
            HttpConnection(HttpAddress(host, port)).request("GET", "/")


class PollerStub:
    """A poller that reports an event at once and records its timeouts."""

    def __init__(self) -> None:
        self.timeouts_ms: list[float] = []

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        self.timeouts_ms.append(timeout_ms)
        return [(0, 0)]


class TestStallTimeout:
    # Guards against a lost response that is noticed only after the time that a large
    # one may take.
    def test_each_wait_is_limited_beside_the_deadline(self) -> None:
        first, second = socket.socketpair()
        with first, second:
            sock = DeadlineSocket(first, stall_timeout_s=0.5)
            sock.deadline_s = math.inf
            poller = PollerStub()
            sock.wait(poller)  # type: ignore[arg-type]
            sock.wait(poller)  # type: ignore[arg-type]
            assert poller.timeouts_ms == [500, 500]

    # Guards against OverflowError from the system's call for a deadline of centuries.
    def test_wait_without_an_end_is_possible(self) -> None:
        first, second = socket.socketpair()
        with first, second:
            second.send(b"x")
            for deadline_s in (math.inf, 1e300, 9e12):
                sock = DeadlineSocket(first)
                sock.deadline_s = deadline_s
                sock.wait(sock.read_poller)

    def test_stalled_response_has_unknown_outcome(self) -> None:
        with run_scripted_server(stay_silent) as server:
            pool = HttpPool([server.address], stall_timeout_s=SHORT_S)
            with pytest.raises(HttpOutcomeUnknownError, match="timed out"):
                pool.request("POST", "/", b"body", timeout_s=math.inf)

    def test_passed_deadline_ends_a_response_that_does_not_stall(self) -> None:
        with run_scripted_server(trickle) as server:
            pool = HttpPool([server.address], stall_timeout_s=LONG_S)
            with pytest.raises(HttpOutcomeUnknownError, match="timed out"):
                pool.request("POST", "/", b"body", timeout_s=SHORT_S)


class TestHttpPool:
    def test_the_next_address_is_tried_if_nothing_was_sent(self) -> None:
        with (
            refused_address() as dead,
            run_scripted_server(
                respond_with(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
            ) as server,
        ):
            pool = HttpPool([dead, server.address])
            assert pool.request("POST", "/").body == b"whole"
            assert pool.preferred_index == 1
            assert pool.request("POST", "/").body == b"whole"

    def test_no_other_address_is_tried_once_request_was_sent(self) -> None:
        with (
            run_scripted_server(close_without_response) as first,
            run_scripted_server(respond_with(COMPLETE_RESPONSE)) as second,
        ):
            pool = HttpPool([first.address, second.address])
            with pytest.raises(HttpOutcomeUnknownError):
                pool.request("POST", "/", timeout_s=LONG_S)
            assert second.requests == []
