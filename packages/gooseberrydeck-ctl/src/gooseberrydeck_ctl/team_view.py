"""The teams' shares as the member that holds the shard sees them."""

import http.client
from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_ctl.exceptions import CtlError, UnreachableError

__all__ = ["TeamRow", "read_teams"]

CALL_TIMEOUT_S = 5.0
"""Time limit of one request; a member answers from memory."""

PATH = "/teams"
OK = 200


class TeamRow(msgspec.Struct, frozen=True):
    """A team's share in jobs per second, its use, and its jobs that wait."""

    team: str
    share: float
    use: float
    weighted_use: float
    waiting_within: int
    waiting_beyond: int


def read_teams(addresses: Sequence[str]) -> tuple[TeamRow, ...]:
    """Return the teams from the first member that holds the shard.

    ``addresses`` are those at which members serve metrics. Raise a ``CtlError`` if none
    holds it or the answer can't be read.
    """
    errors = []
    for address in addresses:
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        try:
            connection.request("GET", PATH)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            errors.append(f"{address}: {error or type(error).__name__}")
            continue
        finally:
            connection.close()
        if response.status == OK:
            try:
                return decode_json(body, tuple[TeamRow, ...])
            except DecodingError as error:
                raise CtlError(f"the answer cannot be read: {error}") from error
        errors.append(f"{address}: status {response.status}")
    raise UnreachableError("no member holds the shard: " + "; ".join(errors))
