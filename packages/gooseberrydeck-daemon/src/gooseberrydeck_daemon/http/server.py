"""The callers' listener, by waitress."""

import threading
from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer, create_server
from waitress.task import ErrorTask

from gooseberrydeck_daemon.http.application import Application
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.responses import status_line
from gooseberrydeck_daemon.settings import CallersListener

__all__ = ["CallersServer"]

MAX_HEADER_BYTES = 65_536
CHANNEL_TIMEOUT_S = 60
BACKLOG = 1_024
SHUTDOWN_TIMEOUT_S = 5.0

PROBLEMS_BY_STATUS = {
    413: ProblemType.BODY_TOO_LARGE,
    431: ProblemType.HEADERS_TOO_LARGE,
    500: ProblemType.INTERNAL,
    501: ProblemType.NOT_IMPLEMENTED,
}


class ProblemTask(ErrorTask):  # type: ignore[misc]
    """Answer requests that waitress could not parse with problem details."""

    def execute(self) -> None:
        """Write the problem and close the connection."""
        error = self.request.error
        kind = PROBLEMS_BY_STATUS.get(error.code, ProblemType.BAD_REQUEST)
        response = ProblemError(kind, error.body).to_response()
        self.status = status_line(response.status)
        self.response_headers.append(("Content-Type", response.content_type))
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.write(response.body)


class ProblemChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection whose failures are problem details."""

    error_task_class = ProblemTask


class CallersServer:
    """Run waitress's loop as a task; it owns the callers' connections."""

    def __init__(
        self, application: Application, address: str, listener: CallersListener
    ) -> None:
        """Bind the port; ``port`` is then the one that callers connect to."""
        self.name = "callers"
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
            # Hosts have no disks, so nothing may overflow to a temporary file.
            inbuf_overflow=2 * listener.max_body_bytes,
            outbuf_overflow=2 * listener.max_body_bytes,
            channel_timeout=CHANNEL_TIMEOUT_S,
            channel_request_lookahead=1,
            expose_tracebacks=False,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self.server.channel_class = ProblemChannel
        self.port: int = self.server.effective_port
        self.stopping = threading.Event()

    def run(self) -> None:
        """Serve until stopped."""
        loop = self.server.asyncore.loop
        while not self.stopping.is_set():
            loop(timeout=1.0, map=self.map, use_poll=True, count=1)
        self.server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)
        self.server.close()

    def stop(self) -> None:
        """Ask the loop to end."""
        self.stopping.set()
        self.server.pull_trigger()
