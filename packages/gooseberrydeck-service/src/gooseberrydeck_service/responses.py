"""HTTP responses."""

from http import HTTPStatus

import msgspec

__all__ = ["JSON", "Response", "json_response", "status_line"]

JSON = "application/json"
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class Response(msgspec.Struct):
    """An HTTP response."""

    status: int
    content_type: str
    body: bytes
    headers: list[tuple[str, str]] = []


def json_response(status: int, value: object) -> Response:
    """Return a response with ``value`` as JSON."""
    return Response(status, JSON, msgspec.json.encode(value))


def status_line(status: int) -> str:
    """Return a WSGI status line: the status code and its reason phrase."""
    return f"{status} {REASON_PHRASES.get(status, 'Unknown')}"
