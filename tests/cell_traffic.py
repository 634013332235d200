"""Callers of a cell of processes, and what each request has come to."""

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
PAUSE_S = 0.01
CALL_TIMEOUT_S = 20.0


class Outcome(Enum):
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"
    WRONG = "wrong"


class Sent(msgspec.Struct, frozen=True):
    """One request, when it was sent and answered, and what came of it."""

    tag: str
    outcome: Outcome
    sent_s: float
    ended_s: float
    member: str
    detail: str = ""


class Balancer:
    """Offer the members that said they were ready when last asked, in turn."""

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
    """Callers that send tagged requests one after the other until stopped."""

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
        self.sent: list[Sent] = []
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
            time.sleep(PAUSE_S)

    def send(self, connection: HttpConnection, member: str, tag: str) -> Sent:
        body = json.dumps({"tag": tag, "service_ms": self.service_ms}).encode()
        begin = time.monotonic()
        detail = ""
        try:
            answer = connection.request(
                "POST", self.path, body, self.headers, CALL_TIMEOUT_S
            )
        except HttpNotSentError as error:
            outcome, detail = Outcome.NOT_SENT, str(error)
        except HttpError as error:
            outcome, detail = Outcome.UNKNOWN, str(error)
        else:
            outcome = outcome_of(answer, body)
            if outcome is not Outcome.ANSWERED:
                detail = answer.body.decode()
        return Sent(tag, outcome, begin, time.monotonic(), member, detail)

    def counts(self) -> Counter[Outcome]:
        return Counter(each.outcome for each in list(self.sent))

    def answered_since(self, begin_s: float) -> int:
        """Return how many requests sent after a moment have been answered."""
        return sum(
            each.outcome is Outcome.ANSWERED and each.sent_s > begin_s
            for each in list(self.sent)
        )

    def problems(self, runs: Counter[str]) -> list[Sent]:
        """Return the requests whose outcome does not fit how often they ran."""
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
        """Let every caller finish its request."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.balancer.stopped.set()
        self.balancer.thread.join()


def outcome_of(answer: HttpResponse, body: bytes) -> Outcome:
    if answer.status == 200:
        return Outcome.ANSWERED if answer.body == body else Outcome.WRONG
    try:
        return Outcome(json.loads(answer.body)["outcome"])
    except (ValueError, KeyError, TypeError):
        return Outcome.WRONG


def runs_by_tag(cell: LocalCell) -> Counter[str]:
    """Return how often each tagged request has run, at any endpoint."""
    return Counter(run.tag for each in cell.summaries() for run in each.runs)
