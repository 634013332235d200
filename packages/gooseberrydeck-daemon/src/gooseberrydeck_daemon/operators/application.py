"""The WSGI application of the operators' listener."""

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

BEARER = "bearer "
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
OPERATOR_KEY = "gooseberrydeck.operator"

GetResponse = Callable[[Request], Response]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

log = structlog.get_logger(__name__)


class OperatorProblemFilter:
    """Give each request an id, and turn every failure into a problem."""

    def __init__(self, get_response: GetResponse, metrics: Metrics) -> None:
        """Wrap the rest of the chain."""
        self.get_response = get_response
        self.metrics = metrics

    def __call__(self, request: Request) -> Response:
        """Return the response, whatever happens."""
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
            log.exception("operators' request handler crashed", path=request.path)
            detail = f"the member failed with {type(error).__name__}"
            problem = OperatorProblemError(
                OperatorProblem.INTERNAL, detail, Outcome.UNKNOWN
            )
            return problem.to_response()


class AuthenticateOperatorFilter:
    """Take requests only with a key that the settings name."""

    def __init__(self, get_response: GetResponse, keys: Sequence[OperatorKey]) -> None:
        """Know the operators by the hashes of their keys."""
        self.get_response = get_response
        self.keys = tuple(keys)

    def __call__(self, request: Request) -> Response:
        """Set the operator, or refuse the request."""
        header = request.header("HTTP_AUTHORIZATION") or ""
        if header[: len(BEARER)].lower() != BEARER:
            detail = "send the header Authorization: Bearer KEY"
            raise OperatorProblemError(OperatorProblem.KEY_MISSING, detail)
        operator = self.find(header[len(BEARER) :].strip())
        request.parameters = {OPERATOR_KEY: operator}
        return self.get_response(request)

    def find(self, secret: str) -> str:
        """Return the name of the operator; every key is compared in full."""
        digest = hash_secret(secret[:MAX_SECRET_LENGTH])
        found = ""
        for key in self.keys:
            if hmac.compare_digest(key.sha256, digest):
                found = key.id
        if not found:
            raise OperatorProblemError(OperatorProblem.KEY_UNKNOWN)
        return found


class BoundBodyFilter:
    """Refuse bodies without a length or above the listener's bound."""

    def __init__(self, get_response: GetResponse, max_body_bytes: int) -> None:
        """Take bodies of up to ``max_body_bytes``."""
        self.get_response = get_response
        self.max_body_bytes = max_body_bytes

    def __call__(self, request: Request) -> Response:
        """Check the length."""
        if request.method in METHODS_WITH_BODY:
            length = request.header("CONTENT_LENGTH") or ""
            if not (length.isascii() and length.isdigit()):
                raise OperatorProblemError(OperatorProblem.LENGTH_REQUIRED)
            if int(length) > self.max_body_bytes:
                detail = f"send at most {self.max_body_bytes} bytes"
                raise OperatorProblemError(OperatorProblem.BODY_TOO_LARGE, detail)
        return self.get_response(request)


class RouteOperatorFilter:
    """The end of the chain: find the route and call its handler."""

    def __init__(self, router: Router) -> None:
        """Look routes up in ``router``."""
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
    """Build the filters, the innermost first."""
    bound = BoundBodyFilter(RouteOperatorFilter(router), max_body_bytes)
    authenticate = AuthenticateOperatorFilter(bound, keys)
    return OperatorProblemFilter(authenticate, metrics)


class OperatorsApplication:
    """Turn WSGI calls into requests, and responses into WSGI's."""

    def __init__(self, chain: GetResponse, metrics: Metrics) -> None:
        """Serve every path by ``chain``."""
        self.chain = chain
        self.metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI call."""
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
