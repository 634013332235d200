"""The filters that every request under /v1 passes, in this order."""

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
    problem_of_dispatch,
)
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_service.responses import Response

__all__ = [
    "AdmitFilter",
    "AuthenticateFilter",
    "BoundSizeFilter",
    "ClassifyFilter",
    "DeadlineFilter",
    "Filter",
    "GetResponse",
    "RequestIdFilter",
    "RouteFilter",
]

GetResponse = Callable[[Request], Response]

MAX_TIMEOUT_MS = 600_000
MAX_TIMEOUT_DIGITS = 9
REQUEST_ID_BYTES = 12
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
TOKEN = re.compile(r"[0-9]+", re.ASCII)
BEARER = "bearer "

log = structlog.get_logger(__name__)


class Filter(Protocol):
    """One step of the chain; it calls the next or answers by itself."""

    def __call__(self, request: Request) -> Response:
        """Return the response to a request."""


class RequestIdFilter:
    """Give each request an id, and turn every failure into a problem."""

    def __init__(self, get_response: GetResponse, metrics: Metrics) -> None:
        """Wrap the rest of the chain."""
        self.get_response = get_response
        self.metrics = metrics

    def __call__(self, request: Request) -> Response:
        """Return the response, with the request's id in its header."""
        request.id = RequestId(secrets.token_hex(REQUEST_ID_BYTES))
        try:
            response = self.get_response(request)
        except ProblemError as error:
            response = self.refuse(request, error)
        except DispatchError as error:
            response = self.refuse(request, problem_of_dispatch(error))
        except Exception as error:
            log.exception("request handler crashed", path=request.path)
            detail = type(error).__name__
            problem = ProblemError(ProblemType.INTERNAL, detail, Outcome.UNKNOWN)
            response = self.refuse(request, problem)
        response.headers.append(("Gooseberry-Request-Id", request.id))
        return response

    def refuse(self, request: Request, problem: ProblemError) -> Response:
        """Count a problem and return it as a response."""
        self.metrics.count(f"http.problems.{problem.kind.slug}")
        self.metrics.count(f"http.outcomes.{problem.outcome.value}")
        return problem.to_response(request.id)


class AuthenticateFilter:
    """Find the team of the key that came with the request."""

    def __init__(self, get_response: GetResponse, access: AccessIndex) -> None:
        """Look keys up in ``access``."""
        self.get_response = get_response
        self.access = access

    def __call__(self, request: Request) -> Response:
        """Set the team, or refuse a key that is not known."""
        header = request.header("HTTP_AUTHORIZATION")
        if header is not None:
            if header[: len(BEARER)].lower() != BEARER:
                detail = "Authorization must be: Bearer KEY"
                raise self.refusal(detail)
            request.team = self.team_of_key(header[len(BEARER) :].strip())
            if request.team is None:
                raise self.refusal("")
        return self.get_response(request)

    def team_of_key(self, secret: str) -> TeamName | None:
        """Return the team of a key, or refuse while that cannot be told."""
        try:
            return self.access.team_of_key(secret)
        except ConfigurationStaleError as error:
            raise ProblemError(ProblemType.CONFIGURATION_STALE) from error

    def refusal(self, detail: str) -> ProblemError:
        """Return the problem of a bad key."""
        headers = (("WWW-Authenticate", "Bearer"),)
        return ProblemError(ProblemType.KEY_UNKNOWN, detail, headers=headers)


class BoundSizeFilter:
    """Refuse bodies without a length or above the listener's bound."""

    def __init__(self, get_response: GetResponse, max_body_bytes: int) -> None:
        """Take bodies of up to ``max_body_bytes``."""
        self.get_response = get_response
        self.max_body_bytes = max_body_bytes

    def __call__(self, request: Request) -> Response:
        """Check the length."""
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
    """Read how long the caller waits."""

    def __init__(self, get_response: GetResponse) -> None:
        """Wrap the rest of the chain."""
        self.get_response = get_response

    def __call__(self, request: Request) -> Response:
        """Set ``timeout_ms`` and ``deadline_s`` if the caller gave one."""
        header = request.header("HTTP_GOOSEBERRY_TIMEOUT_MS")
        if header is not None:
            request.timeout_ms = parse_timeout_ms(header)
            request.deadline_s = request.received_s + request.timeout_ms / 1000
        return self.get_response(request)


def parse_timeout_ms(text: str) -> int:
    """Return the milliseconds in a header, or raise ``ProblemError``."""
    if TOKEN.fullmatch(text) and len(text) <= MAX_TIMEOUT_DIGITS:
        value = int(text)
        if 1 <= value <= MAX_TIMEOUT_MS:
            return value
    detail = f"write whole milliseconds from 1 to {MAX_TIMEOUT_MS}"
    raise ProblemError(ProblemType.BAD_TIMEOUT, detail)


class ClassifyFilter:
    """Find the route, and check that the team may have what it names."""

    def __init__(self, get_response: GetResponse, router: Router) -> None:
        """Look routes up in ``router``."""
        self.get_response = get_response
        self.router = router

    def __call__(self, request: Request) -> Response:
        """Set route and parameters, and let the route prepare the request."""
        request.route, request.parameters = self.router.resolve(request)
        request.route.prepare(request)
        return self.get_response(request)


class AdmitFilter:
    """Bound the requests served at once, so that threads stay free to refuse."""

    def __init__(
        self, get_response: GetResponse, max_in_flight: int, metrics: Metrics
    ) -> None:
        """Serve up to ``max_in_flight`` requests at once."""
        self.get_response = get_response
        self.max_in_flight = max_in_flight
        self.metrics = metrics
        self.in_flight = 0
        self.is_draining = False
        self.lock = threading.Lock()
        self.idle = threading.Condition(self.lock)

    def __call__(self, request: Request) -> Response:
        """Admit a request, or refuse it at once."""
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
        """Admit no more, and wait for what is in flight; return whether it ended."""
        with self.lock:
            self.is_draining = True
            return self.idle.wait_for(lambda: not self.in_flight, timeout_s)


class RouteFilter:
    """The end of the chain: call the route's handler."""

    def __call__(self, request: Request) -> Response:
        """Return the handler's response."""
        handle: GetResponse = request.route.handle
        return handle(request)
