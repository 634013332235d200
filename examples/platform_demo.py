"""Demo of members on stand-ins for the users' platform.

Run it with ``make demo-platform``. It submits short lookups, a batch of reviews, a gang
and a long-running watcher, and kills the scheduling member while they run.
"""

import tempfile
import time
from pathlib import Path

import msgspec
import typer

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    default_configuration,
    job_body,
)
from gooseberrydeck_standins.processes import wait_for

MEMBERS = ("entry-1", "entry-2", "entry-3")
WORKERS = 6
LOOKUPS = 20
WAIT_S = 20.0
CRASHES_S = 60.0
"""Time in which a task has crashed enough workers to be given up."""

JOBS = {
    "/slow/00000000000000b0": ("a batch of reviews", job_body(0.5, 12, steps=2)),
    "/slow/00000000000000c0": ("a gang", job_body(0.5, 6, Gang=True)),
    "/slow/00000000000000d0": (
        "a standing watcher",
        job_body(tasks=2, LongRunning=True),
    ),
}


def submit(platform: LocalPlatform, path: str, body: bytes) -> None:
    """Submit a job to all live members, again until one of them accepts it."""

    def is_accepted() -> bool:
        responses = [
            member.call("POST", path, body)
            for member in platform.members.values()
            if member.is_alive()
        ]
        return any(
            response is not None and response.status == 200 for response in responses
        )

    wait_for(is_accepted, f"{path} is accepted", WAIT_S)


def state(platform: LocalPlatform, path: str) -> str:
    """Return the state of a job as reported by the first member that knows it."""
    for member in platform.members.values():
        response = member.call("GET", path) if member.is_alive() else None
        if response is not None and response.status == 200:
            return response.body.decode()
    return "unknown"


def show_crashing_task(platform: LocalPlatform) -> None:
    """Submit a job whose task crashes its workers, beside one that shrinks."""
    resize = {"Cpu": 4_000, "MemMb": 65_536}
    platform.workers[0].put("/capacity", msgspec.json.encode(resize))
    typer.echo("shrunk: the first worker, to 4 processors")
    path = "/slow/00000000000000e0"
    submit(platform, path, job_body(tasks=2, crashing=0))
    typer.echo(f"accepted: a job with a task that crashes its workers ({path})")
    wait_for(lambda: "failed" in state(platform, path), "it is given up", CRASHES_S)
    for member in platform.members.values():
        response = member.call("GET", path) if member.is_alive() else None
        if response is not None and "x-failure-reason" in response.headers:
            typer.echo(f"given up: {response.headers['x-failure-reason']}")
            return


def main() -> None:
    """Run the demo and print its progress."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalPlatform(Path(folder)) as platform,
    ):
        platform.publish(default_configuration(with_advice=True))
        platform.add_workers(WORKERS)
        for name in MEMBERS:
            platform.add_member(name)
        platform.wait_ready()
        wait_for(lambda: platform.holder() is not None, "a holder", WAIT_S)
        for path, (what, body) in JOBS.items():
            submit(platform, path, body)
            typer.echo(f"accepted: {what} ({path})")
        began_s = time.monotonic()
        lookups = [f"/urgent/{number:016x}" for number in range(1, LOOKUPS + 1)]
        for number, path in enumerate(lookups):
            if number == LOOKUPS // 2:
                holder = platform.holder()
                if holder is not None:
                    typer.echo(f"killed: {holder.name}, which scheduled")
                    holder.kill()
            submit(platform, path, job_body(0.2, 3))
        wait_for(
            lambda: all("completed" in state(platform, path) for path in lookups),
            "the lookups are completed",
            WAIT_S,
        )
        typer.echo(f"{LOOKUPS} lookups in {time.monotonic() - began_s:.1f} s")
        show_crashing_task(platform)
        for path, (what, _) in JOBS.items():
            wait_for(
                lambda path=path: "queued" not in state(platform, path), what, WAIT_S
            )
        wait_for(
            lambda: "completed" in state(platform, "/slow/00000000000000b0"),
            "the reviews are completed",
            WAIT_S,
        )
        for path, (what, _) in JOBS.items():
            typer.echo(f"{what}: {state(platform, path)}")
        typer.echo(f"tasks that ran twice or over room: {platform.violations()}")


if __name__ == "__main__":
    typer.run(main)
