"""Processes of a small cell for benchmarks: members, endpoints and callers."""

import hashlib
import http.client
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import typer
import zmq
from hdrh.histogram import HdrHistogram
from waitress import serve

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_daemon.composition import Member, Platform
from gooseberrydeck_daemon.logs import configure_logs
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_daemon.signals import handle_termination
from gooseberrydeck_platform.endpoint_http import HttpEndpoint
from gooseberrydeck_platform.hosts import Host

SECRET = "bench-secret"
MAX_LATENCY_US = 60_000_000

application = typer.Typer()


class StaticHostList:
    """A host list that never changes."""

    def __init__(self, hosts: Sequence[Host]) -> None:
        """Store the hosts."""
        self.hosts = tuple(hosts)

    def read(self, timeout_s: float) -> tuple[Host, ...]:
        """Return the hosts."""
        return self.hosts


@application.command()
def member(settings: Path, configuration: Path, hosts: Path) -> None:
    """Run one member with a static host list and configuration."""
    loaded = msgspec.json.decode(settings.read_bytes(), type=Settings)
    configure_logs(True, "WARNING", loaded.member)
    host_list = StaticHostList(
        msgspec.json.decode(hosts.read_bytes(), type=tuple[Host, ...])
    )
    process = Member(loaded, Platform(host_list, HttpEndpoint))
    process.configuration.offer(
        msgspec.json.decode(configuration.read_bytes(), type=Configuration)
    )
    handle_termination(process.supervisor.request_end)
    process.run()


@application.command()
def endpoint(port: int, threads: int, work_ms: float) -> None:
    """Respond to every request with its body after ``work_ms`` milliseconds."""
    logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)

    def answer(environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        if work_ms:
            time.sleep(work_ms / 1000)
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
        ]
        start("200 OK", headers)
        return [body]

    serve(answer, host="127.0.0.1", port=port, threads=threads, connection_limit=4000)


@application.command()
def caller(plan: str) -> None:
    """Send requests according to a JSON plan and print the measurements as JSON."""
    job = json.loads(plan)
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    statuses: dict[int, int] = {}
    lock = threading.Lock()

    def send_all(number: int) -> None:
        rng = random.Random(job["seed"] * 1000 + number)
        targets = job["targets"]
        host, port, path = targets[number % len(targets)]
        connection = http.client.HTTPConnection(host, port, timeout=30)
        headers = {"Authorization": f"Bearer {SECRET}", "Content-Type": "text/plain"}
        latencies: list[int] = []
        seen: dict[int, int] = {}
        due = time.monotonic()
        while (now := time.monotonic()) < job["end"]:
            if job["rate"]:
                due += rng.expovariate(job["rate"] / job["threads"])
                if due >= job["end"]:
                    break
                time.sleep(max(0.0, due - time.monotonic()))
                now = due
            connection.request("POST", path, b"claim 4711", headers)
            response = connection.getresponse()
            response.read()
            if now >= job["begin"]:
                latencies.append(int((time.monotonic() - now) * 1e6))
                seen[response.status] = seen.get(response.status, 0) + 1
        with lock:
            for value in latencies:
                histogram.record_value(max(1, value))
            for status, count in seen.items():
                statuses[status] = statuses.get(status, 0) + count

    threads = [
        threading.Thread(target=send_all, args=(number,))
        for number in range(job["threads"])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps({"statuses": statuses, "encoded": histogram.encode().decode()}))


