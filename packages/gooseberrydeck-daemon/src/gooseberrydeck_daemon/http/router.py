"""Routing of requests by method and path."""

from collections.abc import Callable

import msgspec

from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_service.responses import Response

__all__ = ["Handler", "Prepare", "Route", "Router"]

Handler = Callable[[Request], Response]
Prepare = Callable[[Request], None]


def accept_unchanged(_request: Request) -> None:
    """Accept every request without checks."""


class Route(msgspec.Struct, frozen=True):
    """Handler for a method and a path pattern such as ``/v1/services/{service}``.

    ``prepare`` runs before admission: it checks that the target exists and that the
    team is authorized, and sets the deadline. ``handle`` returns the response.
    """

    method: str
    pattern: str
    handle: Handler
    prepare: Prepare = accept_unchanged


class Router:
    """Table of routes, by number of path segments."""

    def __init__(self) -> None:
        """Create a router without routes."""
        self.routes: dict[int, list[tuple[tuple[str, ...], Route]]] = {}

    def add(self, route: Route) -> None:
        """Add a route; earlier routes take precedence."""
        segments = tuple(route.pattern.strip("/").split("/"))
        self.routes.setdefault(len(segments), []).append((segments, route))

    def resolve(self, request: Request) -> tuple[Route, dict[str, str]]:
        """Return the route of a request and its path parameters.

        Raise ``ProblemError`` if the path or its method is unknown.
        """
        parts = request.path.strip("/").split("/")
        allowed: set[str] = set()
        for segments, route in self.routes.get(len(parts), ()):
            parameters = match(segments, parts)
            if parameters is None:
                continue
            if route.method == request.method:
                return route, parameters
            allowed.add(route.method)
        if allowed:
            methods = ", ".join(sorted(allowed))
            raise ProblemError(
                ProblemType.METHOD_NOT_ALLOWED,
                f"this path takes {methods}",
                headers=(("Allow", methods),),
            )
        raise ProblemError(ProblemType.PATH_UNKNOWN)


def match(segments: tuple[str, ...], parts: list[str]) -> dict[str, str] | None:
    """Return the path parameters, or None if the path does not match."""
    parameters: dict[str, str] = {}
    for segment, part in zip(segments, parts, strict=True):
        if segment.startswith("{"):
            if not part:
                return None
            parameters[segment[1:-1]] = part
        elif segment != part:
            return None
    return parameters
