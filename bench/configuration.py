"""Measure how long configurations and key revocations take to apply everywhere.

The members run in this process and communicate over TCP. The store is in the same
process too.
"""

import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from structlog.testing import capture_logs

from daemon_support import call, wait_until
from gooseberrydeck_configuration import Limit
from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_standins.engine_store import CallFault
from operators_support import EXAMPLE, OperatorTestCell, running_operator_cell

POLL_S = 0.005


def measure_s(begin: Callable[[], object], is_done: Callable[[], bool]) -> float:
    """Return the seconds from the call of ``begin`` until ``is_done`` returns true."""
    start_s = time.monotonic()
    begin()
    while not is_done():
        time.sleep(POLL_S)
    return time.monotonic() - start_s


def publish_once(cell: OperatorTestCell, number: int) -> float:
    """Return the seconds until every member has applied publication ``number``."""
    limits = (Limit(TeamName("radio"), 100 + number), *EXAMPLE.limits[1:])
    changed = msgspec.structs.replace(EXAMPLE, limits=limits)
    return measure_s(
        lambda: cell.publish("m1", changed, number - 1, f"p{number}"),
        lambda: min(cell.configuration_numbers()) >= number,
    )


def withdraw_once(cell: OperatorTestCell, number: int, cut: str | None = None) -> float:
    """Issue the demo key again and return the seconds until its revocation applies.

    ``cut`` names a member that is disconnected from the store just before. Requests are
    rejected with 401, or with 503 while a member cannot determine whether the key is
    valid.
    """
    for store in cell.stores.values():
        store.fault = CallFault.NONE
    key = next(item for item in EXAMPLE.keys if item.id == "radio-1")
    cell.send_request("m1", "POST", f"/v1/keys?publication=g{number}", key)
    members = list(cell.members.values())
    wait_until(lambda: all(status(member) == 200 for member in members))
    if cut is not None:
        cell.stores[cut].fault = CallFault.DOWN
    return measure_s(
        lambda: cell.send_request(
            "m1", "DELETE", f"/v1/keys/radio-1?publication=w{number}"
        ),
        lambda: all(status(member) in (401, 503) for member in members),
    )


def status(member: object) -> int:
    """Return the response status of a member to a request with the demo key."""
    return call(member, "claim-check", key="demo-radio")[0]  # type: ignore[arg-type]


def describe(name: str, samples: list[float]) -> None:
    """Print the median and the maximum of the samples."""
    typer.echo(
        f"{name}: {len(samples)} runs, median {statistics.median(samples):.3f} s, "
        f"worst {max(samples):.3f} s"
    )


def main(
    members: Annotated[int, typer.Option()] = 7,
    runs: Annotated[int, typer.Option()] = 20,
) -> None:
    """Run both measurements, the second also with one member cut off from the store."""
    names = [f"m{index + 1}" for index in range(members)]
    with capture_logs(), running_operator_cell(*names) as cell:
        typer.echo(f"{members} members")
        describe(
            "in force everywhere", [publish_once(cell, n + 1) for n in range(runs)]
        )
        describe("refused everywhere", [withdraw_once(cell, n) for n in range(runs)])
        cut = names[-1]
        samples = [withdraw_once(cell, runs + n, cut) for n in range(runs)]
        describe("refused everywhere, one member cut off from the store", samples)


if __name__ == "__main__":
    typer.run(main)
