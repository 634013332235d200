"""HTTP client for the operators' API, with failover between members."""

import http.client
import time
from collections.abc import Iterator, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from gooseberrydeck_configuration import Difference, Problem
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.outcomes import Outcome
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
        """Return the status and body of the response that settles a request.

        That is the first one other than a 503. All addresses are tried up to
        ``MAX_PASSES`` times; if every response was a 503, the last one is returned. An
        error of one member is no answer if an earlier attempt may have taken effect:
        then, and without any response, raise ``OutcomeUnknownError``, or
        ``UnreachableError`` if nothing can have taken effect.
        """
        errors: list[str] = []
        refusal: tuple[int, bytes] | None = None
        outcome = Outcome.NOT_RUN
        for address in self.attempts():
            try:
                response = self.send_once(address, method, target, body)
            except ConnectionRefusedError as error:
                errors.append(f"{address}: {error}")
                continue
            except (OSError, http.client.HTTPException, ValueError) as error:
                outcome = outcome.followed_by(Outcome.UNKNOWN)
                errors.append(f"{address}: {error or type(error).__name__}")
                continue
            status, data = response
            if status < 400:
                return response
            refusal = response
            outcome = outcome.followed_by(outcome_of_refusal(status, data))
            errors.append(f"{address}: status {status}")
            if status != RETRIED_STATUS:
                break
        is_query = method == "GET"
        if refusal and (is_query or outcome_of_refusal(*refusal) is outcome):
            return refusal
        message = "no certain answer: " + "; ".join(dict.fromkeys(errors))
        if is_query or outcome is Outcome.NOT_RUN:
            raise UnreachableError(message)
        raise OutcomeUnknownError(message)

    def attempts(self) -> Iterator[str]:
        """Yield the addresses in turn, with a pause between the passes."""
        for pass_number in range(MAX_PASSES):
            if pass_number:
                time.sleep(PASS_PAUSE_S)
            yield from self.addresses

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


def outcome_of_refusal(status: int, data: bytes) -> Outcome:
    """Return whether a request that got an error response may have taken effect."""
    if status < 500:
        return Outcome.NOT_RUN
    try:
        problem = decode_json(data, ProblemDetails)
    except DecodingError:
        return Outcome.UNKNOWN
    is_not_run = problem.outcome == Outcome.NOT_RUN.value
    return Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN


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
        is_not_run = outcome_of_refusal(status, data) is Outcome.NOT_RUN
        return (UnreachableError if is_not_run else OutcomeUnknownError)(message)
    return CtlError(message)
