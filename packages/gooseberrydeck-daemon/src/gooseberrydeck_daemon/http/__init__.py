"""The callers' HTTP interface."""

from gooseberrydeck_daemon.http.application import Application, build_chain
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.http.responses import Response
from gooseberrydeck_daemon.http.router import Route, Router
from gooseberrydeck_daemon.http.server import HttpServer

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