def free_ports(count: int) -> list[int]:
    """Return ports that are free at the time of the call."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Cell:
    """Members and endpoints in separate processes, terminated on exit."""

    def __init__(
        self,
        members: int,
        endpoints: int,
        endpoint_processes: int,
        configuration: dict[str, Any],
        service: str = "lookup",
        work_ms: float = 0.0,
        slots: int = 8,
        callers_threads: int = 96,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Start the processes and wait until the members are ready."""
        self.folder = Path(tempfile.mkdtemp(prefix="gooseberrydeck-bench-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.service = service
        ports = free_ports(endpoint_processes + 2 * members)
        self.endpoint_ports = ports[:endpoint_processes]
        self.member_ports = ports[endpoint_processes : endpoint_processes + members]
        peer_ports = ports[endpoint_processes + members :]
        per_process = -(-endpoints // endpoint_processes) * slots
        for port in self.endpoint_ports:
            self.start("endpoint", str(port), str(per_process), str(work_ms))
        public, secret = (key.decode() for key in zmq.curve_keypair())
        peers = [
            {"member": f"m{number}", "address": "127.0.0.1", "port": port}
            for number, port in enumerate(peer_ports)
        ]
        hosts = [
            {
                "name": f"e{number}",
                "kind": "endpoint",
                "state": "live",
                "address": "127.0.0.1",
                "port": self.endpoint_ports[number % endpoint_processes],
                "data_centre": "lima-1",
                "rack": "r1",
                "path": f"/e{number}",
                "service": service,
                "slots": slots,
                "connections": 64,
            }
            for number in range(endpoints)
        ]
        hosts_file = self.write("hosts.json", hosts)
        configuration_file = self.write("configuration.json", configuration)
        self.member_processes = []
        for number, port in enumerate(self.member_ports):
            member_settings = {
                **(settings or {}),
                "cell": "bench",
                "member": f"m{number}",
                "data_centre": "lima-1",
                "address": "127.0.0.1",
                "listeners": {
                    "callers": {"port": port, "threads": callers_threads},
                    "operators": {"port": 0},
                    "peers": {"port": peer_ports[number]},
                },
                "store": {"addresses": ["127.0.0.1:1"]},
                "host_list": {"address": "127.0.0.1:1"},
                "peers": {
                    "public_key": public,
                    "secret_key": secret,
                    "initial": peers,
                },
            }
            settings_file = self.write(f"m{number}.json", member_settings)
            self.member_processes.append(
                self.start(
                    "member",
                    str(settings_file),
                    str(configuration_file),
                    str(hosts_file),
                )
            )
        for port in self.member_ports:
            self.wait_ready(port)
        time.sleep(1.5)

    def write(self, name: str, value: object) -> Path:
        """Write a JSON file for a process of the cell."""
        path = self.folder / name
        path.write_text(json.dumps(value))
        return path

    def start(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a subcommand of this script in a process."""
        command = [sys.executable, __file__, *arguments]
        process = subprocess.Popen(command)
        self.processes.append(process)
        return process

    def wait_ready(self, port: int) -> None:
        """Wait until the member on a port reports that it is ready."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
                connection.request("GET", "/readyz")
                if connection.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise SystemExit(f"no member became ready on port {port}")

    def direct_targets(self) -> list[tuple[str, int, str]]:
        """Return host, port and path for direct requests to the endpoints."""
        return [("127.0.0.1", port, "/e0/lookup") for port in self.endpoint_ports]

    def member_targets(self) -> list[tuple[str, int, str]]:
        """Return host, port and path for requests through the members."""
        path = f"/v1/services/{self.service}"
        return [("127.0.0.1", port, path) for port in self.member_ports]

    def close(self) -> None:
        """Terminate all processes of the cell."""
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()

    def __enter__(self) -> "Cell":
        """Return the cell."""
        return self

    def __exit__(self, *_: object) -> None:
        """Terminate the processes."""
        self.close()


def measure(
    targets: Sequence[tuple[str, int, str]],
    processes: int,
    threads: int,
    seconds: float,
    rate: float = 0.0,
    seed: int = 1,
    warm_s: float = 1.0,
) -> dict[str, Any]:
    """Send requests from several processes and return throughput and latencies.

    A rate of 0 sends without pauses. Requests during the first ``warm_s`` are not
    counted.
    """
    begin = time.monotonic() + 1.0 + warm_s
    running = []
    for number in range(processes):
        plan = {
            "targets": targets[number % len(targets) :]
            + targets[: number % len(targets)],
            "threads": threads,
            "rate": rate / processes,
            "begin": begin,
            "end": begin + seconds,
            "seed": seed * 100 + number,
        }
        command = [sys.executable, __file__, "caller", json.dumps(plan)]
        running.append(subprocess.Popen(command, stdout=subprocess.PIPE))
    total = HdrHistogram(1, MAX_LATENCY_US, 3)
    statuses: dict[str, int] = {}
    for process in running:
        output, _ = process.communicate()
        result = json.loads(output)
        total.add(HdrHistogram.decode(result["encoded"]))
        for status, count in result["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    return {
        "answers_per_s": statuses.get("200", 0) / seconds,
        "statuses": statuses,
        "p50_ms": total.get_value_at_percentile(50) / 1000,
        "p99_ms": total.get_value_at_percentile(99) / 1000,
        "p999_ms": total.get_value_at_percentile(99.9) / 1000,
    }


def simple_configuration(service: str = "lookup", **fields: object) -> dict[str, Any]:
    """Return a configuration of one service and the key of the benchmark."""
    digest = hashlib.sha256(SECRET.encode()).hexdigest()
    return {
        "number": 1,
        "teams": [{"name": "bench"}],
        "keys": [{"id": "k1", "team": "bench", "sha256": digest}],
        "services": [
            {"name": service, "teams": ["bench"], "timeout_ms": 5_000, **fields}
        ],
    }


def processor_time_s(process: subprocess.Popen[bytes]) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mib(process: subprocess.Popen[bytes]) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


if __name__ == "__main__":
    application()
