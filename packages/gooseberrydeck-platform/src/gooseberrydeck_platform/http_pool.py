"""Kept-alive connections to one service, shared by several threads."""

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


class HttpPool:
    """Connections to a service that answers at one or several addresses.

    A call goes to the address that was last reached. It goes on to the next one only
    if it was certainly not sent. There are as many connections as calls at once.
    """

    def __init__(self, addresses: Sequence[HttpAddress]) -> None:
        """Begin without connections."""
        if not addresses:
            raise ValueError("a pool needs an address")
        self.addresses = tuple(addresses)
        self.preferred = 0
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
        """Send a request and return the whole response."""
        deadline_s = time.monotonic() + timeout_s
        failure: HttpNotSentError | None = None
        for index in self.order():
            connection = self.take(index)
            left = deadline_s - time.monotonic()
            try:
                response = connection.request(method, path, body, headers, left)
            except HttpNotSentError as error:
                failure = error
                continue
            self.give_back(index, connection)
            return response
        raise failure or HttpNotSentError("no address")

    def stream(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> HttpStream:
        """Send a request on a connection of its own and return a stream."""
        failure: HttpNotSentError | None = None
        for index in self.order():
            connection = HttpConnection(self.addresses[index])
            try:
                stream = connection.stream(method, path, body, headers, timeout_s)
            except HttpNotSentError as error:
                failure = error
                continue
            self.preferred = index
            return stream
        raise failure or HttpNotSentError("no address")

    def order(self) -> list[int]:
        """Return the indexes of the addresses in the order to try them."""
        count = len(self.addresses)
        first = self.preferred
        return [(first + step) % count for step in range(count)]

    def take(self, index: int) -> HttpConnection:
        """Return an idle connection to an address, or a new one."""
        with self.lock:
            if self.idle[index]:
                return self.idle[index].pop()
        return HttpConnection(self.addresses[index])

    def give_back(self, index: int, connection: HttpConnection) -> None:
        """Keep a connection for the next call."""
        with self.lock:
            self.preferred = index
            if len(self.idle[index]) < MAX_IDLE_CONNECTIONS:
                self.idle[index].append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close the connections that are idle."""
        with self.lock:
            connections = [each for kept in self.idle for each in kept]
            for kept in self.idle:
                kept.clear()
        for connection in connections:
            connection.close()
