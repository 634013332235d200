"""HTTP server for stand-ins, in a thread of this process or as a process."""

import json
import logging
import queue
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from types import FrameType, TracebackType
from typing import Any, Protocol, Self

import msgspec
import waitress
from waitress import wasyncore

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.faults import Faults, FaultSettings

__all__ = ["Application", "Request", "Reply", "StandinServer", "fault_reply", "serve"]

LOOPBACK = "127.0.0.1"
DEFAULT_THREADS = 64
POLL_S = 0.2
SIGNAL_POLL_S = 0.1
TRUNCATED_CONTENT_LENGTH = 1_000_000
"""The content length of a truncated response, which is never sent in full."""

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Request(msgspec.Struct, frozen=True):
    """A received HTTP request; ``headers`` uses the WSGI names (``HTTP_...``).

    ``caller`` is the network address that the request came from.
    """

    method: str
    path: str
    body: bytes
    query: str = ""
    headers: dict[str, str] = {}
    caller: str = ""


class Reply(msgspec.Struct, frozen=True):
    """An HTTP response with a body, or with a stream of lines if ``stream`` is set.

    With ``cuts_connection``, the connection ends before the body is complete.
    """

    status: int = 200
    body: bytes = b"{}"
    stream: Iterable[bytes] | None = None
    cuts_connection: bool = False


class Application(Protocol):
    """Handler of the requests of a server."""

    def handle(self, request: Request) -> Reply:
        """Return the response to one request."""


def fault_reply(faults: Faults, request: Request) -> Reply:
    """Return the fault settings, after replacing them if the method is ``PUT``."""
    if request.method == "PUT":
        try:
            faults.apply(decode_json(request.body, FaultSettings))
        except DecodingError as error:
            return Reply(400, msgspec.json.encode({"message": str(error)}))
    return Reply(body=msgspec.json.encode(faults.settings))


def wsgi(application: Application) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI callable of an application."""

    def answer(
        environ: Mapping[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        request = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ["wsgi.input"].read(),
            environ.get("QUERY_STRING", ""),
            {key: environ[key] for key in environ if key.startswith("HTTP_")},
            environ.get("REMOTE_ADDR", ""),
        )
        reply = application.handle(request)
        status = f"{reply.status} {REASONS.get(reply.status, 'Other')}"
        headers = [("Content-Type", "application/json")]
        if reply.stream is not None:
            start_response(status, headers)
            return reply.stream
        length = TRUNCATED_CONTENT_LENGTH if reply.cuts_connection else len(reply.body)
        headers.append(("Content-Length", str(length)))
        start_response(status, headers)
        return [b" " if reply.cuts_connection else reply.body]

    return answer


class StandinServer:
    """Server of an application, on a port of its own; a context manager."""

    def __init__(
        self,
        application: Application,
        host: str = LOOPBACK,
        port: int = 0,
        threads: int = DEFAULT_THREADS,
    ) -> None:
        """Bind the port; requests are answered after ``start``."""
        for name in ("waitress", "waitress.queue"):
            logging.getLogger(name).setLevel(logging.CRITICAL)
        self.sockets: dict[int, object] = {}
        self.server = waitress.create_server(
            wsgi(application),
            host=host,
            port=port,
            threads=threads,
            map=self.sockets,
            connection_limit=2_000,
            asyncore_use_poll=True,
        )
        self.address = HttpAddress(host, int(self.server.effective_port))
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Serve requests until the server is stopped."""
        while not self.stopped.is_set():
            wasyncore.loop(POLL_S, True, self.sockets, 1)

    def start(self) -> None:
        """Start serving requests in a thread."""
        self.thread.start()

    def stop(self) -> None:
        """Close the port and every connection."""
        self.stopped.set()
        self.server.pull_trigger()
        self.thread.join()
        self.server.task_dispatcher.shutdown(cancel_pending=True, timeout=0)
        wasyncore.close_all(self.sockets, ignore_all=True)

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


def serve(start: Callable[[], object], announcement: Mapping[str, object]) -> None:
    """Start a service, print its announcement as JSON and run until SIGTERM."""
    # A threading.Event must not be set by a signal handler that interrupts a wait on
    # the same event in the same thread; a SimpleQueue is reentrant.
    ended: queue.SimpleQueue[None] = queue.SimpleQueue()

    def request_end(number: int, frame: FrameType | None) -> None:
        ended.put(None)

    signal.signal(signal.SIGTERM, request_end)
    signal.signal(signal.SIGINT, request_end)
    start()
    sys.stdout.write(json.dumps(announcement) + "\n")
    sys.stdout.flush()
    # Polls, because a signal may be delivered to another thread, which does not wake
    # this one.
    while ended.empty():
        time.sleep(SIGNAL_POLL_S)
