"""Measure how long no task is started after the scheduling member fails.

Callers continuously submit short jobs to the other members. The holder is killed or
paused, and the time from then until the first task started by a successor is measured.
Members and the stand-ins of the platform are processes on this machine.
"""

import itertools
import tempfile
import threading
import time
from enum import Enum
from pathlib import Path
from typing import Annotated

import typer

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    MemberProcess,
    default_configuration,
    job_body,
)
from gooseberrydeck_fleet.ledger import RUNS_PER_TOKEN
from gooseberrydeck_standins.processes import wait_for

MEMBERS = ("m1", "m2", "m3")
WORKERS_PER_PROCESS = 44
SUBMIT_EVERY_S = 0.02
SETTLE_S = 3.0
WATCHED_S = 6.0


class Loss(Enum):
    """How the holder fails."""

    KILL = "kill"
    PAUSE = "pause"


class Callers:
    """Submit jobs to the remaining members until stopped."""

    numbers = itertools.count(1)

    def __init__(self, platform: LocalPlatform) -> None:
        """Target all members; job ids are unique across all instances."""
        self.members = list(platform.members.values())
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        """Submit jobs one after the other."""
        body = job_body(seconds=0.05, tasks=1)
        while not self.stopped.wait(SUBMIT_EVERY_S):
            number = next(self.numbers)
            member = self.members[number % len(self.members)]
            member.call("POST", f"/urgent/{number:016x}", body)

    def leave(self, member: MemberProcess) -> None:
        """Stop submitting jobs to a member."""
        self.members = [each for each in self.members if each is not member]


def measure(platform: LocalPlatform, loss: Loss) -> float:
    """Fail the holder once and return the seconds until a task is started again."""
    wait_for(lambda: platform.holder() is not None, "a holder")
    holder = platform.holder()
    assert holder is not None
    callers = Callers(platform)
    callers.leave(holder)
    callers.thread.start()
    time.sleep(SETTLE_S)
    former_token = max(span.run for span in platform.spans()) // RUNS_PER_TOKEN
    lost_s = time.time()
    if loss is Loss.KILL:
        holder.kill()
    else:
        holder.pause()
    time.sleep(WATCHED_S)
    callers.stopped.set()
    callers.thread.join()
    holder.kill()
    platform.add_member(holder.name)
    platform.wait_ready()
    # Starts sent before the failure may still arrive; only the successor's count.
    successor_starts_s = [
        span.began_s
        for span in platform.spans()
        if span.run // RUNS_PER_TOKEN > former_token
    ]
    return min(successor_starts_s) - lost_s if successor_starts_s else float("inf")


def main(
    loss: Annotated[Loss, typer.Option(help="How the holder is lost.")] = Loss.KILL,
    workers: Annotated[int, typer.Option(help="How many workers there are.")] = 24,
    runs: Annotated[int, typer.Option(help="How often to measure.")] = 10,
) -> None:
    """Print the seconds of each run, the median and the maximum."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalPlatform(Path(folder)) as platform,
    ):
        platform.publish(default_configuration())
        for first in range(0, workers, WORKERS_PER_PROCESS):
            platform.add_workers(min(WORKERS_PER_PROCESS, workers - first))
        for name in MEMBERS:
            platform.add_member(name)
        platform.wait_ready()
        times_s = sorted(measure(platform, loss) for _ in range(runs))
    typer.echo(" ".join(f"{seconds:.2f}" for seconds in times_s))
    typer.echo(
        f"{loss.value}, {workers} workers: median {times_s[len(times_s) // 2]:.2f} s, "
        f"longest of {runs} {times_s[-1]:.2f} s"
    )


if __name__ == "__main__":
    typer.run(main)
