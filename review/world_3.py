"""Stand-ins of the users' platform, its minions and clients, for the cases 11 to 15.

They follow the users' pages and use the standard library only. The store, the minions
and the clients run as threads of the script; the members are processes of their own,
started with the command of the deploy file.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
KEY = "key-of-the-desk"
HOST = "desk.example"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "SyncS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 5000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "QuotaWindowS": 5,
    "QuotaOverage": 0.1,
    "QuotaSlack": 20,
    "RecoveryS": 12,
    "MaxHoldMs": 6000,
    "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "FarX": 1.5,
    "CheckpointS": 2,
    "RestoreMs": 250,
    "NoticeMs": 4500,
    "MoveS": 1.5,
    "UpkeepS": 2,
    "RequireFence": True,
    "LeaseMs": 3000,
    "ThawSlackMs": 300,
    "PaceMs": 100,
    "HarmMs": 4000,
}
"""The bounds on the sheet of huaman-desk."""

MEMORY_MB = 300
"""The memory of a machine on that sheet."""


class Record:
    """The record of what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: Path) -> None:
        """Set up the object."""
        self.file = path.open("w")
        self.start_s = time.monotonic()
        self.lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def write(self, text: str) -> None:
        """Write a line with the time."""
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    """Pass requests to the ``answer`` method of the server's owner."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    timeout = 120

    def serve(self) -> None:
        """Answer a request."""
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        path, _, query = self.path.partition("?")
        fields = {
            key: values[0] for key, values in urllib.parse.parse_qs(query).items()
        }
        owner = self.server.owner  # type: ignore[attr-defined]
        reply = owner.answer(self.command, path, fields, body, self.headers)
        if reply is None:
            # The answer is lost: nothing further is returned on this connection.
            self.close_connection = True
            return
        status, document = reply
        content = json.dumps(document).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self.wfile.write(head.encode() + content)

    def log_message(self, format: str, *arguments: object) -> None:
        """Log nothing."""


for name in ("GET", "POST", "DELETE", "PUT"):
    setattr(Handler, f"do_{name}", Handler.serve)


class Server(ThreadingHTTPServer):
    """A server on a free port of the loopback address."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, owner: Any, port: int = 0) -> None:
        """Set up the object."""
        super().__init__((LOOPBACK, port), Handler)
        self.owner = owner
        self.text = f"{LOOPBACK}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that a client has broken."""


Reply = tuple[int, dict[str, Any]] | None


