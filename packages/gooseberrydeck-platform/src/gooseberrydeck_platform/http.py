"""A small HTTP/1.1 client that reports whether a failed request was sent.

Connections are kept alive between requests. Each request has one deadline that covers
connecting, sending and reading the whole response. A failed request raises
``HttpNotSentError`` if no byte of it was written and ``HttpOutcomeUnknownError``
otherwise.
"""

import http.client
import ipaddress
import math
import re
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

MAX_PORT = 65_535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
HOST_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,253}")

MAX_QUOTED = 40
"""Characters of a malformed address that an error message quotes."""

NO_HEADERS: Mapping[str, str] = {}


class HttpError(Exception):
    """Base class of the errors raised by the HTTP client."""


class HttpNotSentError(HttpError):
    """No byte of the request was written, so it had no effect."""


class HttpOutcomeUnknownError(HttpError):
    """At least part of the request was written, but no complete response arrived."""


class HttpAddress(msgspec.Struct, frozen=True):
    """The host and port of a TCP listener."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "HttpAddress":
        """Parse ``HOST:PORT``; raise ``ValueError`` if the text is malformed."""
        host, _, port = text.rpartition(":")
        if not is_host(host) or not PORT_PATTERN.fullmatch(port):
            raise ValueError(f"address {text[:MAX_QUOTED]!r} is not HOST:PORT")
        if not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f"address {text!r} has a port out of range")
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f"{self.host}:{self.port}"


def is_host(text: str) -> bool:
    """Return True if a text has the form of a host name or of an IP address."""
    if ":" not in text:
        return HOST_PATTERN.fullmatch(text) is not None
    try:
        ipaddress.IPv6Address(text)
    except ValueError:
        return False
    return True


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class BufferedHTTPConnection(http.client.HTTPConnection):
    """Buffer an encoded request so that it can be written in one piece."""

    def __init__(self, host: str, port: int) -> None:
        """Create an unconnected connection."""
        super().__init__(host, port)
        self.parts: list[bytes] = []
        self.auto_open = 0

    def send(self, data: object) -> None:
        """Append a part of the request to the buffer."""
        if not isinstance(data, bytes):
            raise TypeError("request data must be bytes")
        self.parts.append(data)


class HttpConnection:
    """A kept-alive connection; not safe for concurrent use by several threads."""

    def __init__(self, address: HttpAddress, stall_timeout_s: float = math.inf) -> None:
        """Create a connection that is opened by the first request.

        A request fails early if nothing is sent or received for ``stall_timeout_s``.
        """
        self.address = address
        self.stall_timeout_s = stall_timeout_s
        self.client = BufferedHTTPConnection(address.host, address.port)
        self.sock: DeadlineSocket | None = None

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        timeout_s: float = 5.0,
    ) -> HttpResponse:
        """Send a request and return the complete response."""
        response = self.send_request(method, path, body, headers, timeout_s)
        try:
            content = read_body(response)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe_error(error)) from error
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

        The stream owns the connection until it is closed.
        """
        return HttpStream(
            self, self.send_request(method, path, body, headers, timeout_s)
        )

    def send_request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> http.client.HTTPResponse:
        """Send a request and return its response with the body still unread."""
        deadline_s = time.monotonic() + max(timeout_s, MIN_TIMEOUT_S)
        data = self.encode_request(method, path, body, headers)
        sock = self.ensure_connected(deadline_s)
        self.write(sock, data)
        try:
            return self.client.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe_error(error)) from error

    def ensure_connected(self, deadline_s: float) -> DeadlineSocket:
        """Return a connected socket with its deadline set.

        The current socket is replaced if the peer has closed it or has sent data that
        no request asked for.
        """
        if self.sock is not None and not self.sock.is_idle():
            self.sock.raw.close()
            self.sock = None
        if self.sock is None:
            self.sock = self.connect(deadline_s)
        self.sock.deadline_s = deadline_s
        # http.client drops its socket after a response that closes the connection.
        self.client.sock = self.sock
        return self.sock

    def connect(self, deadline_s: float) -> DeadlineSocket:
        """Open a connection; raise ``HttpNotSentError`` on failure."""
        remaining_s = max(deadline_s - time.monotonic(), MIN_TIMEOUT_S)
        remaining_s = min(remaining_s, self.stall_timeout_s)
        target = (self.address.host, self.address.port)
        try:
            raw = socket.create_connection(target, min(remaining_s, CONNECT_TIMEOUT_S))
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except (OSError, OverflowError, ValueError) as error:
            # A host or a port that the resolver rejects raises the latter two.
            self.close()
            raise HttpNotSentError(self.describe_error(error)) from error
        return DeadlineSocket(raw, self.stall_timeout_s)

    def encode_request(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> bytes:
        """Return the encoded request.

        Raise ``HttpNotSentError`` if the request line or a header cannot be encoded.
        """
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
            raise HttpNotSentError(self.describe_error(error)) from error
        return b"".join(self.client.parts)

    def write(self, sock: DeadlineSocket, data: bytes) -> None:
        """Write the whole of ``data`` to the socket.

        Raise ``HttpNotSentError`` if the first write fails and
        ``HttpOutcomeUnknownError`` if a later one does.
        """
        view = memoryview(data)
        try:
            written = sock.send(view)
        except OSError as error:
            self.close()
            raise HttpNotSentError(self.describe_error(error)) from error
        try:
            while written < len(data):
                written += sock.send(view[written:])
        except OSError as error:
            self.close()
            raise HttpOutcomeUnknownError(self.describe_error(error)) from error

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.sock is not None:
            self.sock.raw.close()
        self.sock = None
        self.client.close()

    def describe_error(self, error: object) -> str:
        """Return an error message prefixed with the address."""
        return f"{self.address}: {error or type(error).__name__}"


def read_body(response: http.client.HTTPResponse) -> bytes:
    """Return the complete body of a response.

    Raise ``HTTPException`` if the body is too large, or if it has neither a length nor
    chunks: a body that is delimited only by the end of the connection cannot be
    distinguished from one that was cut off by a crash.
    """
    if response.length is None and not response.chunked:
        raise http.client.HTTPException(
            "response has neither Content-Length nor chunked encoding"
        )
    if response.length is not None:
        if response.length > MAX_BODY_BYTES:
            raise http.client.HTTPException("response body is too large")
        return response.read()
    content = response.read(MAX_BODY_BYTES + 1)
    if len(content) > MAX_BODY_BYTES:
        raise http.client.HTTPException("response body is too large")
    return content


class HttpStream:
    """A response whose body is read line by line as it arrives."""

    def __init__(
        self, connection: HttpConnection, response: http.client.HTTPResponse
    ) -> None:
        """Wrap a response whose body is still unread."""
        self.connection = connection
        self.response = response
        self.status = response.status

    def read(self, timeout_s: float) -> bytes:
        """Return the rest of the body."""
        self.reset_deadline(timeout_s)
        try:
            return self.response.read(MAX_BODY_BYTES)
        except (OSError, http.client.HTTPException) as error:
            raise HttpOutcomeUnknownError(
                self.connection.describe_error(error)
            ) from error

    def lines(self, idle_timeout_s: float) -> Iterator[bytes]:
        """Yield lines until the stream ends.

        Raise ``HttpOutcomeUnknownError`` if the connection fails or no complete line
        arrives for ``idle_timeout_s``.
        """
        while True:
            self.reset_deadline(idle_timeout_s)
            try:
                line = self.response.readline(MAX_LINE_BYTES)
            except (OSError, http.client.HTTPException) as error:
                message = self.connection.describe_error(error)
                raise HttpOutcomeUnknownError(message) from error
            if not line:
                return
            yield line

    def reset_deadline(self, timeout_s: float) -> None:
        """Set the deadline of the connection to ``timeout_s`` from now."""
        if self.connection.sock is not None:
            self.connection.sock.deadline_s = time.monotonic() + timeout_s

    def close(self) -> None:
        """Close the response and its connection."""
        self.response.close()
        self.connection.close()
