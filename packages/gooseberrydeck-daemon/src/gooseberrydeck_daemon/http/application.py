"""The WSGI application: health paths, and the filter chain for all others."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.filters import (
    AdmitFilter,
    AuthenticateFilter,
    BoundSizeFilter,
    ClassifyFilter,
    DeadlineFilter,
    GetResponse,
    RequestIdFilter,
    RouteFilter,
)
from gooseberrydeck_daemon.http.health import Health
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_service.responses import status_line

__all__ = ["Application", "Chain", "build_chain"]

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Chain:
    """The built chain, and the parts of it that others need to reach."""

    def __init__(self, get_response: GetResponse, admit: AdmitFilter) -> None:
        """Keep the outermost filter and the one that admits."""
        self.get_response = get_response
        self.admit = admit


def build_chain(
    router: Router,
    access: AccessIndex,
    metrics: Metrics,
    max_body_bytes: int,
    max_in_flight: int,
) -> Chain:
    """Build the filters, the innermost first."""
    admit = AdmitFilter(RouteFilter(), max_in_flight, metrics)
    classify = ClassifyFilter(admit, router)
    deadline = DeadlineFilter(classify)
    bound = BoundSizeFilter(deadline, max_body_bytes)
    authenticate = AuthenticateFilter(bound, access)
    return Chain(RequestIdFilter(authenticate, metrics), admit)


class Application:
    """Turn WSGI calls into requests, and responses into WSGI's."""

    def __init__(self, chain: GetResponse, health: Health, metrics: Metrics) -> None:
        """Serve health paths by ``health`` and the rest by ``chain``."""
        self.chain = chain
        self.health: Mapping[str, GetResponse] = {
            "/livez": health.livez,
            "/readyz": health.readyz,
        }
        self.metrics = metrics

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI call."""
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
