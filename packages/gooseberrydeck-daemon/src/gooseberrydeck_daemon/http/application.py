"""WSGI application: health checks, and the filter chain for other paths."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.filters import (
    AdmitFilter,
    AuthenticateFilter,
    BodyLimitFilter,
    DeadlineFilter,
    GetResponse,
    InvokeHandlerFilter,
    RequestIdFilter,
    ResolveRouteFilter,
)
from gooseberrydeck_daemon.http.health import Health
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_service.responses import status_line

__all__ = ["Application", "FilterChain", "build_chain"]

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class FilterChain:
    """The filter chain, and its admission filter for draining the member."""

    def __init__(self, get_response: GetResponse, admit: AdmitFilter) -> None:
        """Store the outermost filter and the admission filter."""
        self.get_response = get_response
        self.admit = admit


def build_chain(
    router: Router,
    access: AccessIndex,
    metrics: Metrics,
    max_body_bytes: int,
    max_in_flight: int,
) -> FilterChain:
    """Return the filter chain of the callers' listener.

    The filters are created from the innermost to the outermost.
    """
    admit = AdmitFilter(InvokeHandlerFilter(), max_in_flight, metrics)
    resolve_route = ResolveRouteFilter(admit, router)
    deadline = DeadlineFilter(resolve_route)
    body_limit = BodyLimitFilter(deadline, max_body_bytes)
    authenticate = AuthenticateFilter(body_limit, access)
    return FilterChain(RequestIdFilter(authenticate, metrics), admit)


class Application:
    """WSGI application of the callers' listener."""

    def __init__(self, chain: GetResponse, health: Health, metrics: Metrics) -> None:
        """Serve the health checks from ``health``, other paths through ``chain``."""
        self.chain = chain
        self.health: Mapping[str, GetResponse] = {
            "/livez": health.livez,
            "/readyz": health.readyz,
        }
        self.metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        request = Request.from_environ(environ)
        is_read = request.method in ("GET", "HEAD")
        get_response = self.health.get(request.path) if is_read else None
        response = (get_response or self.chain)(request)
        self.metrics.count(f"http.answers.{response.status}")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(status_line(response.status), headers)
        return [response.body]