class Store:
    """The platform's store: linearizable, loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        """Set up the object."""
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.rev = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = threading.Condition()
        # Called with the body of a transaction. Returns after how many seconds it is
        # executed without an answer, or None.
        self.lateness: Callable[[dict[str, Any]], float | None] = lambda _body: None
        self.server = Server(self)
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self) -> None:
        """End the leases whose time is over."""
        while True:
            time.sleep(0.05)
            with self.changed:
                now_s = time.monotonic()
                for lease, (until_s, _) in list(self.leases.items()):
                    if until_s < now_s:
                        self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, writes: list[dict[str, Any]], remove: list[str]) -> int:
        """Apply a change and return its revision."""
        self.rev += 1
        for write in writes:
            key = write["Key"]
            created = self.items[key]["CreateRevision"] if key in self.items else 0
            item = {
                "Key": key,
                "Value": write["Value"],
                "Rev": self.rev,
                "CreateRevision": created or self.rev,
                "Lease": write.get("Lease", 0),
            }
            self.items[key] = item
            self.events.append(item)
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.events.append({"Key": key, "Rev": self.rev, "Removed": True})
        self.changed.notify_all()
        return self.rev

    def put(self, key: str, document: object) -> None:
        """Write as the operator or as a minion."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self.changed:
            self.apply([{"Key": key, "Value": value}], [])

    def keys(self, part: str) -> list[str]:
        """Return the keys that contain a text."""
        with self.changed:
            return [key for key in self.items if part in key]

    def answer(
        self, method: str, path: str, fields: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        """Answer a call."""
        if path == "/kv-watch":
            return self.watch(fields)
        if path == "/kv-txn":
            document = json.loads(body)
            late_s = self.lateness(document)
            if late_s is not None:
                timer = threading.Timer(late_s, self.transact, (document,))
                timer.daemon = True
                timer.start()
                time.sleep(min(late_s, 1.0))
                return None
            return self.transact(document)
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(fields["Key"])
                return (404, {}) if item is None else (200, {**item, "AsOf": self.rev})
            if path == "/kv-range":
                return self.range(fields)
            if path == "/kv-lease":
                ttl_ms = max(1000, json.loads(body)["TtlMs"])
                self.rev += 1
                self.leases[self.rev] = (
                    time.monotonic() + ttl_ms / 1000,
                    ttl_ms / 1000,
                )
                return 200, {"Lease": self.rev, "TtlMs": ttl_ms}
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/kv-keep/"):
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
            self.end_lease(lease)
            return 200, {}

    def range(self, fields: dict[str, str]) -> Reply:
        """Answer ``GET /kv-range``."""
        after = fields.get("After", "")
        prefix = fields.get("Prefix", "")
        found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page: list[dict[str, Any]] = []
        size = 0
        for key in found[:500]:
            size += len(self.items[key]["Value"])
            if page and size > 1_000_000:
                break
            page.append(self.items[key])
        return 200, {
            "items": page,
            "Truncated": len(page) < len(found),
            "AsOf": self.rev,
        }

    def watch(self, fields: dict[str, str]) -> Reply:
        """Answer ``GET /kv-watch``."""
        after, prefix = int(fields["After"]), fields["Prefix"]
        end_s = time.monotonic() + int(fields.get("WaitMs", "0")) / 1000
        with self.changed:
            while True:
                found = []
                for event in reversed(self.events):
                    if event["Rev"] <= after:
                        break
                    if event["Key"].startswith(prefix):
                        found.append(event)
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    return 200, {"events": found[::-1], "AsOf": self.rev}
                self.changed.wait(left_s)

    def transact(self, document: dict[str, Any]) -> Reply:
        """Answer ``POST /kv-txn``."""
        expected = document.get("ExpectRev") or []
        writes, remove = document.get("Writes") or [], document.get("Remove") or []
        if len(expected) + len(writes) + len(remove) > 32:
            return 400, {}
        if any(k.startswith(("op/", "servers/")) for k in remove):
            return 403, {}
        if any(write["Key"].startswith(("op/", "servers/")) for write in writes):
            return 403, {}
        if any(len(write["Value"]) * 3 // 4 > 1_048_576 for write in writes):
            return 400, {}
        with self.changed:
            for row in expected:
                item = self.items.get(row["Key"])
                if (0 if item is None else item["Rev"]) != row["Rev"]:
                    keys = [each["Key"] for each in expected]
                    return 412, {
                        "items": [self.items[k] for k in keys if k in self.items]
                    }
            if any(w.get("Lease") and w["Lease"] not in self.leases for w in writes):
                return 404, {}
            return 200, {"Rev": self.apply(writes, remove)}


class Run:
    """A run on a minion. The payload of its job says how long it works."""

    def __init__(
        self, task: str, number: int, spec: str, checkpoint: str, at: float
    ) -> None:
        """Set up the object."""
        plan = json.loads(spec)
        self.task, self.number, self.at = task, number, at
        self.work_s: float = plan.get("work_s", 0.2)
        self.lasts: bool = plan.get("lasts", False)
        self.label: str = plan.get("label", "")
        self.base_s = int(checkpoint, 16) / 1000 if checkpoint else 0.0
        self.began_s = time.monotonic() + (0.25 if checkpoint else 0.0)
        self.entry: dict[str, Any] = {}

    def done_s(self) -> float:
        """Return the seconds of work that are done."""
        return self.base_s + max(0.0, time.monotonic() - self.began_s)

    def percent(self) -> int:
        """Return the progress in whole percent."""
        if self.lasts:
            return 100 if self.done_s() > 0.5 else 0
        return min(99, int(100 * self.done_s() / self.work_s))


class Minion:
    """A sound minion; it starts what it is told to (``AdmissionCheck`` false)."""

    def __init__(self, store: Store, number: int, record: Record, cpu: int) -> None:
        """Set up the object."""
        self.id = f"m{number:04x}"
        self.store, self.record, self.cpu = store, record, cpu
        self.born_ms = int(time.time() * 1000)
        self.zero_s = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.lapsed_s = 0.0
        self.is_down = False
        self.cut_until_s = 0.0
        # Called with the body of a start. Returns after how many seconds it is carried
        # out without an answer, or None.
        self.lateness: Callable[[dict[str, Any]], float | None] = lambda _body: None
        # What was run: task, run, label, start, end (or None), how it ended.
        self.history: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.server = Server(self)
        self.rack = f"r{number // 2}"
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def clock(self) -> int:
        """Return the steady clock in milliseconds."""
        return int((time.monotonic() - self.zero_s) * 1000)

    def beat(self) -> None:
        """Write the entry in the store at intervals."""
        while True:
            if not self.is_down:
                self.register()
            time.sleep(1.5)

    def register(self) -> None:
        """Write the entry in the store."""
        self.seq += 1
        entry = {
            "Service": "desk",
            "Address": self.server.text,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 65536, "Gpu": 0},
            "Labels": ["a", self.rack],
            "Seq": self.seq,
            "born": self.born_ms,
        }
        self.store.put(f"servers/{self.id}", entry)

    def work(self) -> None:
        """End the runs that are done or whose lease has expired."""
        while True:
            time.sleep(0.01)
            with self.changed:
                if self.runs and self.clock() >= self.lease_ms:
                    for run in list(self.runs.values()):
                        self.end(run, "lapsed")
                for run in list(self.runs.values()):
                    if not run.lasts and run.done_s() >= run.work_s:
                        self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.runs[run.task, run.number]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        saved = "" if how == "done" else self.saved(run)
        self.ended.append([self.last_end, run.task, run.number, how, saved])
        entry = run.entry
        entry["end"], entry["how"] = self.record.now(), how
        entry["number"] = self.last_end
        entry["percent"] = 100 if how == "done" else run.percent()
        if run.label:
            self.record.write(
                f"{self.id}: {run.task} run {run.number} ({run.label}) ended {how} "
                f"at {run.percent()} percent"
            )
        self.changed.notify_all()

    def saved(self, run: Run) -> str:
        """Return the checkpoint of a run; the cases' tasks have none."""
        return ""

    def answer(
        self, method: str, path: str, fields: dict[str, str], body: bytes, headers: Any
    ) -> Reply:
        """Answer a call."""
        if self.is_down or self.wait_for_cut():
            return None
        expected = headers.get("X-Expect-Instance", self.id)
        if expected != self.id:
            return self.reply(421)
        document = json.loads(body or b"{}")
        if path == "/run-start":
            late_s = self.lateness(document)
            if late_s is not None:
                timer = threading.Timer(late_s, self.carry_out_late, (document,))
                timer.daemon = True
                timer.start()
                time.sleep(1.0)
                return None
        born_ms = self.born_ms
        reply = self.execute(path, document)
        is_lost = self.wait_for_cut() or self.is_down or self.born_ms != born_ms
        return None if is_lost else reply

    def wait_for_cut(self) -> bool:
        """Wait while the minion is cut off; return whether it was."""
        left_s = self.cut_until_s - time.monotonic()
        if left_s > 0:
            time.sleep(left_s)
        return left_s > 0

    def cut_off(self, for_s: float, crash_after_s: float, down_s: float) -> None:
        """Cut the minion off from all members; it crashes and starts behind the cut."""
        self.cut_until_s = time.monotonic() + for_s
        self.record.write(f"{self.id}: cut off from the members for {for_s} s")
        time.sleep(crash_after_s)
        self.crash(down_s)

    def carry_out_late(self, document: dict[str, Any]) -> None:
        """Carry an order out that had no answer, perhaps in a later life."""
        if self.is_down:
            return
        reply = self.execute("/run-start", document)
        status, fields = reply or (0, {})
        self.record.write(
            f"{self.id}: late order to start {document['Task']} run {document['Run']}: "
            f"{status} {fields.get('Reason', '')}"
        )

    def execute(self, path: str, document: dict[str, Any]) -> Reply:
        """Execute a call."""
        with self.changed:
            if document.get("FencingToken", 0) < self.fence:
                return self.reply(409, Reason="fence")
            self.fence = document.get("FencingToken", 0)
            if path == "/run-start":
                return self.start(document)
            if path == "/run-stop":
                task, number = document["Task"], document["Run"]
                self.highest[task] = max(self.highest.get(task, 0), number)
                run = self.runs.get((task, number))
                if run is not None:
                    self.end(run, "stopped")
                return self.reply(200)
            if path == "/pace":
                return self.reply(200)
            if path == "/hold":
                return self.hold(document)
        return self.reply(404)

    def extend(self, document: dict[str, Any]) -> None:
        """Extend the lease by the deadline of a call."""
        until_ms = document.get("DeadlineMs")
        if until_ms is not None:
            most_ms = self.clock() + BOUNDS["MaxHoldMs"]
            self.lease_ms = max(self.lease_ms, min(until_ms, most_ms))

    def start(self, document: dict[str, Any]) -> Reply:
        """Start what the object stands for."""
        task, number = document["Task"], document["Run"]
        if (task, number) in self.runs:
            self.extend(document)
            return self.reply(200)
        if document["DeadlineMs"] <= self.clock():
            return self.reply(409, Reason="late")
        self.extend(document)
        if number <= self.highest.get(task, 0):
            return self.reply(409, Reason="old")
        checkpoint = document.get("Checkpoint", "")
        run = Run(task, number, document["Spec"], checkpoint, self.record.now())
        self.runs[task, number] = run
        run.entry = {
            "task": task,
            "run": number,
            "label": run.label,
            "minion": self.id,
            "born": self.born_ms,
            "start": run.at,
            "end": None,
            "how": "",
            "percent": 0,
            "number": 0,
            "noted": None,
        }
        self.history.append(run.entry)
        if run.label:
            self.record.write(f"{self.id}: start of {task} run {number} ({run.label})")
        return self.reply(200)

    def hold(self, document: dict[str, Any]) -> Reply:
        """Answer ``POST /hold``."""
        self.extend(document)
        end_s = time.monotonic() + min(2000, document.get("WaitMs", 0)) / 1000
        seen = document.get("LastSeen", 0)
        self.note_ends(seen)
        born_ms = self.born_ms
        while True:
            self.ended = [row for row in self.ended if row[0] > seen]
            left_s = end_s - time.monotonic()
            if self.ended or left_s <= 0 or self.is_down or self.born_ms != born_ms:
                break
            self.changed.wait(left_s)
        running = [
            [run.task, run.number, self.saved(run), run.percent(), 20]
            for run in self.runs.values()
        ]
        return self.reply(200, Running=running, Ended=self.ended[:500])

    def note_ends(self, seen: int) -> None:
        """Record which ends were taken note of, with no lapsed lease in between."""
        if self.clock() >= self.lease_ms:
            self.lapsed_s = self.record.now()
        for entry in self.history:
            if entry["end"] is None or entry["noted"] or entry["born"] != self.born_ms:
                continue
            if 0 < entry["number"] <= seen and entry["end"] > self.lapsed_s:
                entry["noted"] = self.record.now()

    def crash(self, down_s: float) -> None:
        """Crash now, and start again under the same id and address after a while."""
        with self.changed:
            self.is_down = True
            for run in self.runs.values():
                run.entry["end"], run.entry["how"] = self.record.now(), "crashed"
            self.runs.clear()
            self.highest.clear()
            self.ended.clear()
            self.last_end = self.fence = self.lease_ms = 0
            self.record.write(f"{self.id}: crashed")
            self.changed.notify_all()
        port = self.server.server_address[1]
        self.server.shutdown()
        self.server.server_close()
        time.sleep(down_s)
        with self.changed:
            self.born_ms = int(time.time() * 1000)
            self.zero_s = time.monotonic()
            self.is_down = False
            self.server = Server(self, port)
            self.record.write(f"{self.id}: started again, born {self.born_ms}")
        self.register()

    def reply(self, status: int, **fields: Any) -> Reply:
        """Return an answer with the common fields."""
        return status, {"ClockMs": self.clock(), "born": self.born_ms, **fields}


FRONT, READY, PEERS = 8183, 8184, 7420
"""The ports of a member, the same on all machines, as in the example of DEPLOY."""


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a member are free."""
    found: list[str] = []
    prefix = f"127.{64 + os.getpid() % 128}.{1 + os.getpid() // 128 % 250}"
    for last in range(10, 250):
        try:
            for port in (FRONT, READY, PEERS):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        found.append(f"{prefix}.{last}")
        if len(found) == count:
            return found
    raise RuntimeError("no free addresses")


class Member:
    """A member process, started with the command of the deploy file."""

    def __init__(
        self, number: int, address: str, store: Store, folder: Path, record: Record
    ) -> None:
        """Set up the object."""
        self.name = f"front-zone-a-{number}"
        self.record = record
        self.address = address
        self.front, self.ready = FRONT, READY
        settings = {
            "NodeName": self.name,
            "Role": "member",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": self.address,
            "Zone": "zone-a",
            "Region": "region-a",
            "Zones": {"zone-a": "region-a"},
            "Listen": {
                "Front": f"{self.address}:{self.front}",
                "Ready": f"{self.address}:{self.ready}",
            },
            "PortRange": [PEERS, PEERS + 15],
            "Seeds": [],
            "Bootstrap": True,
            "InTolerance": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": MEMORY_MB,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1500,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Orders": "rpc",
            "platform": {
                "Address": store.server.text,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }
        self.path = folder / f"{self.name}.yaml"
        self.path.write_text(json.dumps(settings))
        self.log = (folder / f"{self.name}.log").open("ab")
        self.start()

    def start(self) -> None:
        """Start what the object stands for."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "member"
        ]
        variables = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        variables["GOOSEBERRYDECK_CONFIG"] = str(self.path)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(f"{self.name} started")

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        rows = [row for row in text.splitlines() if row.startswith("VmRSS:")]
        return int(rows[0].split()[1]) / 1024 if rows else 0.0

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 3.0,
        deadline_s: float = 3.0,
    ) -> tuple[int, bytes]:
        """Send a client's request; the status is 0 if there was no answer.

        A client that gives up leaves after ``timeout_s``, before its deadline.
        """
        connection = http.client.HTTPConnection(
            self.address, self.front, timeout=timeout_s
        )
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Return whether the node reports itself ready."""
        connection = http.client.HTTPConnection(self.address, self.ready, timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def terminate(self) -> None:
        """Send SIGTERM to the process, unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()

    def close(self, timeout_s: float) -> None:
        """Wait for the end of the process, and kill it after a while."""
        try:
            self.process.wait(max(0.1, timeout_s))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def configuration(version: int = 1, maximum_cpu: int = 0) -> dict[str, Any]:
    """Return a configuration with an urgent and a slow queue, and one tenant.

    The tenant may have ``maximum_cpu`` thousandths of a core running, 0 for no limit.
    """
    rows = [("urgent", 0, 1.5), ("slow", 2, 2.2)]
    return {
        "Version": version,
        "Routes": [
            {
                "Name": name,
                "Host": HOST,
                "Prefix": f"/{name}/",
                "Service": "desk",
                "TimeoutMs": 3000,
                "SloMs": 1200,
                "Priority": priority,
                "Attempts": 3,
                "Stretch": stretch,
            }
            for name, priority, stretch in rows
        ],
        "Services": [{"Name": "desk", "AdmissionCheck": False}],
        "Tenants": [
            {
                "Name": "editors",
                "ApiKeys": [KEY],
                "Weight": 40,
                "Maximum": {"Cpu": maximum_cpu, "MemMb": 0, "Gpu": 0},
            }
        ],
    }


