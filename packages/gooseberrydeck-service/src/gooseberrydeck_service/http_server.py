"""The HTTP server for callers, operators and peers, based on waitress."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer, create_server
from waitress.task import WSGITask

__all__ = ["DrainableChannel", "HttpServer", "ListenerBounds", "WsgiApplication"]

MAX_HEADER_BYTES = 65_536
CHANNEL_TIMEOUT_S = 60
BACKLOG = 1_024
SHUTDOWN_TIMEOUT_S = 5.0
LOOP_TIMEOUT_S = 1.0
FLUSH_TIMEOUT_S = 0.05

WsgiApplication = Callable[
    [dict[str, Any], Callable[[str, list[tuple[str, str]]], Any]], Iterable[bytes]
]


class DrainableTask(WSGITask):  # type: ignore[misc]
    """A request that closes its connection after the response on a draining server.

    An application cannot do this itself: WSGI reserves the ``Connection`` header.
    """

    def build_response_header(self) -> bytes:
        """Return the response header, with ``Connection: close`` while draining."""
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


class DrainableChannel(HTTPChannel):  # type: ignore[misc]
    """A client connection that closes after the next response on a draining server."""

    task_class = DrainableTask


class ListenerBounds(Protocol):
    """The port and the limits of a listener."""

    @property
    def port(self) -> int:
        """The port, or 0 to let the system choose one."""

    @property
    def threads(self) -> int:
        """The number of requests handled concurrently."""

    @property
    def max_connections(self) -> int:
        """The limit on open connections."""

    @property
    def max_body_bytes(self) -> int:
        """The largest request body, in bytes."""


class HttpServer:
    """A waitress server that runs as a task and owns its clients' connections."""

    def __init__(
        self,
        name: str,
        application: WsgiApplication,
        address: str,
        listener: ListenerBounds,
        channel_class: type[HTTPChannel] = DrainableChannel,
    ) -> None:
        """Bind the port and set the ``port`` attribute to the actual one.

        ``channel_class`` handles the connections, and responds to requests that cannot
        be parsed.
        """
        self.name = name
        self.map: dict[int, Any] = {}
        self.server: TcpWSGIServer = create_server(
            application,
            map=self.map,
            listen=f"{address}:{listener.port}",
            threads=listener.threads,
            connection_limit=listener.max_connections,
            backlog=BACKLOG,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=listener.max_body_bytes,
            # Hosts have no disks, so buffers must never overflow to temporary files.
            inbuf_overflow=2 * listener.max_body_bytes,
            outbuf_overflow=2 * listener.max_body_bytes,
            channel_timeout=CHANNEL_TIMEOUT_S,
            channel_request_lookahead=1,
            expose_tracebacks=False,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self.server.channel_class = channel_class
        self.server.is_draining = False
        self.port: int = self.server.effective_port
        self.stopping = threading.Event()

    def run(self) -> None:
        """Serve until stopped, then until every response is sent or a timeout."""
        while not self.stopping.is_set():
            self.loop_once(LOOP_TIMEOUT_S)
        self.stop_listening()
        end_s = time.monotonic() + SHUTDOWN_TIMEOUT_S
        while self.has_unfinished() and time.monotonic() < end_s:
            self.loop_once(FLUSH_TIMEOUT_S)
        self.server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)
        self.server.close()
        for channel in self.channels():
            channel.close()

    def loop_once(self, timeout_s: float) -> None:
        """Run one iteration of the event loop."""
        loop = self.server.asyncore.loop
        loop(timeout=timeout_s, map=self.map, use_poll=True, count=1)

    def drain(self) -> None:
        """Close each connection after its next response, so that clients reconnect.

        Clients behind a load balancer then reach another member.
        """
        self.server.is_draining = True

    def stop_listening(self) -> None:
        """Stop accepting connections; the open ones are still served."""
        self.server.del_channel(self.map)
        self.server.socket.close()

    def channels(self) -> list[HTTPChannel]:
        """Return the open connections."""
        return [item for item in self.map.values() if isinstance(item, HTTPChannel)]

    def has_unfinished(self) -> bool:
        """Return whether a request is in progress or a response not fully sent."""
        return any(item.requests or item.total_outbufs_len for item in self.channels())

    def stop(self) -> None:
        """Ask the loop to end.

        Further calls do nothing, as the trigger that wakes the loop may be closed.
        """
        if not self.stopping.is_set():
            self.stopping.set()
            self.server.pull_trigger()
