"""Calls to the operators' listeners, one address after another."""

import http.client
import time
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from gooseberrydeck_configuration import Difference, Problem
from gooseberrydeck_ctl.exceptions import (
    ConflictError,
    CtlError,
    InvalidError,
    NotFoundError,
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
)

__all__ = ["Client"]

CALL_TIMEOUT_S = 15.0
PASSES = 3
PASS_PAUSE_S = 0.5
RETRIED_STATUS = 503

AnswerT = TypeVar("AnswerT")


class ProblemDetails(msgspec.Struct):
    """The members of a problem that this program knows."""

    title: str = ""
    detail: str = ""
    outcome: str = "unknown"
    problems: tuple[Problem, ...] = ()
    differences: tuple[Difference, ...] | None = None


class Client:
    """Call the first address that answers.

    Every request may be sent again: reads change nothing, and publications carry an
    id under which they are made once.
    """

    def __init__(self, addresses: Sequence[str], key: str) -> None:
        """Try ``addresses``, each ``ADDRESS:PORT``, in turn."""
        self.addresses = tuple(addresses)
        self.key = key

    def get(self, path: str, answer_type: type[AnswerT], **query: Any) -> AnswerT:
        """Return a typed answer to a GET."""
        return self.call("GET", path, answer_type, **query)

    def call(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerT],
        body: bytes | None = None,
        **query: Any,
    ) -> AnswerT:
        """Return a typed answer, or raise a ``CtlError``."""
        given = {name: value for name, value in query.items() if value is not None}
        target = f"{path}?{urlencode(given)}" if given else path
        status, data = self.send(method, target, body)
        if status >= 400:
            raise failure(status, data)
        try:
            return msgspec.json.decode(data, type=answer_type)
        except msgspec.DecodeError as error:
            raise CtlError(f"the answer cannot be read: {error}") from error

    def send(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        """Return status and body of the first answer that is not a 503."""
        faults: list[str] = []
        busy: tuple[int, bytes] | None = None
        may_have_effect = False
        for number in range(PASSES):
            if number:
                time.sleep(PASS_PAUSE_S)
            for address in self.addresses:
                try:
                    answer = self.send_once(address, method, target, body)
                except ConnectionRefusedError as error:
                    faults.append(f"{address}: {error}")
                except (OSError, http.client.HTTPException, ValueError) as error:
                    may_have_effect = True
                    faults.append(f"{address}: {error or type(error).__name__}")
                else:
                    if answer[0] != RETRIED_STATUS:
                        return answer
                    busy = answer
        if busy is not None:
            return busy
        message = "no member answers: " + "; ".join(dict.fromkeys(faults))
        if may_have_effect and method != "GET":
            raise OutcomeUnknownError(message)
        raise UnreachableError(message)

    def send_once(
        self, address: str, method: str, target: str, body: bytes | None
    ) -> tuple[int, bytes]:
        """Return status and body of one address."""
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


def failure(status: int, data: bytes) -> CtlError:
    """Return the error that a problem stands for."""
    try:
        problem = msgspec.json.decode(data, type=ProblemDetails)
    except msgspec.DecodeError:
        return CtlError(f"the member answered {status}")
    message = ": ".join(part for part in (problem.title, problem.detail) if part)
    if status == 422:
        return InvalidError(message, [str(item) for item in problem.problems])
    if status == 409:
        return ConflictError(message, [str(d) for d in problem.differences or ()])
    if status == 401:
        return RefusedError(message)
    if status == 404:
        return NotFoundError(message)
    if status == RETRIED_STATUS:
        known = problem.outcome == "not_run"
        return (UnreachableError if known else OutcomeUnknownError)(message)
    return CtlError(message)
