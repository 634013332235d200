"""Measure how long a member's endpoints are idle after it is killed with SIGKILL.

A caller sends requests to a surviving member without pauses. An endpoint counts as
taken over when it runs its first request after the kill. Members share only the store,
which is a stand-in on the loopback interface.
"""

import hashlib
import tempfile
import threading
import time
from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Service,
    Share,
    Team,
)
from gooseberrydeck_coordination.ids import HostName, KeyId, ServiceName, TeamName
from gooseberrydeck_platform.http import HttpConnection
from gooseberrydeck_standins.local_cell import LocalCell, MemberProcess
from gooseberrydeck_standins.processes import wait_for

SECRET = "bench-secret"
TEAM = TeamName("bench")
SERVICE = ServiceName("lookups")
PATH = f"/v1/services/{SERVICE}"
HEADERS = {"Authorization": f"Bearer {SECRET}", "Content-Type": "text/plain"}
CALLERS_PER_ENDPOINT = 2
SERVICE_MS = 20.0
PAUSE_S = 0.002
SETTLE_S = 3.0
END_TIMEOUT_S = 60.0

Runs = dict[HostName, list[float]]


def configuration(slots: int) -> Configuration:
    """Return a configuration of one service."""
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    return Configuration(
        teams=(Team(TEAM),),
        keys=(Key(KeyId("k1"), TEAM, digest),),
        shares=(Share(TEAM, 1.0),),
        limits=(Limit(TEAM, slots),),
        services=(Service(SERVICE, teams=(TEAM,), timeout_ms=2_000),),
    )


def call_until(member: MemberProcess, stopped: threading.Event) -> None:
    """Send requests one after the other until ``stopped`` is set."""
    connection = HttpConnection(member.callers)
    while not stopped.is_set():
        connection.request("POST", PATH, b"claim", HEADERS)
        time.sleep(PAUSE_S)
    connection.close()


def run_times(cell: LocalCell) -> Runs:
    """Return the start times of the runs of each endpoint."""
    return {
        each.host: [run.started_s for run in each.runs] for each in cell.summaries()
    }


def has_run_since(cell: LocalCell, begin_s: float) -> bool:
    """Return whether every endpoint has run a request since ``begin_s``."""
    return all(any(at > begin_s for at in times) for times in run_times(cell).values())


def gap_after(times: list[float], killed_s: float) -> float:
    """Return the seconds from the kill to the next run of an endpoint."""
    return min(at for at in times if at > killed_s) - killed_s


def measure(members: int, endpoints: int) -> float:
    """Kill one member and return the seconds until its last endpoint runs again."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalCell(Path(folder), "bench") as cell,
    ):
        # A member prefers its own endpoints; one request keeps an endpoint busy.
        options = ("--slots", "1", "--service-ms", str(SERVICE_MS))
        cell.add_endpoints(SERVICE, endpoints, *options)
        names = [f"m{number}" for number in range(members)]
        cell.plan_members(*names)
        for name in names:
            cell.add_member(name)
        cell.wait_ready()
        cell.publish(configuration(endpoints))
        stopped = threading.Event()
        threads = [
            threading.Thread(target=call_until, args=(cell.members[names[-1]], stopped))
            for _ in range(CALLERS_PER_ENDPOINT * endpoints)
        ]
        for thread in threads:
            thread.start()
        wait_for(lambda: has_run_since(cell, 0.0), "every endpoint has run")
        time.sleep(SETTLE_S)
        killed_s = time.monotonic()
        cell.members[names[0]].kill()
        wait_for(
            lambda: has_run_since(cell, killed_s), "every endpoint runs", END_TIMEOUT_S
        )
        stopped.set()
        for thread in threads:
            thread.join()
        return max(gap_after(times, killed_s) for times in run_times(cell).values())


def main(
    members: Annotated[int, typer.Option(help="How many members the cell has.")] = 3,
    endpoints: Annotated[int, typer.Option(help="How many endpoints it has.")] = 12,
    runs: Annotated[int, typer.Option(help="How often to measure.")] = 3,
) -> None:
    """Print the seconds of each run, and the maximum."""
    times_s = [measure(members, endpoints) for _ in range(runs)]
    for number, seconds in enumerate(times_s, 1):
        typer.echo(f"run {number}: {seconds:.2f} s")
    typer.echo(f"longest of {runs}: {max(times_s):.2f} s, {members} members")


if __name__ == "__main__":
    typer.run(main)
