"""Health checks: GET /livez and GET /readyz."""

import threading

from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_service.responses import Response, json_response

__all__ = ["Health"]


class Health:
    """Liveness and readiness of the member."""

    def __init__(self) -> None:
        """Create the checks of a member that is not ready yet."""
        self.ready = threading.Event()

    def livez(self, _request: Request) -> Response:
        """Return 200, because the process can serve HTTP."""
        return json_response(200, {"status": "live"})

    def readyz(self, _request: Request) -> Response:
        """Return 200 if the load balancer should send requests here, else 503."""
        if self.ready.is_set():
            return json_response(200, {"status": "ready"})
        return json_response(503, {"status": "not ready"})
