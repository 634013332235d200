"""HTTP client for the operators' API, with failover between members."""

import http.client
import time
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from gooseberrydeck_configuration import Difference, Problem
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_ctl.exceptions import (
    ConflictError,
    CtlError,
    InvalidError,
    NotFoundError,
    OutcomeUnknownError,
    UnauthorizedError,
    UnreachableError,
)

__all__ = ["Client"]

CALL_TIMEOUT_S = 15.0
MAX_PASSES = 3
PASS_PAUSE_S = 0.5
RETRIED_STATUS = 503

ResponseT = TypeVar("ResponseT")


class ProblemDetails(msgspec.Struct):
    """The parts of an RFC 9457 problem document that gooseberryctl uses."""

    title: str = ""
    detail: str = ""
    outcome: str = "unknown"
    problems: tuple[Problem, ...] = ()
    differences: tuple[Difference, ...] | None = None


class Client:
    """HTTP client that tries several members in turn.

    Every request can safely be retried: reads have no side effects, and publications
    carry an id under which they take effect at most once.
    """

    def __init__(self, addresses: Sequence[str], key: str) -> None:
        """Create a client for addresses of the form ``ADDRESS:PORT``."""
        self.addresses = tuple(addresses)
        self.key = key

    def get(self, path: str, response_type: type[ResponseT], **query: Any) -> ResponseT:
        """Send a GET request and return the decoded response."""
        return self.call("GET", path, response_type, **query)

    def call(
        self,
        method: str,
        path: str,
        response_type: type[ResponseT],
        body: bytes | None = None,
        **query: Any,
    ) -> ResponseT:
        """Send a request and return the response decoded as ``response_type``.

        Query parameters that are None are omitted. Raise a ``CtlError`` if no member
        answers, the response is an error, or it cannot be decoded.
        """
        parameters = {name: value for name, value in query.items() if value is not None}
        target = f"{path}?{urlencode(parameters)}" if parameters else path
        status, data = self.send(method, target, body)
        if status >= 400:
            raise error_from_response(status, data)
        try:
            return decode_json(data, response_type)
        except DecodingError as error:
            raise CtlError(f"the answer cannot be read: {error}") from error

    def send(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        """Return the status and body of the first response other than a 503.

        All addresses are tried up to ``MAX_PASSES`` times. If every response was a 503,
        the last one is returned. Without any response, raise ``OutcomeUnknownError`` if
        the request may have taken effect, and ``UnreachableError`` otherwise.
        """
        errors: list[str] = []
        unavailable: tuple[int, bytes] | None = None
        may_have_taken_effect = False
        for pass_number in range(MAX_PASSES):
            if pass_number:
                time.sleep(PASS_PAUSE_S)
            for address in self.addresses:
                try:
                    response = self.send_once(address, method, target, body)
                except ConnectionRefusedError as error:
                    errors.append(f"{address}: {error}")
                except (OSError, http.client.HTTPException, ValueError) as error:
                    may_have_taken_effect = True
                    errors.append(f"{address}: {error or type(error).__name__}")
                else:
                    if response[0] != RETRIED_STATUS:
                        return response
                    unavailable = response
        if unavailable is not None:
            return unavailable
        message = "no member answers: " + "; ".join(dict.fromkeys(errors))
        if may_have_taken_effect and method != "GET":
            raise OutcomeUnknownError(message)
        raise UnreachableError(message)

    def send_once(
        self, address: str, method: str, target: str, body: bytes | None
    ) -> tuple[int, bytes]:
        """Send a request to one address and return the status and body."""
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self.key}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        elif method == "POST":
            body = b""
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()


def error_from_response(status: int, data: bytes) -> CtlError:
    """Return the exception for an error response."""
    try:
        problem = decode_json(data, ProblemDetails)
    except DecodingError:
        return CtlError(f"the member answered {status}")
    message = ": ".join(part for part in (problem.title, problem.detail) if part)
    if status == 422:
        return InvalidError(message, [str(item) for item in problem.problems])
    if status == 409:
        return ConflictError(message, [str(d) for d in problem.differences or ()])
    if status == 401:
        return UnauthorizedError(message)
    if status == 404:
        return NotFoundError(message)
    if status == RETRIED_STATUS:
        is_not_run = problem.outcome == "not_run"
        return (UnreachableError if is_not_run else OutcomeUnknownError)(message)
    return CtlError(message)
