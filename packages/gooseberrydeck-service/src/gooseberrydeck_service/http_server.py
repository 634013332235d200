"""The HTTP server for callers, operators and peers, based on waitress."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from gooseberrydeck_service.bounded_channel import DrainableChannel
from gooseberrydeck_service.bounded_parser import HeaderCheck, allow_all
from gooseberrydeck_service.bounded_server import BoundedServer
from gooseberrydeck_service.connection_budget import (
    MAX_HELD_BYTES,
    ConnectionBudget,
    ConnectionLimits,
)

__all__ = ["DrainableChannel", "HttpServer", "ListenerBounds", "WsgiApplication"]

BACKLOG = 1_024
SHUTDOWN_TIMEOUT_S = 5.0
LOOP_TIMEOUT_S = 1.0

DEFAULT_BODIES = 32
"""Largest bodies that a listener without limits of its own may hold."""

MAX_SILENCE_S = 3.0
"""Time without a turn of the event loop, or with accepting blocked, after which the
server counts as not responding; an idle loop turns every second."""

FLUSH_TIMEOUT_S = 0.05

WsgiApplication = Callable[
    [dict[str, Any], Callable[[str, list[tuple[str, str]]], Any]], Iterable[bytes]
]


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
        channel_class: type[DrainableChannel] = DrainableChannel,
        limits: ConnectionLimits | None = None,
        check: HeaderCheck = allow_all,
    ) -> None:
        """Bind the port and set the ``port`` attribute to the actual one.

        ``channel_class`` handles the connections, and responds to requests that cannot
        be parsed. ``limits`` bounds the connections in place of the defaults, and
        ``check`` may refuse requests with a body before it is received.
        """
        self.name = name
        self.map: dict[int, Any] = {}
        limits = limits or ConnectionLimits(
            listener.max_connections,
            max(MAX_HELD_BYTES, DEFAULT_BODIES * listener.max_body_bytes),
        )
        self.budget = ConnectionBudget(limits, time.monotonic)
        self.server = BoundedServer(
            name,
            application,
            self.budget,
            check,
            map=self.map,
            listen=f"{address}:{listener.port}",
            threads=listener.threads,
            backlog=BACKLOG,
            max_request_header_size=limits.max_header_bytes,
            # waitress refuses a length that equals its limit.
            max_request_body_size=listener.max_body_bytes + 1,
            # Hosts have no disks, so buffers must never overflow to temporary files.
            inbuf_overflow=2 * listener.max_body_bytes,
            outbuf_overflow=2 * listener.max_body_bytes,
            channel_request_lookahead=1,
            expose_tracebacks=False,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self.server.channel_class = channel_class
        self.port: int = self.server.effective_port
        self.stopping = threading.Event()
        self.turn_s = time.monotonic()

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
        wait_s = self.server.prepare_turn(timeout_s)
        self.turn_s = time.monotonic()
        loop = self.server.asyncore.loop
        loop(timeout=wait_s, map=self.map, use_poll=True, count=1)

    def is_responsive(self) -> bool:
        """Return whether the event loop turns and accepts connections."""
        now_s = time.monotonic()
        blocked_since_s = self.server.blocked_since_s
        is_blocked = (
            blocked_since_s is not None and now_s - blocked_since_s > MAX_SILENCE_S
        )
        return now_s - self.turn_s <= MAX_SILENCE_S and not is_blocked

    def drain(self) -> None:
        """Close each connection after its next response, so that clients reconnect.

        Clients behind a load balancer then reach another member.
        """
        self.server.is_draining = True

    def stop_listening(self) -> None:
        """Stop accepting connections; the open ones are still served."""
        self.server.del_channel(self.map)
        self.server.socket.close()

    def channels(self) -> list[DrainableChannel]:
        """Return the open connections."""
        return [
            item for item in self.map.values() if isinstance(item, DrainableChannel)
        ]

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
