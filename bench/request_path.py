"""Measure the throughput and the added latency of requests through gooseberryd.

Each result is measured together with its baseline, the same callers sending requests
directly to the endpoints. Run: ``python bench/request_path.py``.
"""

import os
import time
from typing import Any

import typer

from cell_processes import (
    Cell,
    measure,
    processor_time_s,
    resident_mib,
    simple_configuration,
)

TARGET_ONE_PER_S = 1_500
TARGET_SIX_PER_S = 3_000
TARGET_ADDED_P99_MS = 5.0
ENDPOINTS = 24
ENDPOINT_PROCESSES = 3


def show(name: str, result: dict[str, Any]) -> None:
    """Print one measurement."""
    print(
        f"{name:<34} {result['answers_per_s']:>8.0f}/s "
        f"p50 {result['p50_ms']:>7.2f} ms  p99 {result['p99_ms']:>7.2f} ms  "
        f"p99.9 {result['p999_ms']:>7.2f} ms  {result['statuses']}",
        flush=True,
    )


def throughput(cell: Cell, name: str, processes: int, threads: int, s: float) -> float:
    """Measure the throughput without pauses, direct and through the members."""
    show(f"{name} direct", measure(cell.direct_targets(), processes, threads, s))
    before = [processor_time_s(process) for process in cell.member_processes]
    started = time.monotonic()
    result = measure(cell.member_targets(), processes, threads, s)
    elapsed = time.monotonic() - started
    show(f"{name} through", result)
    used = [
        (processor_time_s(process) - earlier) / elapsed
        for process, earlier in zip(cell.member_processes, before, strict=True)
    ]
    memory = max(resident_mib(process) for process in cell.member_processes)
    cores = ", ".join(f"{value:.2f}" for value in used)
    print(f"  cores used by members: {cores}; most resident memory {memory:.0f} MiB")
    return float(result["answers_per_s"])


def added_p99(cell: Cell, name: str, rate: float, rounds: int, s: float) -> float:
    """Return the median added p99 latency at a steady rate, in milliseconds."""
    added = []
    for number in range(rounds):
        direct = measure(cell.direct_targets(), 3, 16, s, rate, seed=number)
        show(f"{name} direct {rate:.0f}/s", direct)
        through = measure(cell.member_targets(), 3, 16, s, rate, seed=number)
        show(f"{name} through {rate:.0f}/s", through)
        added.append(through["p99_ms"] - direct["p99_ms"])
    added.sort()
    print(f"  added p99 of each round: {', '.join(f'{ms:.2f}' for ms in added)} ms")
    return added[len(added) // 2]


def main(seconds: float = 6.0, rounds: int = 3, six: bool = True) -> None:
    """Measure one member and, optionally, six members."""
    print(f"{os.cpu_count()} processors, load {os.getloadavg()[0]:.1f}")
    with Cell(1, ENDPOINTS, ENDPOINT_PROCESSES, simple_configuration()) as cell:
        one = throughput(cell, "one member", 4, 8, seconds)
        added = added_p99(cell, "one member", TARGET_ONE_PER_S / 3, rounds, seconds)
    print(f"one member: {one:.0f}/s (target {TARGET_ONE_PER_S})")
    print(f"added p99, median: {added:.2f} ms (target {TARGET_ADDED_P99_MS})")
    if six:
        with Cell(6, ENDPOINTS, ENDPOINT_PROCESSES, simple_configuration()) as cell:
            all_six = throughput(cell, "six members", 6, 8, seconds)
        print(f"six members: {all_six:.0f}/s (target {TARGET_SIX_PER_S})")
    print(f"load at the end {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    typer.run(main)
