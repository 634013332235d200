"""POST /v1/services/SERVICE: run a request while the caller waits."""

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
    """Return the team that the work is taken for, or raise ``ProblemError``."""
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
    """Serve requests to services."""

    def __init__(
        self,
        access: AccessIndex,
        dispatcher: Dispatcher,
        guard: IdempotencyGuard | None = None,
    ) -> None:
        """Find services in ``access`` and run requests by ``dispatcher``.

        Without a guard, requests with an Idempotency-Key are refused.
        """
        self.access = access
        self.guard = guard
        self.dispatcher = dispatcher

    def route(self) -> Route:
        """Return the route to add to the router."""
        return Route("POST", "/v1/services/{service}", self.handle, self.prepare)

    def find(self, request: Request) -> Service:
        """Return the service that a request names."""
        service = self.access.service(request.parameters["service"])
        if service is None:
            raise ProblemError(ProblemType.SERVICE_UNKNOWN)
        return service

    def prepare(self, request: Request) -> None:
        """Check permission and size, and set the deadline."""
        service = self.find(request)
        request.team = authorized_team(request, service)
        if int(request.environ["CONTENT_LENGTH"]) > service.max_body_bytes:
            detail = f"at most {service.max_body_bytes} bytes for {service.name}"
            raise ProblemError(ProblemType.BODY_TOO_LARGE, detail)
        timeout_ms = min(request.timeout_ms or service.timeout_ms, service.timeout_ms)
        request.deadline_s = request.received_s + timeout_ms / 1000

    def handle(self, request: Request) -> Response:
        """Run the request and return the endpoint's answer, whole."""
        service = self.find(request)
        assert request.team is not None
        sent = ServiceRequest(
            request.id,
            service.name,
            request.team,
            request.content_type,
            request.read_body(),
            request.deadline_s,
            is_idempotent=service.is_idempotent,
            is_retry=is_said_retry(request),
            is_caller_gone=request.is_caller_gone,
        )
        answer = self.run(request, sent)
        request.placed_s = sent.placed_s
        return Response(answer.status, answer.content_type, answer.body)

    def run(self, request: Request, sent: ServiceRequest) -> EndpointResponse:
        """Run a request, guarded by its Idempotency-Key if it needs one."""
        key = request.header("HTTP_IDEMPOTENCY_KEY")
        if key is None or sent.is_idempotent:
            return self.dispatcher.run(sent)
        if not IDEMPOTENCY_KEY.fullmatch(key):
            detail = "write 1 to 255 visible ASCII characters"
            raise ProblemError(ProblemType.BAD_IDEMPOTENCY_KEY, detail)
        if self.guard is None:
            raise ProblemError(ProblemType.STORE_UNAVAILABLE, "there is no store")
        keyed = KeyedRequest(
            sent.id, sent.service, sent.team, key, sent.content_type, sent.body
        )
        left_s = max(0.0, sent.deadline_s - time.monotonic())
        return self.guard.run(keyed, left_s, lambda: self.dispatcher.run(sent))


def is_said_retry(request: Request) -> bool:
    """Tell whether the caller says that it has tried before."""
    attempt = request.header("HTTP_GOOSEBERRY_ATTEMPT")
    return attempt is not None and attempt not in ("", "0", "1")
