"""Measure the idle cost of a member by number of members and workers.

Every data point is a new cell of real processes on this machine: stand-ins of the
platform, and ``gooseberryd`` members. Run it as

    .venv/bin/python bench/control_cost.py --members 3,7,14,30 --workers 24,200,600,1300

It prints one line of JSON for each data point, and the slopes over all of them.
"""

import argparse
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import msgspec
import numpy as np
import psutil

from gooseberrydeck_configuration.objects import (
    Configuration,
    Limit,
    Service,
    Share,
    Team,
)
from gooseberrydeck_coordination.ids import ServiceName, TeamName
from gooseberrydeck_standins.local_cell import LocalCell

TEAMS = 57
LIMIT_UNITS = 500
SERVICE = ServiceName("lookups")
SHARDS_PER_MEMBER = 2
SETTLE_S = 15.0
MIB = 1_048_576
WORKERS_PER_PROCESS = 200
STATSD_PACKET_BYTES = 65_536
PEER_BYTES_COUNTER = "peers.bytes.sent"


class Point(msgspec.Struct, frozen=True):
    """The cost of one member, averaged over the members of a cell."""

    members: int
    workers: int
    seconds: float
    cpu_percent: float
    cpu_percent_max: float
    resident_mib: float
    resident_mib_max: float
    peer_bytes_per_s: float
    store_calls_per_s: dict[str, float]


class StatsdSink:
    """A statsd server that sums up the counters of all members."""

    def __init__(self) -> None:
        """Listen on a free port in a background thread."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.counts: Counter[str] = Counter()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Receive packets until the process exits."""
        while True:
            packet = self.socket.recv(STATSD_PACKET_BYTES).decode()
            for line in packet.splitlines():
                name, _, rest = line.partition(":")
                value, _, kind = rest.partition("|")
                if kind.startswith("c"):
                    self.counts[name.partition(".")[2]] += int(float(value))


def configuration() -> Configuration:
    """Return a configuration of the planned number of teams, ``TEAMS``."""
    teams = [TeamName(f"team-{number:02d}") for number in range(TEAMS)]
    return Configuration(
        teams=tuple(Team(team) for team in teams),
        shares=tuple(Share(team, 1 / TEAMS) for team in teams),
        limits=tuple(Limit(team, LIMIT_UNITS) for team in teams),
        services=(Service(SERVICE, teams=tuple(teams)),),
    )


def measure(members: int, workers: int, seconds: float) -> Point:
    """Start a cell, wait until it is idle, and measure it."""
    with tempfile.TemporaryDirectory() as folder:
        shards = members * SHARDS_PER_MEMBER
        sink = StatsdSink()
        statsd = {"address": "127.0.0.1", "port": sink.port, "prefix": "member"}
        with LocalCell(Path(folder), shards=shards) as cell:
            for start in range(0, workers, WORKERS_PER_PROCESS):
                cell.add_workers(
                    min(WORKERS_PER_PROCESS, workers - start),
                    "--prefix",
                    f"w{start // WORKERS_PER_PROCESS}-",
                )
            cell.add_endpoints(SERVICE, 8)
            names = [f"m{number}" for number in range(members)]
            cell.plan_members(*names)
            for name in names:
                host_list = {"address": str(cell.host_list.address)}
                cell.add_member(name, statsd=statsd, host_list=host_list)
            cell.wait_ready()
            cell.publish(configuration())
            time.sleep(SETTLE_S)
            return observe(cell, sink, workers, seconds)


def observe(cell: LocalCell, sink: StatsdSink, workers: int, seconds: float) -> Point:
    """Measure a cell for the given number of seconds."""
    processes = [psutil.Process(each.process.pid) for each in cell.members.values()]
    cpu_before = [cpu_seconds(process) for process in processes]
    calls_before = store_calls(cell)
    bytes_before = sink.counts[PEER_BYTES_COUNTER]
    started_s = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    cpu = [
        100 * (cpu_seconds(process) - before) / elapsed_s
        for process, before in zip(processes, cpu_before, strict=True)
    ]
    resident = [process.memory_info().rss / MIB for process in processes]
    sent_bytes = sink.counts[PEER_BYTES_COUNTER] - bytes_before
    calls = store_calls(cell)
    return Point(
        members=len(processes),
        workers=workers,
        seconds=round(elapsed_s, 1),
        cpu_percent=round(float(np.mean(cpu)), 2),
        cpu_percent_max=round(max(cpu), 2),
        resident_mib=round(float(np.mean(resident)), 1),
        resident_mib_max=round(max(resident), 1),
        peer_bytes_per_s=round(sent_bytes / elapsed_s / len(processes), 1),
        store_calls_per_s={
            name: round((count - calls_before.get(name, 0)) / elapsed_s, 2)
            for name, count in sorted(calls.items())
        },
    )


def cpu_seconds(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return times.user + times.system


def store_calls(cell: LocalCell) -> dict[str, int]:
    """Return the number of calls to the store by method."""
    return msgspec.json.decode(cell.store.fetch("/calls"), type=dict[str, int])


def print_slopes(points: list[Point]) -> None:
    """Print a linear fit of each cost: base, per member and per worker.

    At least three data points are required.
    """
    if len(points) < 3:
        return
    inputs = np.array([[1.0, point.members, point.workers] for point in points])
    for name in ("cpu_percent", "resident_mib", "peer_bytes_per_s"):
        values = np.array([getattr(point, name) for point in points])
        (base, member, worker), *_ = np.linalg.lstsq(inputs, values, rcond=None)
        print(
            f"{name}: {base:.3f} + {member:.4f} x members + {worker:.5f} x workers",
            flush=True,
        )


def numbers(text: str) -> list[int]:
    """Parse a comma-separated list of integers."""
    return [int(part) for part in text.split(",")]


def main() -> int:
    """Measure all combinations of the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=numbers, default=[3, 7, 14, 30])
    parser.add_argument("--workers", type=numbers, default=[24, 200, 600, 1300])
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    points = []
    for members in arguments.members:
        for workers in arguments.workers:
            point = measure(members, workers, arguments.seconds)
            points.append(point)
            print(msgspec.json.encode(point).decode(), flush=True)
    print_slopes(points)
    return 0


if __name__ == "__main__":
    sys.exit(main())
