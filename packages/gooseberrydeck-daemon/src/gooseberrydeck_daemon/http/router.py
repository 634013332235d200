"""Which handler serves which path."""

from collections.abc import Callable

import msgspec

from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_service.responses import Response

__all__ = ["Handler", "Prepare", "Route", "Router"]

Handler = Callable[[Request], Response]
Prepare = Callable[[Request], None]


def prepare_nothing(_request: Request) -> None:
    """Accept every request as it is."""


class Route(msgspec.Struct, frozen=True):
    """A method and a path such as ``/v1/services/{service}``.

    ``prepare`` classifies: it checks that what is asked for exists and that the
    request's team may have it, and sets the deadline. ``handle`` then serves.
    """

    method: str
    pattern: str
    handle: Handler
    prepare: Prepare = prepare_nothing


class Router:
    """Find the route of a request."""

    def __init__(self) -> None:
        """Begin without routes."""
        self.routes: dict[int, list[tuple[tuple[str, ...], Route]]] = {}

    def add(self, route: Route) -> None:
        """Add a route."""
        segments = tuple(route.pattern.strip("/").split("/"))
        self.routes.setdefault(len(segments), []).append((segments, route))

    def resolve(self, request: Request) -> tuple[Route, dict[str, str]]:
        """Return the route and its parameters, or raise ``ProblemError``."""
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
    """Return the parameters of a path, or None if it does not match."""
    parameters: dict[str, str] = {}
    for segment, part in zip(segments, parts, strict=True):
        if segment.startswith("{"):
            if not part:
                return None
            parameters[segment[1:-1]] = part
        elif segment != part:
            return None
    return parameters
