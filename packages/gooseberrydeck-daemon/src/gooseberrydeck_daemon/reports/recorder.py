"""The filter that counts how requests to services end."""

from collections.abc import Callable

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.reports.accumulator import BurnAccumulator
from gooseberrydeck_service.responses import Response

__all__ = ["BurnFilter"]

PREFIX = "/v1/services/"
FIRST_SERVER_FAULT = 500


class BurnFilter:
    """Count each request to a service against its objective.

    Requests that the member refused by the caller's own fault (a status below 500
    before anything was sent) use up no budget and are not counted.
    """

    def __init__(
        self,
        get_response: Callable[[Request], Response],
        access: AccessIndex,
        burn: BurnAccumulator,
    ) -> None:
        """Wrap the whole chain."""
        self.get_response = get_response
        self.access = access
        self.burn = burn

    def __call__(self, request: Request) -> Response:
        """Return the response and count it."""
        response = self.get_response(request)
        if request.path.startswith(PREFIX):
            self.count(request, response)
        return response

    def count(self, request: Request, response: Response) -> None:
        """Count one request, unless the caller was at fault."""
        name = ServiceName(request.path[len(PREFIX) :])
        service = self.access.service(name)
        is_fault = response.status >= FIRST_SERVER_FAULT
        if service is None or (request.placed_s is None and not is_fault):
            return
        wait_s = 0.0
        if request.placed_s is not None:
            wait_s = request.placed_s - request.received_s
        self.burn.record(
            service.name,
            request.team,
            wait_s * 1_000,
            not is_fault,
            service.objective_wait_ms,
        )
