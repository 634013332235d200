"""Endpoint process; each endpoint has a port of its own.

An endpoint echoes the request body with its content type. The server uses one thread
for each connection, since it is the baseline for measurements of the request path.
Start it with ``python -m gooseberrydeck_standins.endpoint_server --service lookups``.
"""

import socket
import threading
from types import TracebackType
from typing import Self

import msgspec
import typer

from gooseberrydeck_coordination.ids import DataCentre, HostName, Rack, ServiceName
from gooseberrydeck_platform.endpoint_http import NOT_RUN_HEADER
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.endpoint_engine import (
    DEFAULT_CONNECTIONS,
    DEFAULT_SLOTS,
    EndpointEngine,
)
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.http_service import (
    LOOPBACK,
    Reply,
    Request,
    fault_reply,
    serve,
)

__all__ = ["EndpointServer"]

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
BACKLOG = 512

NOT_RUN = (
    f"HTTP/1.1 503 Service Unavailable\r\n{NOT_RUN_HEADER}: true\r\n"
    "Content-Length: 0\r\n\r\n"
).encode()


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A complete request with the headers that the endpoint uses."""

    method: str
    path: str
    content_type: str
    request: str
    body: bytes


class RequestReader:
    """Reader of the successive HTTP requests of a connection."""

    def __init__(self, connection: socket.socket) -> None:
        """Create a reader with an empty buffer."""
        self.connection = connection
        self.buffer = b""

    def read(self) -> ReceivedRequest | None:
        """Return the next request, or None if the connection ended.

        A head that is too long also returns None.
        """
        while b"\r\n\r\n" not in self.buffer:
            if len(self.buffer) > MAX_HEAD_BYTES or not self.fill():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            if not self.fill():
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        content_type = headers.get("content-type", "application/octet-stream")
        request = headers.get("x-request-id", "")
        return ReceivedRequest(method, path, content_type, request, body)

    def fill(self) -> bool:
        """Read more data and return True if the connection is still open."""
        data = self.connection.recv(READ_BYTES)
        self.buffer += data
        return bool(data)


class EndpointServer:
    """One endpoint in this process, on a port of its own; a context manager.

    ``GET /runs`` returns its summary; ``PUT /faults`` sets faults.
    """

    def __init__(
        self, engine: EndpointEngine, host: str = LOOPBACK, port: int = 0
    ) -> None:
        """Bind the port; connections are accepted after ``start``."""
        self.engine = engine
        self.faults = engine.faults
        self.listener = socket.create_server((host, port), backlog=BACKLOG)
        self.address = HttpAddress(host, self.listener.getsockname()[1])
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.is_stopped = False
        self.thread = threading.Thread(target=self.accept, daemon=True)

    def host_entry(
        self, service: ServiceName, data_centre: str = "dc1", rack: str = "dc1-rack0"
    ) -> Host:
        """Return the entry of the endpoint for the host list."""
        return Host(
            self.engine.host,
            HostKind.ENDPOINT,
            HostState.LIVE,
            self.address.host,
            self.address.port,
            DataCentre(data_centre),
            Rack(rack),
            service=service,
            slots=self.engine.slots,
            connections=self.engine.connections,
        )

    def start(self) -> None:
        """Start accepting connections in a thread."""
        self.thread.start()

    def accept(self) -> None:
        """Accept connections until the server is stopped."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                if self.is_stopped:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        is_admitted = self.engine.connect()
        try:
            self.serve_requests(connection, is_admitted)
        except (OSError, ValueError):
            pass
        finally:
            self.engine.disconnect()
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve_requests(self, connection: socket.socket, is_admitted: bool) -> None:
        """Answer requests until the connection ends or a response is to be lost.

        A connection that is over the limit gets one ``NOT_RUN`` response.
        """
        reader = RequestReader(connection)
        while (request := reader.read()) is not None:
            response = self.answer(request) if is_admitted else NOT_RUN
            if response is None:
                return
            connection.sendall(response)
            if not is_admitted:
                return

    def answer(self, request: ReceivedRequest) -> bytes | None:
        """Return the response to a request, or None if it is to be lost."""
        if request.method != "POST":
            return self.handle_control(request)
        fault = self.faults.begin_call()
        if fault in (FaultKind.DOWN, FaultKind.REFUSE):
            return NOT_RUN
        service = request.path.rsplit("/", 1)[-1]
        status = self.engine.run(request.request, service, request.body, fault)
        if fault is FaultKind.ANSWER_LOST:
            return None
        return encode_response(status, request.content_type, request.body)

    def handle_control(self, request: ReceivedRequest) -> bytes:
        """Return the response to a control request, for the runs or the faults."""
        reply = Reply(404)
        if request.path == "/runs":
            reply = Reply(body=msgspec.json.encode(self.engine.summary()))
        if request.path == "/faults":
            control_request = Request(request.method, request.path, request.body)
            reply = fault_reply(self.faults, control_request)
        return encode_response(reply.status, "application/json", reply.body)

    def stop(self) -> None:
        """Close the port and every connection."""
        with self.lock:
            self.is_stopped = True
            connections = list(self.connections)
        # Unlike close(), shutdown() wakes the thread that is blocked in accept().
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self.thread.join()

    def __enter__(self) -> Self:
        """Start the server."""
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the server."""
        self.stop()


def encode_response(status: int, content_type: str, body: bytes) -> bytes:
    """Return an encoded HTTP response."""
    head = (
        f"HTTP/1.1 {status} Answer\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def main(
    service: str,
    host: str = LOOPBACK,
    port: int = 0,
    count: int = 1,
    slots: int = DEFAULT_SLOTS,
    connections: int = DEFAULT_CONNECTIONS,
    service_ms: float = 0.0,
    prefix: str = "",
    data_centre: str = "dc1",
) -> None:
    """Serve endpoints of SERVICE until SIGTERM; a port is for the first of them."""
    servers = [
        EndpointServer(
            EndpointEngine(
                HostName(f"{prefix or service}-{index:03}"),
                slots,
                connections,
                service_ms,
            ),
            host,
            port if index == 0 else 0,
        )
        for index in range(count)
    ]
    hosts = [each.host_entry(ServiceName(service), data_centre) for each in servers]

    def start() -> None:
        for server in servers:
            server.start()

    announcement = {
        "address": str(servers[0].address),
        "hosts": msgspec.to_builtins(hosts),
    }
    serve(start, announcement)


if __name__ == "__main__":
    typer.run(main)
