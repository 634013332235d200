"""Filters for requests under /v1, in the order in which they run."""

import re
import secrets
import threading
from collections.abc import Callable
from typing import Protocol

import structlog

from gooseberrydeck_configuration.exceptions import ConfigurationStaleError
from gooseberrydeck_coordination.ids import RequestId, TeamName
from gooseberrydeck_daemon.dispatch.exceptions import DispatchError, Outcome
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.problems import (
    ProblemError,
    ProblemType,
    problem_from_dispatch_error,
)
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_service.responses import Response

__all__ = [
    "AdmitFilter",
    "AuthenticateFilter",
    "BodyLimitFilter",
    "DeadlineFilter",
    "Filter",
    "GetResponse",
    "InvokeHandlerFilter",
    "RequestIdFilter",
    "ResolveRouteFilter",
]

GetResponse = Callable[[Request], Response]

MAX_TIMEOUT_MS = 600_000
MAX_TIMEOUT_DIGITS = 9
REQUEST_ID_BYTES = 12
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
DECIMAL_DIGITS = re.compile(r"[0-9]+", re.ASCII)
BEARER_PREFIX = "bearer "

log = structlog.get_logger(__name__)


class Filter(Protocol):
    """Filter that calls the next filter or returns a response of its own."""

    def __call__(self, request: Request) -> Response:
        """Return the response to a request."""


class RequestIdFilter:
    """Assign a request id, and convert exceptions to problem details."""

    def __init__(self, get_response: GetResponse, metrics: Metrics) -> None:
        """Wrap the next filter."""
        self.get_response = get_response
        self.metrics = metrics

    def __call__(self, request: Request) -> Response:
        """Return the response with the request id in Gooseberry-Request-Id."""
        request.id = RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            response = self.get_response(request)
        except ProblemError as error:
            response = self.problem_response(request, error)
        except DispatchError as error:
            response = self.problem_response(
                request, problem_from_dispatch_error(error)
            )
        except Exception as error:
            log.exception("request handler crashed", path=request.path)
            detail = type(error).__name__
            problem = ProblemError(ProblemType.INTERNAL, detail, Outcome.UNKNOWN)
            response = self.problem_response(request, problem)
        response.headers.append(("Gooseberry-Request-Id", request.id))
        return response

    def problem_response(self, request: Request, problem: ProblemError) -> Response:
        """Count a problem in the metrics and return its response."""
        self.metrics.count(f"http.problems.{problem.kind.slug}")
        self.metrics.count(f"http.outcomes.{problem.outcome.value}")
        return problem.to_response(request.id)


class AuthenticateFilter:
    """Authenticate a request by the key in its Authorization header.

    A request without the header passes with no team, because a service may be open.
    """

    def __init__(self, get_response: GetResponse, access: AccessIndex) -> None:
        """Look up keys in ``access``."""
        self.get_response = get_response
        self.access = access

    def __call__(self, request: Request) -> Response:
        """Set the team of the request; raise ``ProblemError`` for an unknown key."""
        header = request.header("HTTP_AUTHORIZATION")
        if header is not None:
            if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
                detail = "Authorization must be: Bearer KEY"
                raise self.key_problem(detail)
            request.team = self.team_of_key(header[len(BEARER_PREFIX) :].strip())
            if request.team is None:
                raise self.key_problem("")
        return self.get_response(request)

    def team_of_key(self, secret: str) -> TeamName | None:
        """Return the team of a key, or None if the key is unknown.

        Raise ``ProblemError`` if the configuration is stale.
        """
        try:
            return self.access.team_of_key(secret)
        except ConfigurationStaleError as error:
            raise ProblemError(ProblemType.CONFIGURATION_STALE) from error

    def key_problem(self, detail: str) -> ProblemError:
        """Return the problem for an invalid or unknown key."""
        headers = (("WWW-Authenticate", "Bearer"),)
        return ProblemError(ProblemType.KEY_UNKNOWN, detail, headers=headers)


