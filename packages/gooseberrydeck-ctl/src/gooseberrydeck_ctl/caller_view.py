"""A job as its caller sees it, on the users' platform."""

import http.client
from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_ctl.exceptions import CtlError, NotFoundError, UnreachableError

__all__ = ["CallerView", "read_job"]

CALL_TIMEOUT_S = 5.0
"""Time limit of one request; members answer within the caller's deadline of seconds."""

FAILURE_HEADER = "X-Failure-Reason"
OK, GONE = 200, 410


class CallerView(msgspec.Struct, frozen=True):
    """The state of a job, and why it was given up, if it was."""

    state: str
    failure: str = ""


class StateBody(msgspec.Struct):
    """The body of a member's response."""

    state: str = msgspec.field(name="State")


def read_job(addresses: Sequence[str], key: str, host: str, path: str) -> CallerView:
    """Return a job from the first member that knows its state.

    ``addresses`` are those that members have for callers. Raise a ``CtlError`` if no
    member answers, the job isn't known, or the answer can't be read.
    """
    headers = {"Host": host, "Authorization": f"Bearer {key}"}
    errors = []
    for address in addresses:
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            errors.append(f"{address}: {error or type(error).__name__}")
            continue
        finally:
            connection.close()
        if response.status == GONE:
            raise NotFoundError(f"no such job: {path}")
        if response.status == OK:
            try:
                state = decode_json(body, StateBody).state
            except DecodingError as error:
                raise CtlError(f"the answer cannot be read: {error}") from error
            return CallerView(state, response.headers.get(FAILURE_HEADER, ""))
        errors.append(f"{address}: status {response.status}")
    raise UnreachableError("no member answers: " + "; ".join(errors))
