"""A caller's request on its way through the filters."""

import time
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gooseberrydeck_coordination.ids import RequestId, TeamName

__all__ = ["Request"]


class Request(msgspec.Struct):
    """What the caller sent, and what the filters found out about it.

    ``deadline_s`` is on the monotonic clock. ``team`` is None without a key.
    ``placed_s`` is when the request was sent to an endpoint, or None.
    ``route`` and ``parameters`` are set by the classify filter.
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
        """Return the request that a WSGI environment describes."""
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
        """Return the content type of the body."""
        return self.environ.get("CONTENT_TYPE") or "application/octet-stream"

    def read_body(self) -> bytes:
        """Return the whole body."""
        body: bytes = self.environ["wsgi.input"].read()
        return body

    def query_values(self) -> dict[str, str]:
        """Return the query's parameters; the last of each name counts."""
        return {name: values[-1] for name, values in parse_qs(self.query).items()}

    def is_caller_gone(self) -> bool:
        """Tell whether the caller has closed its connection."""
        check: Callable[[], bool] | None = self.environ.get(
            "waitress.client_disconnected"
        )
        return check is not None and check()
