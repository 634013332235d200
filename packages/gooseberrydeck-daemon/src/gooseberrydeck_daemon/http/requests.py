"""HTTP request as the filters and handlers see it."""

import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gooseberrydeck_coordination.ids import RequestId, TeamName

__all__ = ["Request"]


class Request(msgspec.Struct):
    """HTTP request with the attributes that the filters set.

    ``received_s`` and ``deadline_s`` are monotonic times. ``team`` is None if the
    request has no key. ``placed_s`` is the time at which the request was sent to an
    endpoint, or None. ``ResolveRouteFilter`` sets ``route`` and ``parameters``.
    """

    method: str
    path: str
    query: str
    environ: Mapping[str, Any]
    received_s: float
    id: RequestId = RequestId("")
    team: TeamName | None = None
    placed_s: float | None = None
    timeout_ms: int | None = None
    deadline_s: float = 0.0
    route: Any = None
    parameters: dict[str, str] = {}

    @classmethod
    def from_environ(cls, environ: Mapping[str, Any]) -> "Request":
        """Create a request from a WSGI environment."""
        return cls(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ.get("QUERY_STRING", ""),
            environ,
            time.monotonic(),
        )

    def header(self, name: str) -> str | None:
        """Return a header by its WSGI name, such as ``HTTP_IDEMPOTENCY_KEY``."""
        value: str | None = self.environ.get(name)
        return value

    @property
    def content_type(self) -> str:
        """Return the content type; ``application/octet-stream`` by default."""
        return self.environ.get("CONTENT_TYPE") or "application/octet-stream"

    def read_body(self) -> bytes:
        """Read and return the whole body."""
        body: bytes = self.environ["wsgi.input"].read()
        return body

    def query_values(self) -> dict[str, str]:
        """Return the query parameters, with the last value of each name."""
        return {name: values[-1] for name, values in parse_qs(self.query).items()}

    def is_caller_gone(self) -> bool:
        """Return True if the caller has closed its connection."""
        check: Callable[[], bool] | None = self.environ.get(
            "waitress.client_disconnected"
        )
        return check is not None and check()
