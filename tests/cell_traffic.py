"""Load generator for a cell of processes that records the outcome of each request."""

import json
import threading
import time
from collections import Counter, deque
from enum import Enum

import msgspec

from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpConnection,
    HttpError,
    HttpNotSentError,
    HttpResponse,
)
from gooseberrydeck_standins.local_cell import LocalCell

BALANCER_POLL_S = 0.05
REQUEST_PAUSE_S = 0.01
CALL_TIMEOUT_S = 20.0


class Outcome(Enum):
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"
    WRONG = "wrong"


class SentRequest(msgspec.Struct, frozen=True):
    """One request with its outcome; times are monotonic seconds."""

    tag: str
    outcome: Outcome
    sent_s: float
    ended_s: float
    member: str
    detail: str = ""


class Balancer:
    """Round-robin selection among the members that were ready at the last poll."""

    def __init__(self, cell: LocalCell) -> None:
        self.cell = cell
        self.lock = threading.Lock()
        self.ready: deque[tuple[str, HttpAddress]] = deque()
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        while not self.stopped.wait(BALANCER_POLL_S):
            members = list(self.cell.members.values())
            ready = [each for each in members if each.is_alive() and each.is_ready()]
            with self.lock:
                self.ready = deque((each.name, each.callers) for each in ready)

    def choose(self) -> tuple[str, HttpAddress] | None:
        with self.lock:
            if not self.ready:
                return None
            self.ready.rotate(-1)
            return self.ready[0]


class Traffic:
    """Callers that each send tagged requests in sequence until stopped."""

    def __init__(
        self,
        cell: LocalCell,
        path: str,
        headers: dict[str, str],
        callers: int = 4,
        service_ms: float = 5.0,
    ) -> None:
        self.cell = cell
        self.path = path
        self.headers = headers
        self.service_ms = service_ms
        self.balancer = Balancer(cell)
        self.sent: list[SentRequest] = []
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def run(self, caller: int) -> None:
        connections: dict[HttpAddress, HttpConnection] = {}
        number = 0
        while not self.stopped.is_set():
            chosen = self.balancer.choose()
            if chosen is not None:
                name, address = chosen
                connection = connections.setdefault(address, HttpConnection(address))
                self.sent.append(self.send(connection, name, f"{caller}-{number}"))
                number += 1
            time.sleep(REQUEST_PAUSE_S)

    def send(self, connection: HttpConnection, member: str, tag: str) -> SentRequest:
        body = json.dumps({"tag": tag, "service_ms": self.service_ms}).encode()
        sent_s = time.monotonic()
        detail = ""
        try:
            response = connection.request(
                "POST", self.path, body, self.headers, CALL_TIMEOUT_S
            )
        except HttpNotSentError as error:
            outcome, detail = Outcome.NOT_SENT, str(error)
        except HttpError as error:
            outcome, detail = Outcome.UNKNOWN, str(error)
        else:
            outcome = outcome_of(response, body)
            if outcome is not Outcome.ANSWERED:
                detail = response.body.decode()
        return SentRequest(tag, outcome, sent_s, time.monotonic(), member, detail)

    def counts(self) -> Counter[Outcome]:
        return Counter(each.outcome for each in list(self.sent))

    def answered_since(self, begin_s: float) -> int:
        """Return the number of answered requests that were sent after ``begin_s``."""
        return sum(
            each.outcome is Outcome.ANSWERED and each.sent_s > begin_s
            for each in list(self.sent)
        )

    def outcome_mismatches(self, runs: Counter[str]) -> list[SentRequest]:
        """Return the requests whose outcome contradicts the number of their runs."""
        allowed = {
            Outcome.ANSWERED: {1},
            Outcome.NOT_RUN: {0},
            Outcome.NOT_SENT: {0},
            Outcome.UNKNOWN: {0, 1},
            Outcome.WRONG: set(),
        }
        return [
            each for each in self.sent if runs[each.tag] not in allowed[each.outcome]
        ]

    def __enter__(self) -> "Traffic":
        for thread in (self.balancer.thread, *self.threads):
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop all callers after their current request."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.balancer.stopped.set()
        self.balancer.thread.join()


def outcome_of(response: HttpResponse, body: bytes) -> Outcome:
    if response.status == 200:
        return Outcome.ANSWERED if response.body == body else Outcome.WRONG
    try:
        return Outcome(json.loads(response.body)["outcome"])
    except (ValueError, KeyError, TypeError):
        return Outcome.WRONG


def runs_by_tag(cell: LocalCell) -> Counter[str]:
    """Return the number of runs of each tag, over all endpoints."""
    return Counter(run.tag for each in cell.summaries() for run in each.runs)
