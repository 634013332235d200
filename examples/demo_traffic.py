"""Callers of the demo: they send requests and keep count of what came back."""

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
    """One kind of request, and how many of it are sent in a second."""

    title: str
    service: str
    teams: tuple[str, ...]
    rate: float
    service_ms: float


class Tally:
    """Outcomes of one kind of work; several threads may count."""

    def __init__(self, title: str) -> None:
        """Begin at nothing."""
        self.title = title
        self.lock = threading.Lock()
        self.sent = 0
        self.answered = 0
        self.wrong = 0
        self.not_run = 0
        self.unknown = 0
        self.waits_s: list[float] = []

    def count_sent(self) -> None:
        """Count a request or task that was sent."""
        with self.lock:
            self.sent += 1

    def count_answered(self, wait_s: float, is_right: bool = True) -> None:
        """Count a whole answer, and whether it belongs to its request."""
        with self.lock:
            self.answered += 1
            self.wrong += not is_right
            self.waits_s.append(wait_s)

    def count_failed(self, outcome: str) -> None:
        """Count a failure by what it says of its outcome."""
        with self.lock:
            if outcome == "not_run":
                self.not_run += 1
            else:
                self.unknown += 1

    def wait_ms(self, quantile: float) -> float | None:
        """Return a quantile of the waits in milliseconds, if there are any."""
        with self.lock:
            ordered = sorted(self.waits_s)
        if not ordered:
            return None
        return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)] * 1_000


def outcome_of(response: HttpResponse) -> str:
    """Return what a failure says of its outcome."""
    try:
        return str(json.loads(response.body)["outcome"])
    except (ValueError, KeyError, TypeError):
        return "unknown"


def secret_of(team: str) -> str:
    """Return the key of a team in the example configurations."""
    return f"demo-{team}"


class Caller:
    """One caller with a connection to each entry host."""

    def __init__(self, members: Sequence[HttpAddress]) -> None:
        """Connect at the first call."""
        self.connections = [HttpConnection(each) for each in members]

    def send(self, kind: RequestKind, number: int, tally: Tally) -> None:
        """Send one request and count its outcome."""
        team = kind.teams[number % len(kind.teams)]
        body = json.dumps({"claim": number, "service_ms": kind.service_ms}).encode()
        headers = {
            "Authorization": f"Bearer {secret_of(team)}",
            "Content-Type": "application/json",
        }
        connection = self.connections[number % len(self.connections)]
        tally.count_sent()
        begin = time.monotonic()
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
            tally.count_answered(time.monotonic() - begin, response.body == body)
        else:
            tally.count_failed(outcome_of(response))


def send_requests(
    kind: RequestKind, members: Sequence[HttpAddress], tally: Tally, until_s: float
) -> None:
    """Send requests at random times at the kind's rate until a monotonic time."""
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
