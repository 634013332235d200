"""Handler of POST /v1/services/SERVICE, which runs a request synchronously."""

import re
import time

from gooseberrydeck_configuration.objects import Queue, Service
from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_daemon.dispatch import Dispatcher, ServiceRequest
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Route
from gooseberrydeck_daemon.idempotency import IdempotencyGuard, KeyedRequest
from gooseberrydeck_platform.endpoints import EndpointResponse
from gooseberrydeck_service.responses import Response

__all__ = ["ServiceHandler", "authorized_team"]

IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")


def authorized_team(request: Request, target: Service | Queue) -> TeamName:
    """Return the team on whose behalf the request runs.

    Raise ``ProblemError`` if the request is not authorized to use ``target``.
    """
    if request.team is not None:
        if request.team in target.teams or request.team == target.open_team:
            return request.team
        if target.open_team is None:
            detail = f"team {request.team} may not use {target.name}"
            raise ProblemError(ProblemType.NOT_PERMITTED, detail)
    if target.open_team is None:
        headers = (("WWW-Authenticate", "Bearer"),)
        raise ProblemError(ProblemType.KEY_MISSING, headers=headers)
    return target.open_team


class ServiceHandler:
    """Run requests to services and return the endpoint's response."""

    def __init__(
        self,
        access: AccessIndex,
        dispatcher: Dispatcher,
        guard: IdempotencyGuard | None = None,
    ) -> None:
        """Look up services in ``access`` and run requests on ``dispatcher``.

        Without a guard, requests with an Idempotency-Key to services that are not
        idempotent are rejected.
        """
        self.access = access
        self.guard = guard
        self.dispatcher = dispatcher

    def route(self) -> Route:
        """Return the route of this handler."""
        return Route("POST", "/v1/services/{service}", self.handle, self.prepare)

    def find_service(self, request: Request) -> Service:
        """Return the service in the path, or raise ``ProblemError``."""
        service = self.access.service(request.parameters["service"])
        if service is None:
            raise ProblemError(ProblemType.SERVICE_UNKNOWN)
        return service

    def prepare(self, request: Request) -> None:
        """Check authorization and body size, and set the deadline."""
        service = self.find_service(request)
        request.team = authorized_team(request, service)
        if int(request.environ["CONTENT_LENGTH"]) > service.max_body_bytes:
            detail = f"at most {service.max_body_bytes} bytes for {service.name}"
            raise ProblemError(ProblemType.BODY_TOO_LARGE, detail)
        timeout_ms = min(request.timeout_ms or service.timeout_ms, service.timeout_ms)
        request.deadline_s = request.received_s + timeout_ms / 1000

    def handle(self, request: Request) -> Response:
        """Run the request and return the complete response of the endpoint."""
        service = self.find_service(request)
        assert request.team is not None
        service_request = ServiceRequest(
            request.id,
            service.name,
            request.team,
            request.content_type,
            request.read_body(),
            request.deadline_s,
            is_idempotent=service.is_idempotent,
            is_retry=is_declared_retry(request),
            is_caller_gone=request.is_caller_gone,
        )
        endpoint_response = self.run(request, service_request)
        request.placed_s = service_request.placed_s
        return Response(
            endpoint_response.status,
            endpoint_response.content_type,
            endpoint_response.body,
        )

    def run(
        self, request: Request, service_request: ServiceRequest
    ) -> EndpointResponse:
        """Run a request, through the idempotency guard if it has a key.

        The key is ignored for idempotent services.
        """
        key = request.header("HTTP_IDEMPOTENCY_KEY")
        if key is None or service_request.is_idempotent:
            return self.dispatcher.run(service_request)
        if not IDEMPOTENCY_KEY.fullmatch(key):
            detail = "write 1 to 255 visible ASCII characters"
            raise ProblemError(ProblemType.BAD_IDEMPOTENCY_KEY, detail)
        if self.guard is None:
            raise ProblemError(ProblemType.STORE_UNAVAILABLE, "there is no store")
        keyed_request = KeyedRequest(
            service_request.id,
            service_request.service,
            service_request.team,
            key,
            service_request.content_type,
            service_request.body,
        )
        left_s = max(0.0, service_request.deadline_s - time.monotonic())
        return self.guard.run(
            keyed_request, left_s, lambda: self.dispatcher.run(service_request)
        )


def is_declared_retry(request: Request) -> bool:
    """Return True if Gooseberry-Attempt marks the request as a retry."""
    attempt = request.header("HTTP_GOOSEBERRY_ATTEMPT")
    return attempt is not None and attempt not in ("", "0", "1")