class BodyLimitFilter:
    """Reject bodies of unknown length or above the listener's limit."""

    def __init__(self, get_response: GetResponse, max_body_bytes: int) -> None:
        """Accept bodies of up to ``max_body_bytes``."""
        self.get_response = get_response
        self.max_body_bytes = max_body_bytes

    def __call__(self, request: Request) -> Response:
        """Check Content-Length for methods that have a body."""
        if request.method in METHODS_WITH_BODY:
            length = request.header("CONTENT_LENGTH")
            if length is None or length == "":
                detail = "send Content-Length, or Transfer-Encoding: chunked"
                raise ProblemError(ProblemType.LENGTH_REQUIRED, detail)
            if int(length) > self.max_body_bytes:
                detail = f"at most {self.max_body_bytes} bytes"
                raise ProblemError(ProblemType.BODY_TOO_LARGE, detail)
        return self.get_response(request)


class DeadlineFilter:
    """Read the caller's timeout from the Gooseberry-Timeout-Ms header."""

    def __init__(self, get_response: GetResponse) -> None:
        """Wrap the next filter."""
        self.get_response = get_response

    def __call__(self, request: Request) -> Response:
        """Set ``timeout_ms`` and ``deadline_s`` if the header is present."""
        header = request.header("HTTP_GOOSEBERRY_TIMEOUT_MS")
        if header is not None:
            request.timeout_ms = parse_timeout_ms(header)
            request.deadline_s = request.received_s + request.timeout_ms / 1000
        return self.get_response(request)


def parse_timeout_ms(text: str) -> int:
    """Return a timeout header in milliseconds; raise ``ProblemError`` if invalid."""
    if DECIMAL_DIGITS.fullmatch(text) and len(text) <= MAX_TIMEOUT_DIGITS:
        value = int(text)
        if 1 <= value <= MAX_TIMEOUT_MS:
            return value
    detail = f"write whole milliseconds from 1 to {MAX_TIMEOUT_MS}"
    raise ProblemError(ProblemType.BAD_TIMEOUT, detail)


class ResolveRouteFilter:
    """Resolve the route, and let it check that the team is authorized."""

    def __init__(self, get_response: GetResponse, router: Router) -> None:
        """Look up routes in ``router``."""
        self.get_response = get_response
        self.router = router

    def __call__(self, request: Request) -> Response:
        """Set route and path parameters, then call the route's ``prepare``."""
        request.route, request.parameters = self.router.resolve(request)
        request.route.prepare(request)
        return self.get_response(request)


class AdmitFilter:
    """Limit concurrent requests, so that threads remain free to reject others."""

    def __init__(
        self, get_response: GetResponse, max_in_flight: int, metrics: Metrics
    ) -> None:
        """Admit up to ``max_in_flight`` concurrent requests."""
        self.get_response = get_response
        self.max_in_flight = max_in_flight
        self.metrics = metrics
        self.in_flight = 0
        self.is_draining = False
        self.lock = threading.Lock()
        self.idle = threading.Condition(self.lock)

    def __call__(self, request: Request) -> Response:
        """Admit the request, or raise ``ProblemError`` without waiting."""
        with self.lock:
            if self.is_draining:
                raise ProblemError(ProblemType.DRAINING)
            if self.in_flight >= self.max_in_flight:
                raise ProblemError(ProblemType.AT_CAPACITY)
            self.in_flight += 1
        try:
            return self.get_response(request)
        finally:
            with self.lock:
                self.in_flight -= 1
                if not self.in_flight:
                    self.idle.notify_all()

    def drain(self, timeout_s: float) -> bool:
        """Stop admitting requests and wait for those in flight.

        Return False if some are still in flight after ``timeout_s``.
        """
        with self.lock:
            self.is_draining = True
            return self.idle.wait_for(lambda: not self.in_flight, timeout_s)


class InvokeHandlerFilter:
    """Call the handler of the route; the last step of the chain."""

    def __call__(self, request: Request) -> Response:
        """Return the handler's response."""
        handle: GetResponse = request.route.handle
        return handle(request)
