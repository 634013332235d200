"""GET /livez and GET /readyz."""

import threading

from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["Health"]


class Health:
    """Tell whether the process lives, and whether it wants requests."""

    def __init__(self) -> None:
        """Begin as not ready."""
        self.ready = threading.Event()

    def livez(self, _request: Request) -> Response:
        """Answer that the process serves HTTP."""
        return json_response(200, {"status": "live"})

    def readyz(self, _request: Request) -> Response:
        """Answer whether the balancer should send requests here."""
        if self.ready.is_set():
            return json_response(200, {"status": "ready"})
        return json_response(503, {"status": "not ready"})
