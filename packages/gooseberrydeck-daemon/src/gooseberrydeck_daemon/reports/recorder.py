"""Filter that counts the outcomes of requests to services."""

from collections.abc import Callable

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.reports.accumulator import BurnAccumulator
from gooseberrydeck_service.responses import Response

__all__ = ["BurnFilter"]

SERVICE_PATH_PREFIX = "/v1/services/"
FIRST_SERVER_ERROR_STATUS = 500


class BurnFilter:
    """Count each request to a service against its objective.

    Requests rejected because of the caller (a status below 500, and not sent to an
    endpoint) do not use the error budget and are not counted.
    """

    def __init__(
        self,
        get_response: Callable[[Request], Response],
        access: AccessIndex,
        burn: BurnAccumulator,
    ) -> None:
        """Wrap the whole filter chain."""
        self.get_response = get_response
        self.access = access
        self.burn = burn

    def __call__(self, request: Request) -> Response:
        """Return the response, and count it if its path is that of a service."""
        response = self.get_response(request)
        if request.path.startswith(SERVICE_PATH_PREFIX):
            self.count(request, response)
        return response

    def count(self, request: Request, response: Response) -> None:
        """Count one request, unless it was rejected because of the caller."""
        name = ServiceName(request.path[len(SERVICE_PATH_PREFIX) :])
        service = self.access.service(name)
        is_server_error = response.status >= FIRST_SERVER_ERROR_STATUS
        if service is None or (request.placed_s is None and not is_server_error):
            return
        wait_s = 0.0
        if request.placed_s is not None:
            wait_s = request.placed_s - request.received_s
        self.burn.record(
            service.name,
            request.team,
            wait_s * 1_000,
            not is_server_error,
            service.objective_wait_ms,
        )
