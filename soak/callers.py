"""Callers of the cell: they submit jobs and ask for their states."""

import random
import threading
import time

from gooseberrydeck_adapter_standins.local_platform import MemberProcess, job_body
from gooseberrydeck_platform.http import HttpConnection, HttpResponse
from soak.faults import Cell

__all__ = ["JobClient", "StateClient", "job_of"]

SUBMIT_EVERY_S = 0.12
ASK_EVERY_S = 0.03
DEADLY_SHARE = 0.03
"""Share of the jobs with a task that crashes each worker that starts it."""

PERIODIC_SHARE = 0.15
COMPLETED = b"completed"
REFUSED = (429, 503)
INTERNAL_ERROR = 500


def job_of(path: str) -> str:
    """Return the id of the job at a path."""
    return path.rpartition("/")[2]


class MemberConnections:
    """A caller's connections, one to each member, kept until its process is gone."""

    def __init__(self) -> None:
        """Create an object without connections."""
        self.open: dict[MemberProcess, HttpConnection] = {}

    def call(
        self, member: MemberProcess, method: str, path: str, body: bytes = b""
    ) -> HttpResponse | None:
        """Send a request to a member; return None without a complete response."""
        if member not in self.open:
            self.open[member] = HttpConnection(member.callers_address)
        response = member.call(method, path, body, self.open[member])
        if not member.is_alive():
            self.open.pop(member).close()
        return response


class JobClient:
    """Client that submits jobs to random members, with retries."""

    cpu_millis: tuple[int, ...] = (1_000, 3_000)
    """What a task may use; drawn for each job."""

    def __init__(
        self, cell: Cell, seed: int, with_crashes: bool, with_periodic: bool
    ) -> None:
        """Create a client whose jobs are generated from a seed.

        With ``with_crashes``, a few of them have a task that crashes its workers; with
        ``with_periodic``, some run several times.
        """
        self.cell = cell
        self.with_crashes = with_crashes
        self.with_periodic = with_periodic
        self.rng = random.Random(seed)
        self.connections = MemberConnections()
        self.stopping = threading.Event()
        self.accepted: list[str] = []
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.failed: set[str] = set()
        self.deadly: set[str] = set()

    def run(self) -> None:
        """Submit jobs until stopped."""
        number = 0
        while not self.stopping.wait(SUBMIT_EVERY_S):
            number += 1
            queue = self.rng.choice(("urgent", "slow"))
            self.submit(f"/{queue}/{number:016x}")

    def draw_seconds(self) -> float:
        """Return how long the tasks of a job work."""
        return self.rng.uniform(0.1, 1.2)

    def submit(self, path: str) -> None:
        """Submit a job under one id, with up to three attempts at random members.

        A job counts as refused only if every attempt was refused; otherwise its
        outcome is unknown.
        """
        is_deadly = self.with_crashes and self.rng.random() < DEADLY_SHARE
        if is_deadly:
            self.deadly.add(path)
        is_periodic = self.with_periodic and self.rng.random() < PERIODIC_SHARE
        body = job_body(
            seconds=self.draw_seconds(),
            tasks=self.rng.randint(1, 4),
            cpu=self.rng.choice(self.cpu_millis),
            steps=self.rng.randint(1, 2),
            crashing=0 if is_deadly else -1,
            occurrences=self.rng.randint(2, 4) if is_periodic else 0,
        )
        is_certain = True
        for _ in range(3):
            member = self.cell.member(self.rng.randrange(100))
            response = self.connections.call(member, "POST", path, body)
            if response is not None and response.status == INTERNAL_ERROR:
                self.failed.add(path)
            if response is not None and response.status == 200:
                self.accepted.append(path)
                return
            is_certain = (
                is_certain and response is not None and response.status in REFUSED
            )
        (self.refused if is_certain else self.unknown).add(path)


class StateClient:
    """Client that asks random members for the states of jobs, newest and oldest."""

    def __init__(self, cell: Cell, seed: int, paths: list[str]) -> None:
        """Create a client that asks for the jobs in ``paths``, which may grow."""
        self.cell = cell
        self.paths = paths
        self.rng = random.Random(seed)
        self.connections = MemberConnections()
        self.stopping = threading.Event()
        self.completed_s: dict[str, float] = {}
        """The wall-clock time at which each job was first shown as completed."""

    def run(self) -> None:
        """Ask until stopped."""
        while not self.stopping.wait(ASK_EVERY_S):
            waiting = [each for each in self.paths if each not in self.completed_s]
            if waiting:
                self.ask(self.rng.choice(waiting))

    def ask(self, path: str) -> None:
        """Ask a random member for the state of a job."""
        member = self.cell.member(self.rng.randrange(100))
        response = self.connections.call(member, "GET", path)
        if response is not None and COMPLETED in response.body:
            self.completed_s[path] = time.time()
