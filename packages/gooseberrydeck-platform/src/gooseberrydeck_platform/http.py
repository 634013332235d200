"""A small HTTP client that knows whether a call that failed was sent.

A connection is kept alive between calls, and every call has a deadline that holds for
connecting, sending and the whole answer together. A call that fails raises
``HttpNotSentError`` if no byte of it was written, else ``HttpOutcomeUnknownError``.
"""

import http.client
import socket
import time
from collections.abc import Iterator, Mapping

import msgspec

from gooseberrydeck_platform.http_socket import DeadlineSocket

__all__ = [
    "HttpAddress",
    "HttpConnection",
    "HttpError",
    "HttpNotSentError",
    "HttpOutcomeUnknownError",
    "HttpResponse",
    "HttpStream",
]

MAX_BODY_BYTES = 67_108_864
MAX_LINE_BYTES = 16_777_216
MIN_TIMEOUT_S = 0.001
CONNECT_TIMEOUT_S = 1.0

NO_HEADERS: Mapping[str, str] = {}


class HttpError(Exception):
    """The base of the failures of HTTP calls."""


class HttpNotSentError(HttpError):
    """No byte of the request was written."""


class HttpOutcomeUnknownError(HttpError):
    """The request was written, at least in part, and no whole answer came."""


class HttpAddress(msgspec.Struct, frozen=True):
    """The address and port of a listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "HttpAddress":
        """Read ``HOST:PORT``, or raise ``ValueError``."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"address {text!r} is not HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


class HttpResponse(msgspec.Struct, frozen=True):
    """A whole response; ``headers`` has the names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection(http.client.HTTPConnection):
    """Collect the parts of a request, so that it is written at once."""

    def __init__(self, host: str, port: int) -> None:
        """Begin unconnected."""
        super().__init__(host, port)
        self.parts: list[bytes] = []
        self.auto_open = 0

    def send(self, data: object) -> None:
        """Collect a part of the request."""
        if not isinstance(data, bytes):
            raise TypeError("a request's parts are bytes")
        self.parts.append(data)


class HttpConnection:
    """One kept-alive connection, used by one thread at a time."""

    def __init__(self, address: HttpAddress) -> None:
        """Connect at the first call."""
        self.address = address
        self.client = Connection(address.host, address.port)
        self.sock: DeadlineSocket | None = None

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> HttpResponse:
        """Send a request and return the whole response."""
        response = self.begin(method, path, body, headers, timeout_s)
        try:
            content = read_whole(response)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe(error)) from error
        if response.will_close:
            self.close()
        names = {name.lower(): value for name, value in response.headers.items()}
        return HttpResponse(response.status, names, content)

    def stream(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> "HttpStream":
        """Send a request and return its response as a stream of lines.

        The connection belongs to the stream until that is closed.
        """
        return HttpStream(self, self.begin(method, path, body, headers, timeout_s))

    def begin(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> http.client.HTTPResponse:
        """Send a request and return its response, the body still unread."""
        deadline_s = time.monotonic() + max(timeout_s, MIN_TIMEOUT_S)
        data = self.assemble(method, path, body, headers)
        sock = self.connected(deadline_s)
        self.write(sock, data)
        try:
            return self.client.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe(error)) from error

    def connected(self, deadline_s: float) -> DeadlineSocket:
        """Return a socket that is connected; a kept one only if it is idle."""
        if self.sock is not None and not self.sock.is_idle():
            self.sock.raw.close()
            self.sock = None
        if self.sock is None:
            self.sock = self.connect(deadline_s)
        self.sock.deadline_s = deadline_s
        # The client forgets its socket after a response that ends the connection.
        self.client.sock = self.sock
        return self.sock

    def connect(self, deadline_s: float) -> DeadlineSocket:
        """Connect, or raise ``HttpNotSentError``."""
        left = max(deadline_s - time.monotonic(), MIN_TIMEOUT_S)
        target = (self.address.host, self.address.port)
        try:
            raw = socket.create_connection(target, min(left, CONNECT_TIMEOUT_S))
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.close()
            raise HttpNotSentError(self.describe(error)) from error
        return DeadlineSocket(raw)

    def assemble(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> bytes:
        """Return the request as bytes, or raise ``HttpNotSentError``."""
        self.client.parts.clear()
        try:
            self.client.putrequest(
                method, path, skip_host="Host" in headers, skip_accept_encoding=True
            )
            for name, value in headers.items():
                self.client.putheader(name, value)
            if body or method != "GET":
                self.client.putheader("Content-Length", str(len(body)))
            self.client.endheaders(body or None)
        except (ValueError, http.client.HTTPException) as error:
            self.client.close()
            raise HttpNotSentError(self.describe(error)) from error
        return b"".join(self.client.parts)

    def write(self, sock: DeadlineSocket, data: bytes) -> None:
        """Write a request; until the first byte is taken, it was not sent."""
        view = memoryview(data)
        try:
            written = sock.send(view)
        except OSError as error:
            self.close()
            raise HttpNotSentError(self.describe(error)) from error
        try:
            while written < len(data):
                written += sock.send(view[written:])
        except OSError as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe(error)) from error

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.sock is not None:
            self.sock.raw.close()
        self.sock = None
        self.client.close()

    def describe(self, problem: object) -> str:
        """Return a message that names the address."""
        return f"{self.address}: {problem or type(problem).__name__}"


def read_whole(response: http.client.HTTPResponse) -> bytes:
    """Return the body, or raise an error if it cannot be known to be whole.

    An answer that ends with its connection may have been cut off by a crash.
    """
    if response.length is None and not response.chunked:
        raise http.client.HTTPException("the answer has neither length nor chunks")
    if response.length is not None:
        if response.length > MAX_BODY_BYTES:
            raise http.client.HTTPException("the answer is too large")
        return response.read()
    content = response.read(MAX_BODY_BYTES + 1)
    if len(content) > MAX_BODY_BYTES:
        raise http.client.HTTPException("the answer is too large")
    return content


class HttpStream:
    """A response that is read line by line as it arrives."""

    def __init__(
        self, connection: HttpConnection, response: http.client.HTTPResponse
    ) -> None:
        """Read from a response whose body is unread."""
        self.connection = connection
        self.response = response
        self.status = response.status

    def read(self, timeout_s: float) -> bytes:
        """Return the whole rest of the body."""
        self.extend(timeout_s)
        try:
            return self.response.read(MAX_BODY_BYTES)
        except (OSError, http.client.HTTPException) as error:
            raise HttpOutcomeUnknownError(self.connection.describe(error)) from error

    def lines(self, silence_s: float) -> Iterator[bytes]:
        """Yield lines until the stream ends; silence is a failure."""
        while True:
            self.extend(silence_s)
            try:
                line = self.response.readline(MAX_LINE_BYTES)
            except (OSError, http.client.HTTPException) as error:
                message = self.connection.describe(error)
                raise HttpOutcomeUnknownError(message) from error
            if not line:
                return
            yield line

    def extend(self, timeout_s: float) -> None:
        """Allow ``timeout_s`` from now for the next step."""
        if self.connection.sock is not None:
            self.connection.sock.deadline_s = time.monotonic() + timeout_s

    def close(self) -> None:
        """End the stream with its connection."""
        self.response.close()
        self.connection.close()