def job(work_s: float, **fields: Any) -> dict[str, Any]:
    """Return a job of one step, whose payload tells minions how long a task works."""
    lasts = bool(fields.get("LongRunning"))
    plan = {"work_s": work_s, "lasts": lasts, "label": fields.pop("label", "ordinary")}
    step = {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": int(work_s * 1000)}
    return {"Spec": json.dumps(plan), "Steps": [{**step, **fields}]}


class Guard(threading.Thread):
    """The platform's memory limit: kill a process above it, and start it again."""

    def __init__(self, world: "World") -> None:
        """Set up the object."""
        super().__init__(daemon=True)
        self.world = world
        self.kills = {member.name: 0 for member in world.members}
        self.peak_mb = 0.0
        self.stopping = False
        self.start()

    def run(self) -> None:
        """Watch the memory of the members."""
        while not self.stopping:
            for member in self.world.members:
                used_mb = member.memory_mb()
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    self.replace(member, used_mb)
            time.sleep(0.1)

    def replace(self, member: Member, used_mb: float) -> None:
        """Kill a member's process and start the next one."""
        member.process.kill()
        member.process.wait()
        self.kills[member.name] += 1
        self.world.record.write(
            f"{member.name} killed at {used_mb:.0f} MB of {MEMORY_MB} MB"
        )
        time.sleep(0.3)
        with self.world.closing:
            if not self.world.is_closed:
                member.start()


class World:
    """The store, minions and members of a small deployment."""

    def __init__(
        self, record: Path, members: int = 3, minions: int = 6, cpu: int = 32_000
    ):
        """Set up the object."""
        self.record = Record(record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write(f"trouble: {self.trouble}")
        self.temporary = Path(tempfile.mkdtemp())
        self.store = Store()
        self.store.put("op/config", configuration())
        self.minions = [Minion(self.store, n, self.record, cpu) for n in range(minions)]
        self.members: list[Member] = []
        self.closing = threading.Lock()
        self.is_closed = False
        try:
            for number, address in enumerate(free_addresses(members)):
                member = Member(
                    number, address, self.store, self.temporary, self.record
                )
                self.members.append(member)
            end_s = time.monotonic() + 25
            while not all(member.is_ready() for member in self.members):
                if time.monotonic() > end_s:
                    raise RuntimeError("the members don't become ready")
                time.sleep(0.1)
        except BaseException:
            self.close()
            raise
        self.record.write("all members are ready")

    def submit(self, path: str, document: dict[str, Any], first: int = 0) -> int:
        """Hand a job in as a client does, at other nodes after no answer."""
        body = json.dumps(document, separators=(",", ":")).encode()
        status = 0
        for attempt in range(5):
            member = self.members[(first + attempt) % len(self.members)]
            status, _ = member.call("POST", path, body)
            self.record.write(
                f"POST {path} ({len(body)} bytes) at {member.name}: "
                f"{status or 'no answer'}"
            )
            if status == 200:
                return status
            time.sleep(1.0 if status in (429, 503) else 0.2)
        return status

    def state(self, path: str, first: int = 0) -> str:
        """Ask for a job's state, at other nodes after no answer."""
        for attempt in range(len(self.members)):
            member = self.members[(first + attempt) % len(self.members)]
            status, body = member.call("GET", path)
            if status:
                return str(json.loads(body)["State"]) if status == 200 else str(status)
        return "no answer"

    def history(self, job: str = "") -> list[dict[str, Any]]:
        """Return what was run of a job or a task, by the time of its start."""
        rows = []
        for minion in self.minions:
            with minion.changed:
                rows += [
                    dict(each)
                    for each in minion.history
                    if each["task"].startswith(job)
                ]
        return sorted(rows, key=lambda each: each["start"])

    def idle_spans(
        self, rows: list[dict[str, Any]], from_s: float, until_s: float
    ) -> list[tuple[float, float]]:
        """Return the spans between two times in which none of some runs went on."""
        spans = []
        for row in sorted(rows, key=lambda each: each["start"]):
            if row["start"] > from_s:
                spans.append((from_s, min(row["start"], until_s)))
            from_s = max(from_s, until_s if row["end"] is None else row["end"])
            if from_s >= until_s:
                return spans
        return [*spans, (from_s, until_s)]

    def holder(self) -> str:
        """Return the name of the member that stores the progress, by its record."""
        with self.store.changed:
            for key, item in self.store.items.items():
                if key.startswith("shards/"):
                    return str(
                        json.loads(base64.b64decode(item["Value"])).get("holder", "")
                    )
        return ""

    def close(self) -> None:
        """End all processes that were started."""
        with self.closing:
            self.is_closed = True
        end_s = time.monotonic() + 7
        for member in self.members:
            member.terminate()
        for member in self.members:
            member.close(end_s - time.monotonic())
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(record: Path, play: Callable[[World], list[str]], **options: Any) -> None:
    """Play a case, and write to ``record`` what was sent, answered and run.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """

    def time_is_up(*_arguments: object) -> None:
        raise RuntimeError("the time is up")

    signal.signal(signal.SIGTERM, time_is_up)
    try:
        world = World(record, **options)
    except Exception as error:
        print(f"can't run: {error!r}")
        sys.exit(2)
    try:
        broken = play(world)
    except Exception as error:
        world.record.write(f"can't run: {error!r}")
        print(f"can't run: {error!r}")
        world.close()
        sys.exit(2)
    for text in broken or ["the rule held"]:
        world.record.write(text)
        print(text)
    world.close()
    os._exit(1 if broken else 0)
