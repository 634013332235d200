"""Parsing of query parameters and bodies of operators' requests."""

from typing import TypeVar

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_daemon.http.requests import Request
from gooseberrydeck_daemon.operators.problems import (
    OperatorProblem,
    OperatorProblemError,
)

__all__ = ["decode_body", "number_parameter", "text_parameter"]

MAX_DIGITS = 12
MAX_TEXT_LENGTH = 1_024

BodyT = TypeVar("BodyT")


def number_parameter(request: Request, name: str, default: int | None = None) -> int:
    """Return a non-negative integer of the query string.

    Raise ``OperatorProblemError`` if it is invalid, or missing without a default.
    """
    text = request.query_values().get(name)
    if text is None and default is not None:
        return default
    if text is None:
        raise bad_parameter(name, "is missing")
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        raise bad_parameter(name, "is not a whole number")
    return int(text)


def text_parameter(request: Request, name: str, default: str | None = None) -> str:
    """Return a string of the query string.

    Raise ``OperatorProblemError`` if it is too long, or missing without a default.
    """
    text = request.query_values().get(name, default)
    if text is None:
        raise bad_parameter(name, "is missing")
    if len(text) > MAX_TEXT_LENGTH:
        raise bad_parameter(name, f"is longer than {MAX_TEXT_LENGTH} characters")
    # Some invalid percent escapes decode to surrogates, which UTF-8 cannot encode.
    return text.encode("utf-8", "replace").decode()


def bad_parameter(name: str, fault: str) -> OperatorProblemError:
    """Return the problem for an invalid parameter."""
    detail = f"the parameter {name!r} {fault}"
    return OperatorProblemError(OperatorProblem.BAD_PARAMETER, detail)


def decode_body(request: Request, body_type: type[BodyT]) -> BodyT:
    """Decode the JSON body; raise ``OperatorProblemError`` if it is invalid."""
    try:
        return decode_json(request.read_body(), body_type)
    except DecodingError as error:
        raise OperatorProblemError(OperatorProblem.BAD_BODY, str(error)) from error
