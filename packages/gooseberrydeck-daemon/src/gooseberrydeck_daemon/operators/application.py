"""WSGI application and filters of the operators' listener."""

import hmac
import secrets
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import structlog

from gooseberrydeck_configuration.keys import MAX_SECRET_LENGTH, hash_secret
from gooseberrydeck_coordination.ids import RequestId
from gooseberrydeck_daemon.dispatch.exceptions import Outcome
from gooseberrydeck_daemon.http.problems import ProblemError
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)
from gooseberrydeck_daemon.settings import OperatorKey
from gooseberrydeck_service.responses import Response, status_line

__all__ = [
    "AuthenticateOperatorFilter",
    "OperatorsApplication",
    "build_operators_chain",
]

BEARER_PREFIX = "bearer "
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
OPERATOR_PARAMETER = "gooseberrydeck.operator"

GetResponse = Callable[[Request], Response]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

log = structlog.get_logger(__name__)


class OperatorProblemFilter:
    """Assign a request id, and convert exceptions to problem details."""

    def __init__(self, get_response: GetResponse, metrics: Metrics) -> None:
        """Wrap the next filter."""
        self.get_response = get_response
        self.metrics = metrics

    def __call__(self, request: Request) -> Response:
        """Return the response, or problem details for any exception."""
        request.id = RequestId(secrets.token_hex(12))
        try:
            return self.get_response(request)
        except OperatorProblemError as error:
            self.metrics.count(f"operators.problems.{error.kind.slug}")
            return error.to_response()
        except ProblemError as error:
            self.metrics.count(f"operators.problems.{error.kind.slug}")
            return error.to_response(request.id)
        except Exception as error:
            log.exception("operator request handler crashed", path=request.path)
            detail = f"the member failed with {type(error).__name__}"
            problem = OperatorProblemError(
                OperatorProblem.INTERNAL, detail, Outcome.UNKNOWN
            )
            return problem.to_response()


class AuthenticateOperatorFilter:
    """Authenticate operators by the keys in the settings."""

    def __init__(self, get_response: GetResponse, keys: Sequence[OperatorKey]) -> None:
        """Accept ``keys``, which hold the SHA-256 hashes of the secrets."""
        self.get_response = get_response
        self.keys = tuple(keys)

    def __call__(self, request: Request) -> Response:
        """Set the operator; raise ``OperatorProblemError`` for a bad key."""
        header = request.header("HTTP_AUTHORIZATION") or ""
        if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            detail = "send the header Authorization: Bearer KEY"
            raise OperatorProblemError(OperatorProblem.KEY_MISSING, detail)
        operator = self.find_operator(header[len(BEARER_PREFIX) :].strip())
        request.parameters = {OPERATOR_PARAMETER: operator}
        return self.get_response(request)

    def find_operator(self, secret: str) -> str:
        """Return the name of the operator with that secret.

        Every key is compared in constant time, without an early exit, so that timing
        reveals nothing about the keys.
        """
        digest = hash_secret(secret[:MAX_SECRET_LENGTH])
        found = ""
        for key in self.keys:
            if hmac.compare_digest(key.sha256, digest):
                found = key.id
        if not found:
            raise OperatorProblemError(OperatorProblem.KEY_UNKNOWN)
        return found


class BodyLimitFilter:
    """Reject bodies of unknown length or above the listener's limit."""

    def __init__(self, get_response: GetResponse, max_body_bytes: int) -> None:
        """Accept bodies of up to ``max_body_bytes``."""
        self.get_response = get_response
        self.max_body_bytes = max_body_bytes

    def __call__(self, request: Request) -> Response:
        """Check Content-Length for methods that have a body."""
        if request.method in METHODS_WITH_BODY:
            length = request.header("CONTENT_LENGTH") or ""
            if not (length.isascii() and length.isdigit()):
                raise OperatorProblemError(OperatorProblem.LENGTH_REQUIRED)
            if int(length) > self.max_body_bytes:
                detail = f"send at most {self.max_body_bytes} bytes"
                raise OperatorProblemError(OperatorProblem.BODY_TOO_LARGE, detail)
        return self.get_response(request)


class RouteFilter:
    """Resolve the route and call its handler; the last step of the chain."""

    def __init__(self, router: Router) -> None:
        """Look up routes in ``router``."""
        self.router = router

    def __call__(self, request: Request) -> Response:
        """Return the handler's response."""
        route, parameters = self.router.resolve(request)
        request.parameters = {**request.parameters, **parameters}
        return route.handle(request)


def build_operators_chain(
    router: Router,
    keys: Sequence[OperatorKey],
    max_body_bytes: int,
    metrics: Metrics,
) -> GetResponse:
    """Return the filter chain of the operators' listener.

    The filters are created from the innermost to the outermost.
    """
    body_limit = BodyLimitFilter(RouteFilter(router), max_body_bytes)
    authenticate = AuthenticateOperatorFilter(body_limit, keys)
    return OperatorProblemFilter(authenticate, metrics)


class OperatorsApplication:
    """WSGI application of the operators' listener."""

    def __init__(self, chain: GetResponse, metrics: Metrics) -> None:
        """Serve all paths through ``chain``."""
        self.chain = chain
        self.metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        response = self.chain(Request.from_environ(environ))
        self.metrics.count(f"operators.answers.{response.status}")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
            *response.headers,
        ]
        start_response(status_line(response.status), headers)
        return [response.body]
