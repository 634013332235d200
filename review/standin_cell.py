"""The members as processes of their own, their platform, and a client."""

import atexit
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from standin_minion import Minion
from standin_record import Record
from standin_store import Store

__all__ = [
    "HOST",
    "KEY",
    "Cell",
    "Member",
    "NotRunError",
    "finish",
    "route",
    "run",
    "step",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-1"
DEADLINE_MS = 3_000
START_S = 20.0
BOUNDS = {
    "ContactMs": 3_000,
    "AckMs": 4_000,
    "DrainMs": 2_000,
    "GraceS": 6,
    "ConfigApplyMs": 2_000,
    "LeaseMs": 3_000,
    "MaxHoldMs": 6_000,
    "StopTimeoutMs": 900,
    "GangTimeoutMs": 3_000,
    "visible_ms": 3_000,
    "finish_s": 14,
    "status_s": 120,
}


class NotRunError(Exception):
    """The case could not run."""


def free_ports(hosts: list[str], count: int) -> int:
    """Return the first of ``count`` ports in a row that are free on all hosts."""
    for first in range(21_000 + os.getpid() % 5_000, 60_000, count):
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    sockets.append(socket.socket())
                    sockets[-1].bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise NotRunError("no free ports")


def route(name: str, **fields: object) -> dict[str, object]:
    """Return a queue of the service ``desk``."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Service": "desk",
        "SloMs": 250,
        "Priority": 0,
        "Attempts": 3,
        "Stretch": 1.5,
        "TimeoutMs": 3_000,
        **fields,
    }


def step(**fields: object) -> dict[str, object]:
    """Return a step with one task of one core."""
    return {"Count": 1, "Cpu": 1_000, "MemMb": 100, "EstimateMs": 1_000, **fields}


class Member:
    """A member process, started by the command of the deploy file."""

    def __init__(self, cell: "Cell", name: str, ip: str, ports: int) -> None:
        """Write the settings and start the process."""
        self.cell = cell
        self.name = name
        self.ip = ip
        self.front = f"{ip}:{ports}"
        self.ready = f"{ip}:{ports + 1}"
        settings = {
            "NodeName": name,
            "Role": "member",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": ip,
            "Zone": "zone-1",
            "Region": "region-1",
            "Zones": {"zone-1": "region-1"},
            "Listen": {"Front": self.front, "Ready": self.ready},
            "PortRange": [ports + 2, ports + 17],
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4_100},
            "HeartbeatMs": 1_500,
            "Bounds": BOUNDS,
            "Orders": "rpc",
            "platform": {
                "Address": cell.store.door(name).server.address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2_000,
                "HistoryS": 20,
                "ValueBytes": 1_048_576,
                "TtlMinMs": 1_000,
            },
        }
        self.settings = cell.folder / f"{name}.yaml"
        # JSON is a subset of YAML.
        self.settings.write_text(json.dumps(settings), encoding="utf-8")
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process, after an earlier one has ended."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "GOOSEBERRYDECK_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = (self.cell.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "deploy/member.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.cell.record.add(self.name, "process starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.cell.record.add(self.name, f"gets {number.name}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Return True if the member reports itself ready."""
        host, _, port = self.ready.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Cell:
    """The store, minions, members and a client."""

    def __init__(self, record: Path, members: int, minions: int) -> None:
        """Create the stand-ins; ``start`` starts the members."""
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.minions = [
            Minion(f"minion-{number}", self.store, self.record)
            for number in range(minions)
        ]
        self.member_count = members
        self.members: list[Member] = []
        self.version = 0
        self.is_closed = False
        atexit.register(self.close)

    def publish(self, routes: list[dict[str, object]]) -> None:
        """Write a configuration as the operator."""
        self.version += 3
        tenants = [{"Name": "editors", "ApiKeys": [KEY], "Weight": 1}]
        services = [{"Name": "desk", "AdmissionCheck": False}]
        configuration = {
            "Version": self.version,
            "Routes": routes,
            "Services": services,
            "Tenants": tenants,
            "Limits": [],
        }
        self.store.write_json("op/config", configuration)
        names = ", ".join(str(each["Name"]) for each in routes)
        self.record.add("operator", f"version {self.version}, routes {names}")

    def start(self) -> None:
        """Start the members and wait until all are ready and one holds the shard."""
        hosts = [f"127.0.0.{10 + number}" for number in range(self.member_count)]
        ports = free_ports(hosts, 18)
        for number, host in enumerate(hosts):
            self.members.append(Member(self, f"front-{number}", host, ports))
        self.wait("members ready", lambda: all(m.is_ready() for m in self.members))
        self.wait("a holder", lambda: self.holder() is not None)
        # The traffic begins some time after the machines do.
        time.sleep(3)

    def wait(
        self, what: str, is_met: Callable[[], bool], for_s: float = START_S
    ) -> None:
        """Wait until a condition is met; raise ``NotRunError`` if it isn't in time."""
        end_s = time.monotonic() + for_s
        while not is_met():
            if time.monotonic() > end_s:
                raise NotRunError(f"no {what} after {for_s} s")
            time.sleep(0.1)

    def holder(self) -> Member | None:
        """Return the member that wrote the record of the scheduling shard last."""
        record = self.store.read_json("shards/0000")
        if record is None:
            return None
        for member in self.members:
            if member.name == record.get("holder"):
                return member
        return None

    def call(
        self, member: Member, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, object]]:
        """Send a client's call; the status is 0 if no complete answer came."""
        host, _, port = member.front.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=3.2)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        content = None if body is None else json.dumps(body).encode()
        status, answer = 0, {}
        try:
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            status, text = response.status, response.read()
            answer = json.loads(text) if text else {}
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.record.add("client", f"{method} {path}: {error!r}")
        finally:
            connection.close()
        self.record.add(
            "client", f"{method} {path} to {member.name}: {status} {json.dumps(answer)}"
        )
        return status, answer

    def submit(
        self, path: str, works_ms: list[int], steps: list[dict[str, object]]
    ) -> None:
        """Hand a job in, again at the next member until one accepts it."""
        body = {"Spec": json.dumps({"ms": works_ms}), "Steps": steps}
        end_s = time.monotonic() + START_S
        while time.monotonic() < end_s:
            for member in self.members:
                if (
                    member.is_ready()
                    and self.call(member, "POST", path, body)[0] == 200
                ):
                    return
            time.sleep(0.2)
        raise NotRunError(f"{path} was not accepted")

    def close(self) -> None:
        """End all members, and add the errors of their logs to the record."""
        if self.is_closed:
            return
        self.is_closed = True
        for member in self.members:
            member.kill()
            log = self.folder / f"{member.name}.log"
            for event in errors(log.read_text(encoding="utf-8").splitlines()):
                self.record.add(member.name, f"logged: {event}")
        shutil.rmtree(self.folder)


def errors(lines: list[str]) -> list[str]:
    """Return the events of the error lines of a log, with their numbers."""
    found: dict[str, int] = {}
    for line in lines:
        if '"level":"error"' in line:
            event = str(json.loads(line)["event"])
            found[event] = found.get(event, 0) + 1
    return [f"{event} ({count} times)" for event, count in found.items()]


def finish(cell: Cell, failures: list[str], not_run: str = "") -> None:
    """End all processes and exit with the status of the case."""
    cell.close()
    if not_run:
        cell.record.add("result", f"could not run: {not_run}")
        print(f"could not run: {not_run}")
        sys.exit(2)
    for failure in failures:
        cell.record.add("result", f"broken: {failure}")
        print(f"broken: {failure}")
    if not failures:
        cell.record.add("result", "held")
        print("held")
    sys.exit(1 if failures else 0)


def run(case: Callable[[], None]) -> None:
    """Run a case; an unexpected error means that it could not run."""
    try:
        case()
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
