"""HTTP interface for callers: WSGI application, filters and routes."""

from gooseberrydeck_daemon.http.application import Application, build_chain
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.router import Route, Router
from gooseberrydeck_service.http_server import HttpServer
from gooseberrydeck_service.responses import Response

__all__ = [
    "Application",
    "HttpServer",
    "ProblemError",
    "ProblemType",
    "Request",
    "Response",
    "Route",
    "Router",
    "build_chain",
]
