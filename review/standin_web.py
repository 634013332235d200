"""A small HTTP/1.1 server for the stand-ins."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = ["NO_ANSWER", "Call", "WebServer", "json_answer"]

Answer = tuple[int, bytes]

NO_ANSWER: Answer = (0, b"")
"""The connection is closed without an answer."""


class Call:
    """A request."""

    def __init__(self, method: str, target: str, headers: Any, body: bytes) -> None:
        """Split the target into its path and its query."""
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


def json_answer(status: int, value: object) -> Answer:
    """Return an answer with a JSON body."""
    return status, json.dumps(value).encode()


class WebServer:
    """Serve calls in threads on a loopback address."""

    def __init__(
        self, handle: Callable[[Call], Answer], host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Bind the port and start to serve."""

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                status, content = handle(
                    Call(self.command, self.path, self.headers, body)
                )
                if not status:
                    self.close_connection = True
                    return
                self.send_response_only(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = do_DELETE = serve  # noqa: N815

            def log_message(self, *_: object) -> None:
                pass

        class Server(ThreadingHTTPServer):
            request_queue_size = 256
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                pass

        self.server = Server((host, port), Handler)
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()
