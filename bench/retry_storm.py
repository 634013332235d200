"""Reproduce a retry storm and measure whether goodput recovers.

Callers arrive at a steady rate. Each abandons an attempt after a timeout and retries at
once, until it gets a response or gives up. All endpoints are paused for some seconds to
trigger the storm. Each mechanism is measured alone, and all of them together. Run:
``python bench/retry_storm.py``.
"""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import typer

from cell_processes import SECRET, Cell, processor_time_s, simple_configuration

ENDPOINTS = 2
SLOTS = 4
WORK_MS = 60.0
ARRIVALS_PER_S = 110.0
ATTEMPT_TIMEOUT_S = 0.5
PATIENCE_S = 5.0
BEFORE_S = 6.0
SHOCK_S = 4.0
AFTER_S = 18.0
CALLER_PROCESSES = 2
CALLER_THREADS = 450
RECOVERED_SHARE = 0.95

MECHANISMS = (
    "has_deadline_admission",
    "has_caller_watch",
    "has_fresh_first",
    "has_retry_budget",
    "has_breakers",
)
VARIANTS: dict[str, tuple[str, ...]] = {
    "none": (),
    **{name: (name,) for name in MECHANISMS},
    "all": MECHANISMS,
    **{
        f"all but {name}": tuple(item for item in MECHANISMS if item != name)
        for name in MECHANISMS
    },
}

application = typer.Typer()


def ask_until_answered(port: int, name: str, has_deadline: bool) -> tuple[float, int]:
    """Return the time of the response to a caller (0 for none) and its attempts."""
    headers = {"Authorization": f"Bearer {SECRET}", "Content-Type": "text/plain"}
    if has_deadline:
        headers["Gooseberry-Timeout-Ms"] = str(int(ATTEMPT_TIMEOUT_S * 1000))
    end = time.monotonic() + PATIENCE_S
    attempts = 0
    while (begun := time.monotonic()) < end:
        attempts += 1
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=ATTEMPT_TIMEOUT_S
        )
        try:
            connection.request("POST", "/v1/services/lookup", name, headers)
            response = connection.getresponse()
            response.read()
            if response.status == 200:
                return time.monotonic(), attempts
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        # Even a rejected attempt is retried only after its full timeout.
        time.sleep(max(0.0, begun + ATTEMPT_TIMEOUT_S - time.monotonic()))
    return 0.0, attempts


@application.command()
def callers(port: int, rate: float, begin: float, end: float, deadline: int) -> None:
    """Run callers that arrive at a rate; print the useful responses of each second."""
    rng = random.Random(int(rate) + os.getpid() % 2)
    useful: Counter[int] = Counter()
    counts: Counter[str] = Counter()
    lock = threading.Lock()

    def one(name: str) -> None:
        answered_s, attempts = ask_until_answered(port, name, deadline)
        with lock:
            counts["attempts"] += attempts
            counts["answered" if answered_s else "given up"] += 1
            if answered_s:
                useful[int(answered_s - begin)] += 1

    with ThreadPoolExecutor(CALLER_THREADS) as executor:
        due, number = begin, 0
        while due < end:
            time.sleep(max(0.0, due - time.monotonic()))
            if executor._work_queue.qsize() == 0:
                executor.submit(one, f"{os.getpid()}-{number}")
            else:
                counts["not sent"] += 1
            number += 1
            due += rng.expovariate(rate)
    print(json.dumps({"useful": useful, "counts": counts}))


def run_variant(name: str, has_deadline: bool) -> str:
    """Measure one combination of mechanisms and return its table row."""
    chosen = VARIANTS[name]
    overload = {item: item in chosen for item in MECHANISMS}
    configuration = simple_configuration(is_idempotent=True, max_waiting=512)
    with Cell(
        1,
        ENDPOINTS,
        ENDPOINTS,
        configuration,
        work_ms=WORK_MS,
        slots=SLOTS,
        callers_threads=600,
        settings={"overload": overload},
    ) as cell:
        begin = time.monotonic() + 1.5
        end = begin + BEFORE_S + SHOCK_S + AFTER_S
        arguments = [
            str(cell.member_ports[0]),
            str(ARRIVALS_PER_S / CALLER_PROCESSES),
            str(begin),
            str(end),
            str(int(has_deadline)),
        ]
        command = [sys.executable, __file__, "callers", *arguments]
        running = [
            subprocess.Popen(command, stdout=subprocess.PIPE)
            for _ in range(CALLER_PROCESSES)
        ]
        frozen = cell.processes[:ENDPOINTS]
        used = processor_time_s(cell.member_processes[0])
        time.sleep(max(0.0, begin + BEFORE_S - time.monotonic()))
        for process in frozen:
            process.send_signal(signal.SIGSTOP)
        time.sleep(max(0.0, begin + BEFORE_S + SHOCK_S - time.monotonic()))
        for process in frozen:
            process.send_signal(signal.SIGCONT)
        useful: Counter[int] = Counter()
        counts: Counter[str] = Counter()
        for process in running:
            result = json.loads(process.communicate()[0])
            useful.update({int(key): n for key, n in result["useful"].items()})
            counts.update(result["counts"])
        used = processor_time_s(cell.member_processes[0]) - used
    return describe(name, useful, counts, used)


def describe(name: str, useful: Counter[int], counts: Counter[str], used: float) -> str:
    """Format the table row of one variant."""
    first_second, shock_end = 2, int(BEFORE_S + SHOCK_S)
    before = sum(useful[second] for second in range(first_second, int(BEFORE_S)))
    before_per_s = before / (BEFORE_S - first_second)
    after = [useful[shock_end + second] for second in range(int(AFTER_S))]
    windows = [sum(after[at : at + 3]) / 3 for at in range(len(after) - 2)]
    target = RECOVERED_SHARE * before_per_s
    recovered = next((at for at, rate in enumerate(windows) if rate >= target), None)
    late_per_s = sum(after[8:]) / len(after[8:])
    return (
        f"| {name} | {before_per_s:.0f} | {late_per_s:.0f} | "
        f"{late_per_s / max(1.0, before_per_s):.0%} | "
        f"{'never' if recovered is None else f'{recovered} s'} | "
        f"{counts['attempts']} | {counts['given up']} | {counts['not sent']} | "
        f"{used:.1f} |"
    )


@application.command()
def main(only: str = "", deadline: bool = True) -> None:
    """Measure all variants, or only the one given."""
    print(f"{os.cpu_count()} processors, load {os.getloadavg()[0]:.1f}")
    print(
        "| on | before /s | 8 s and more after /s | of before | back to 95 % after "
        "| attempts | callers given up | not sent | member cpu s |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for name in [only] if only else VARIANTS:
        has_deadline = deadline and name != "none"
        print(run_variant(name, has_deadline), flush=True)
    print(f"load at the end {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    application()
