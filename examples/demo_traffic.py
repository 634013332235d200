"""Load generator of the demo: sends requests and counts their outcomes."""

import json
import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import msgspec

from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpConnection,
    HttpError,
    HttpNotSentError,
    HttpResponse,
)

SEED = 20_261_203
CALL_TIMEOUT_S = 15.0
MAX_BUSY_CALLERS = 16


class RequestKind(msgspec.Struct, frozen=True):
    """One kind of request; ``rate`` is in requests per second."""

    title: str
    service: str
    teams: tuple[str, ...]
    rate: float
    service_ms: float


class Tally:
    """Counts of outcomes for one kind of request. Thread-safe."""

    def __init__(self, title: str) -> None:
        """Create counts of zero."""
        self.title = title
        self.lock = threading.Lock()
        self.sent = 0
        self.answered = 0
        self.wrong = 0
        self.not_run = 0
        self.unknown = 0
        self.waits_s: list[float] = []

    def count_sent(self) -> None:
        """Count a sent request."""
        with self.lock:
            self.sent += 1

    def count_answered(self, wait_s: float, is_expected: bool = True) -> None:
        """Count a complete response and whether its body is the expected one."""
        with self.lock:
            self.answered += 1
            self.wrong += not is_expected
            self.waits_s.append(wait_s)

    def count_failed(self, outcome: str) -> None:
        """Count a failed request by its outcome: ``not_run`` or unknown."""
        with self.lock:
            if outcome == "not_run":
                self.not_run += 1
            else:
                self.unknown += 1

    def wait_ms(self, quantile: float) -> float | None:
        """Return a quantile of the response times in milliseconds, or None."""
        with self.lock:
            ordered = sorted(self.waits_s)
        if not ordered:
            return None
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)] * 1_000


def outcome_of(response: HttpResponse) -> str:
    """Return the outcome that an error response states, or ``unknown``."""
    try:
        return str(json.loads(response.body)["outcome"])
    except (ValueError, KeyError, TypeError):
        return "unknown"


def team_secret(team: str) -> str:
    """Return the API secret of a team in the example configurations."""
    return f"demo-{team}"


class Caller:
    """Client with a connection to each member."""

    def __init__(self, members: Sequence[HttpAddress]) -> None:
        """Create a client; connections are opened by the first request."""
        self.connections = [HttpConnection(each) for each in members]

    def send(self, kind: RequestKind, number: int, tally: Tally) -> None:
        """Send one request to a member chosen by ``number`` and count its outcome."""
        team = kind.teams[number % len(kind.teams)]
        body = json.dumps({"claim": number, "service_ms": kind.service_ms}).encode()
        headers = {
            "Authorization": f"Bearer {team_secret(team)}",
            "Content-Type": "application/json",
        }
        connection = self.connections[number % len(self.connections)]
        tally.count_sent()
        start_s = time.monotonic()
        try:
            response = connection.request(
                "POST", f"/v1/services/{kind.service}", body, headers, CALL_TIMEOUT_S
            )
        except HttpNotSentError:
            tally.count_failed("not_run")
            return
        except HttpError:
            tally.count_failed("unknown")
            return
        if response.status == 200:
            tally.count_answered(time.monotonic() - start_s, response.body == body)
        else:
            tally.count_failed(outcome_of(response))


def send_requests(
    kind: RequestKind, members: Sequence[HttpAddress], tally: Tally, until_s: float
) -> None:
    """Send requests as a Poisson process until the monotonic time ``until_s``."""
    rng = random.Random(f"{SEED}/{kind.title}")
    idle = [Caller(members) for _ in range(MAX_BUSY_CALLERS)]

    def send(number: int) -> None:
        caller = idle.pop()
        try:
            caller.send(kind, number, tally)
        finally:
            idle.append(caller)

    due_s, number = time.monotonic(), 0
    with ThreadPoolExecutor(MAX_BUSY_CALLERS) as executor:
        while due_s < until_s:
            time.sleep(max(due_s - time.monotonic(), 0.0))
            executor.submit(send, number)
            number += 1
            due_s += rng.expovariate(kind.rate)
