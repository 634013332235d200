"""A thread-safe pool of kept-alive connections to one service."""

import math
import threading
import time
from collections import deque
from collections.abc import Mapping, Sequence

from gooseberrydeck_platform.http import (
    NO_HEADERS,
    HttpAddress,
    HttpConnection,
    HttpNotSentError,
    HttpResponse,
    HttpStream,
)

__all__ = ["HttpPool"]

MAX_IDLE_CONNECTIONS = 16
"""The default number of idle connections kept for each address."""


class HttpPool:
    """A pool of connections to a service that listens at one or more addresses.

    A request goes first to the address that was last reached. The next address is tried
    only if the request was certainly not sent. The number of connections in use is not
    limited: each concurrent request has its own.
    """

    def __init__(
        self,
        addresses: Sequence[HttpAddress],
        stall_timeout_s: float = math.inf,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """Create an empty pool; raise ``ValueError`` without an address.

        A request fails early if nothing is sent or received for ``stall_timeout_s``. Up
        to ``max_idle`` connections to each address are kept between requests.
        """
        if not addresses:
            raise ValueError("HttpPool requires at least one address")
        self.addresses = tuple(addresses)
        self.stall_timeout_s = stall_timeout_s
        self.max_idle = max_idle
        self.preferred_index = 0
        self.lock = threading.Lock()
        self.idle: list[deque[HttpConnection]] = [deque() for _ in self.addresses]

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        ``timeout_s`` covers the attempts at all addresses together.
        """
        deadline_s = time.monotonic() + timeout_s
        failure: HttpNotSentError | None = None
        for index in self.address_order():
            connection = self.acquire(index)
            remaining_s = deadline_s - time.monotonic()
            try:
                response = connection.request(method, path, body, headers, remaining_s)
            except HttpNotSentError as error:
                failure = error
                continue
            self.release(index, connection)
            return response
        raise failure or HttpNotSentError("no address to connect to")

    def stream(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> HttpStream:
        """Send a request on a dedicated connection and return a response stream."""
        failure: HttpNotSentError | None = None
        for index in self.address_order():
            connection = HttpConnection(self.addresses[index], self.stall_timeout_s)
            try:
                stream = connection.stream(method, path, body, headers, timeout_s)
            except HttpNotSentError as error:
                failure = error
                continue
            self.preferred_index = index
            return stream
        raise failure or HttpNotSentError("no address to connect to")

    def address_order(self) -> list[int]:
        """Return the indexes of the addresses, beginning with the preferred one."""
        count = len(self.addresses)
        first = self.preferred_index
        return [(first + step) % count for step in range(count)]

    def acquire(self, index: int) -> HttpConnection:
        """Return an idle connection to an address, or a new one."""
        with self.lock:
            if self.idle[index]:
                return self.idle[index].pop()
        return HttpConnection(self.addresses[index], self.stall_timeout_s)

    def release(self, index: int, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if enough are idle.

        Its address becomes the preferred one.
        """
        with self.lock:
            self.preferred_index = index
            if len(self.idle[index]) < self.max_idle:
                self.idle[index].append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self.lock:
            connections = [each for kept in self.idle for each in kept]
            for kept in self.idle:
                kept.clear()
        for connection in connections:
            connection.close()
