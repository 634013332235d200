"""A small platform on loopback addresses: store, minions, clients and members.

It follows the users' pages. All stand-ins run in one event loop; the members are the
project's own processes, started with the command of the deploy file. Each member has an
address of its own and reaches the store at an address of its own, so that the store can
treat members differently.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "desk.example"
KEY = "key-1"
MAX_HOLD_MS = 6_000
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
LASTING_S = 1_000.0
"""Length from which a task stands for one that lasts."""

STARTUP_S = 0.3
DECIDE_MS = 21.0
PER_ITEM_MS = 0.3
VALID_FOR_MS = 2_500
STATUS_TEXT = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}

Query = dict[str, str]
Answer = tuple[int, object]
Handler = Callable[[str, str, Query, dict[str, str], object], Awaitable[Answer | None]]


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self.file = path.open("w")
        self.began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{time.monotonic() - self.began_s:8.3f}  {text}\n")
        self.file.flush()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read an HTTP message with a length; return None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length") or 0)
        return first, headers, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


async def listen(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve JSON over HTTP; a handler that returns None leaves a call unanswered.

    The connection is closed then.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                value = json.loads(body) if body else None
                answer = await handler(method, path, query, headers, value)
                if answer is None:
                    break
                status, reply = answer
                content = json.dumps(reply).encode()
                reason = STATUS_TEXT.get(status, "Other")
                head = (
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            # The client has left, or the case has ended.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, limit=1 << 22)


class Store:
    """The platform's metadata store, with a gate for each machine that calls it."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Condition()
        self.last_lease = 1_000
        # By caller, the status with which it is turned away.
        self.refused: dict[str, int] = {}
        self.answer_s = STORE_ANSWER_S
        self.observers: list[Callable[[str, dict[str, object]], None]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as part of the present revision."""
        known = self.items.get(key)
        item: dict[str, object] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Rev": self.revision,
            "CreateRevision": known["CreateRevision"] if known else self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key: str) -> None:
        """Remove a key as part of the present revision."""
        if self.items.pop(key, None) is not None:
            self.events.append({"Key": key, "Rev": self.revision, "Removed": True})

    async def write(self, key: str, value: object) -> None:
        """Write a key with the rights of the operator and of the minions."""
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        await self.notify()

    async def notify(self) -> None:
        """Wake the watches that wait."""
        async with self.changed:
            self.changed.notify_all()

    def value(self, key: str) -> object:
        """Return the decoded value of a key, or None."""
        item = self.items.get(key)
        return (
            None if item is None else json.loads(base64.b64decode(str(item["Value"])))
        )

    async def expire(self) -> None:
        """Remove the keys of leases that have ended, for ever."""
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            gone = [each for each, (_, end_s) in self.leases.items() if end_s < now_s]
            for lease in gone:
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            await self.notify()

    def handler(self, caller: str) -> Handler:
        """Return the handler of one machine's calls."""

        async def handle(
            method: str, path: str, query: Query, _: dict[str, str], body: object
        ) -> Answer | None:
            status = self.refused.get(caller)
            if status is not None:
                await asyncio.sleep(STORE_ANSWER_S)
                return status, {}
            if path == "/kv-watch":
                answer = await self.watch(query)
            else:
                answer = await self.execute(method, path, query, body, caller)
            await asyncio.sleep(self.answer_s)
            status = self.refused.get(caller)
            return (status, {}) if path == "/kv-watch" and status else answer

        return handle

    async def execute(
        self, method: str, path: str, query: Query, body: object, caller: str
    ) -> Answer:
        """Execute a call that doesn't wait."""
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            return (404, {}) if item is None else (200, {**item, "AsOf": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["Prefix"]))
            keys = [key for key in keys if key > query.get("After", "")]
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            truncated = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "Truncated": truncated, "AsOf": self.revision}
        fields = body if isinstance(body, dict) else {}
        if path == "/kv-txn":
            return await self.transact(fields, caller)
        if path == "/kv-lease":
            ttl_s = max(1.0, fields["TtlMs"] / 1000)
            self.last_lease += 1
            self.leases[self.last_lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {"Lease": self.last_lease, "TtlMs": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self.end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = ttl_s, time.monotonic() + ttl_s
        return 200, {"TtlMs": int(ttl_s * 1000)}

    async def transact(self, fields: dict[str, object], caller: str) -> Answer:
        """Execute a transaction."""
        expected = fields.get("ExpectRev") or []
        writes = fields.get("Writes") or []
        removed = fields.get("Remove") or []
        assert isinstance(expected, list)
        assert isinstance(writes, list)
        assert isinstance(removed, list)
        if len(expected) + len(writes) + len(removed) > 32:
            return 400, {}
        if any(
            key.startswith(("op/", "servers/"))
            for key in [*(each["Key"] for each in writes), *removed]
        ):
            return 403, {}
        for each in expected:
            item = self.items.get(each["Key"])
            if (0 if item is None else item["Rev"]) != each["Rev"]:
                return 412, {"items": []}
        if any(
            each.get("Lease") and each["Lease"] not in self.leases for each in writes
        ):
            return 404, {}
        self.revision += 1
        for each in writes:
            self.put(each["Key"], base64.b64decode(each["Value"]), each.get("Lease", 0))
        for key in removed:
            self.remove(key)
        for observe in self.observers:
            observe(caller, fields)
        revision = self.revision
        await self.notify()
        return 200, {"Rev": revision}

    async def watch(self, query: Query) -> Answer:
        """Wait for changes after a revision."""
        prefix, after = query["Prefix"], int(query["After"])
        end_s = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [
                each
                for each in self.events
                if int(str(each["Rev"])) > after and str(each["Key"]).startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left_s, 0.1))
                except TimeoutError:
                    continue


class Run:
    """A task at work on a minion."""

    def __init__(self, task: str, number: int, spec: str, now_s: float) -> None:
        """Start a task whose spec holds its duration in milliseconds."""
        self.task = task
        self.number = number
        self.began_s = now_s
        self.length_s = json.loads(spec)["ms"] / 1000
        self.lasts = self.length_s > LASTING_S
        self.stop_at_s: float | None = None

    def percent(self, now_s: float) -> int:
        """Return how much is done, or how far a task that lasts is at work."""
        if self.lasts:
            return 100 if now_s - self.began_s > STARTUP_S else 50
        return min(99, int(100 * (now_s - self.began_s) / self.length_s))


class Minion:
    """A minion that starts what it is told to, within its leases."""

    def __init__(self, world: "World", number: int, host: str, port: int) -> None:
        """Create a minion that isn't up."""
        self.world = world
        self.id = f"i-{number:08x}"
        self.host, self.port = host, port
        self.rack = f"r-{number // 8}"
        self.sequence = 0
        self.fence = 0
        self.deadline_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.ends: list[list[object]] = []
        self.last_end = 0
        self.highest: dict[str, int] = {}
        self.began_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.ended = asyncio.Condition()
        self.is_cut = False
        # Called with the fields of a start that is left unanswered, if there is one.
        self.leave_start: Callable[[dict[str, object]], bool] = lambda _: False

    def crash(self) -> None:
        """End all that runs, and begin anew under the same id."""
        for run in self.runs.values():
            self.world.record.add(f"run    {run.task} run {run.number} gone: {self.id}")
        self.runs.clear()
        self.ends.clear()
        self.highest.clear()
        self.sequence = self.fence = self.last_end = 0
        self.deadline_ms = 0.0
        self.began_s = time.monotonic()
        self.born_ms = int(time.time() * 1000)

    async def cut_for(self, seconds: float) -> None:
        """Leave all calls of the machines unanswered for a while."""
        self.world.record.add(f"cut    {self.id}")
        self.is_cut = True
        await asyncio.sleep(seconds)
        self.is_cut = False
        self.world.record.add(f"healed {self.id}")

    def clock_ms(self) -> int:
        """Return its steady clock."""
        return int((time.monotonic() - self.began_s) * 1000)

    async def register(self) -> None:
        """Write its entry at each heartbeat, for ever."""
        while True:
            self.sequence += 1
            entry = {
                "Service": "desk",
                "Address": f"{self.host}:{self.port}",
                "Zone": ZONES[0],
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 0},
                "Labels": ["a", self.rack],
                "ClockMs": self.clock_ms(),
                "Seq": self.sequence,
                "born": self.born_ms,
            }
            await self.world.store.write(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self) -> None:
        """End the runs whose time has come, for ever."""
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if self.runs and self.clock_ms() > self.deadline_ms:
                for run in list(self.runs.values()):
                    await self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.stop_at_s is not None and now_s >= run.stop_at_s:
                    await self.end(run, "stopped")
                elif now_s >= run.began_s + run.length_s:
                    await self.end(run, "done")

    async def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.world.record.add(f"run    {run.task} run {run.number} {how} on {self.id}")
        async with self.ended:
            self.ended.notify_all()

    async def handle(
        self, _: str, path: str, __: Query, headers: dict[str, str], body: object
    ) -> Answer | None:
        """Answer a call."""
        fields = body if isinstance(body, dict) else {}
        if self.is_cut:
            return await self.stay_silent()
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        fence = fields.get("FencingToken", 0)
        if fence < self.fence:
            return 409, self.reply(Reason="fence")
        self.fence = fence
        if path == "/run-start":
            if self.leave_start(fields):
                return await self.stay_silent()
            return self.start(fields)
        if path == "/run-stop":
            task, number = fields["Task"], fields["Run"]
            run = self.runs.get(task)
            self.highest[task] = max(self.highest.get(task, 0), number)
            if run is not None and run.number <= number:
                run.stop_at_s = time.monotonic() + 0.05
            return 200, self.reply()
        if path == "/hold":
            answer = await self.hold(fields)
            return await self.stay_silent() if self.is_cut else answer
        return 200, self.reply()

    async def stay_silent(self) -> None:
        """Answer nothing; the caller gives up first."""
        await asyncio.sleep(10.0)

    def reply(self, **fields: object) -> dict[str, object]:
        """Return a body."""
        return {"ClockMs": self.clock_ms(), "born": self.born_ms, **fields}

    def extend(self, deadline_ms: float) -> None:
        """Extend the lease, which never shortens."""
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def start(self, fields: dict[str, object]) -> Answer:
        """Start a run."""
        task, number = str(fields["Task"]), int(str(fields["Run"]))
        deadline_ms = float(str(fields["DeadlineMs"]))
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, self.reply()
        if run is not None or number <= self.highest.get(task, 0):
            self.extend(deadline_ms)
            return 409, self.reply(Reason="old")
        if self.clock_ms() > deadline_ms:
            return 409, self.reply(Reason="late")
        if self.world.has_advice and fields.get("Ticket") != f"ticket-{self.id}":
            return 409, self.reply(Reason="ticket")
        if not self.runs:
            self.deadline_ms = 0.0
        self.extend(deadline_ms)
        self.runs[task] = Run(task, number, str(fields["Spec"]), time.monotonic())
        self.world.started(task, number, self.id)
        return 200, self.reply()

    async def hold(self, fields: dict[str, object]) -> Answer:
        """Extend the lease, and list what runs and what has ended."""
        if "DeadlineMs" in fields:
            self.extend(float(str(fields["DeadlineMs"])))
        last_seen = int(str(fields.get("LastSeen", 0)))
        self.ends = [end for end in self.ends if int(str(end[0])) > last_seen]
        wait_s = int(str(fields.get("WaitMs", 0))) / 1000
        if wait_s and not self.ends:
            async with self.ended:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.ended.wait(), wait_s)
        now_s = time.monotonic()
        rows = [
            [run.task, run.number, "", run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        return 200, self.reply(Running=rows, Ended=self.ends[:500])


class Advice:
    """The service that knows which minions may run a step: here, all of them."""

    def __init__(self, world: "World") -> None:
        """Create a service that isn't up."""
        self.world = world
        self.calls = 0
        self.is_up = True

    async def handle(
        self, _: str, __: str, ___: Query, ____: dict[str, str], body: object
    ) -> Answer | None:
        """Answer a call after the time that the queue's configuration says."""
        fields = body if isinstance(body, dict) else {}
        if not self.is_up:
            return None
        self.calls += 1
        await asyncio.sleep(
            (DECIDE_MS + PER_ITEM_MS * len(fields["Workers"])) / 1000,
        )
        good = [[each, f"ticket-{each}"] for each in fields["Workers"]]
        return 200, {"Good": good, "ValidForMs": VALID_FOR_MS}


class Member:
    """A process of the project on an entry host."""

    def __init__(self, world: "World", number: int) -> None:
        """Write the settings of a member that isn't started."""
        self.world = world
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.store_ip = f"127.0.0.{110 + number}"
        self.front = world.port, world.port + 1
        self.process: asyncio.subprocess.Process | None = None
        self.settings_path = world.folder / f"{self.name}.yaml"
        self.settings: dict[str, object] = {
            "NodeName": self.name,
            "Role": "member",
            "MachineClass": "front",
            "Serves": ["front"],
            "Ip": self.ip,
            "Zone": ZONES[number % 3],
            "Region": "region",
            "Zones": dict.fromkeys(ZONES, "region"),
            "Listen": {
                "Front": f"{self.ip}:{world.port}",
                "Ready": f"{self.ip}:{world.port + 1}",
            },
            "PortRange": [world.port + 2, world.port + 17],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1500,
            "Bounds": {
                "ContactMs": 3000,
                "AckMs": 4000,
                "DrainMs": 2000,
                "GraceS": 6,
                "ConfigApplyMs": 2000,
                "MaxHoldMs": MAX_HOLD_MS,
                "StopTimeoutMs": 900,
                "GangTimeoutMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "finish_s": 14,
                "status_s": 120,
                "FarX": 1.5,
                "CheckpointS": 2,
                "NoticeMs": 4500,
                "LeaseMs": 3000,
                "HarmMs": 4000,
            },
            "Orders": "rpc",
            "Advice": None,
            "platform": {
                "Address": f"{self.store_ip}:{world.port}",
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1_048_576,
                "TtlMinMs": 1000,
            },
        }
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file; JSON is a subset of YAML."""
        self.settings_path.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["member"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.world.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GOOSEBERRYDECK_CONFIG": str(self.settings_path),
        }
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.processes.append(self.process)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.world.record.add(f"signal {self.name} {number.name}")
            self.process.send_signal(number)

    async def restart_after(self, seconds: float) -> None:
        """Start the process again, as the platform does."""
        if self.process is not None:
            await self.process.wait()
        await asyncio.sleep(seconds)
        await self.start()

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = 3.0,
        port: int | None = None,
    ) -> tuple[int, object]:
        """Send a client's request; the status is 0 without a complete answer."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s + 0.2):
                reader, writer = await asyncio.open_connection(
                    self.ip, port or self.world.port
                )
                try:
                    writer.write(head.encode() + content)
                    message = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0, None
        if message is None:
            return 0, None
        first, _, reply = message
        try:
            value = json.loads(reply) if reply else None
        except ValueError:
            value = reply.decode("latin-1")
        return int(first.split(" ")[1]), value


class World:
    """The platform, its minions, and the members."""

    def __init__(self, folder: Path, members: int = 6, minions: int = 8) -> None:
        """Create all parts; nothing runs yet. ``folder`` receives the record."""
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_block(members)
        self.store = Store()
        self.minions = [
            Minion(self, number, "127.0.0.200", self.port + 20 + number)
            for number in range(minions)
        ]
        self.members = [Member(self, number) for number in range(members)]
        self.starts: dict[str, list[tuple[float, str, int, str]]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.servers: list[asyncio.Server] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.random = random.Random(7)
        self.has_advice = False
        self.advice = Advice(self)
        self.advice_server: asyncio.Server | None = None

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run something beside, until the end."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def started(self, task: str, number: int, minion: str) -> None:
        """Note that a minion has begun a task on an order."""
        now_s = time.monotonic()
        self.record.add(f"run    {task} run {number} started on {minion}")
        job = task.split(".")[0]
        self.starts.setdefault(job, []).append((now_s, task, number, minion))

    def configuration(self, version: int = 1) -> dict[str, object]:
        """Return a configuration with one queue and one tenant."""
        advice = {
            "DecideMs": DECIDE_MS,
            "PerItemMs": PER_ITEM_MS,
            "ValidForMs": VALID_FOR_MS,
        }
        return {
            "Version": version,
            "Routes": [
                {
                    **({"Advice": advice} if self.has_advice else {}),
                    "Name": "r-quick",
                    "Host": HOST,
                    "Prefix": "/quick/",
                    "Type": "non_idempotent",
                    "TimeoutMs": 3000,
                    "SloMs": 250,
                    "Priority": 0,
                    "Service": "desk",
                    "Attempts": 3,
                    "Stretch": 1.5,
                    "Public": False,
                }
            ],
            "Services": [{"Name": "desk", "AdmissionCheck": False, "Spare": False}],
            "Tenants": [{"Name": "team", "ApiKeys": [KEY], "Weight": 50}],
        }

    async def begin(self) -> None:
        """Start everything, and wait until the members are ready and one schedules."""
        self.spawn(self.store.expire())
        for member in self.members:
            handler = self.store.handler(member.name)
            self.servers.append(await listen(handler, member.store_ip, self.port))
        for minion in self.minions:
            self.servers.append(await listen(minion.handle, minion.host, minion.port))
            self.spawn(minion.register())
            self.spawn(minion.work())
        await self.store.write("op/config", self.configuration())
        for member in self.members:
            await member.start()
        async with asyncio.timeout(30):
            for member in self.members:
                while (await self.ready(member)) != 200:
                    await asyncio.sleep(0.1)
            while self.holder() is None:
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    async def add_advice(self, host: str) -> None:
        """Start the advice service, and have it named by the settings."""
        self.has_advice = True
        self.advice_server = await self.listen(self.advice.handle, host, self.port)
        for member in self.members:
            member.settings["Advice"] = f"{host}:{self.port}"
            member.write_settings()

    def close_advice(self) -> None:
        """Stop the advice service, with its open connections."""
        self.advice.is_up = False
        if self.advice_server is not None:
            self.advice_server.close()

    async def listen(self, handler: Handler, host: str, port: int) -> asyncio.Server:
        """Serve at an address until the end."""
        server = await listen(handler, host, port)
        self.servers.append(server)
        return server

    async def ready(self, member: Member) -> int:
        """Return the status of a member's readiness."""
        return (await member.call("GET", "/ready", port=self.port + 1))[0]

    def holder(self) -> Member | None:
        """Return the member that schedules, as the store says."""
        record = self.store.value("shards/0000")
        name = record.get("holder") if isinstance(record, dict) else None
        return next((each for each in self.members if each.name == name), None)

    def new_id(self) -> str:
        """Return the id of a new job."""
        return f"{self.random.getrandbits(64):016x}"

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write(f"logs in {self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_block(members: int) -> int:
    """Return the first of 40 ports that are free on all addresses."""
    hosts = [f"127.0.0.{10 + number}" for number in range(members)]
    hosts += [f"127.0.0.{110 + number}" for number in range(members)]
    hosts += ["127.0.0.200", "127.0.0.210", "127.0.0.211"]
    for _ in range(50):
        first = random.randrange(12_000, 30_000, 50)
        if all(is_free(host, first + each) for host in hosts for each in range(40)):
            return first
    raise OSError("no free ports")


def is_free(host: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as found:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            found.bind((host, port))
        except OSError:
            return False
    return True


def job(
    milliseconds: int, count: int = 2, cpu: int = 1_000, **fields: object
) -> object:
    """Return the body of a job with one step."""
    step = {"Count": count, "Cpu": cpu, "MemMb": 100, "EstimateMs": milliseconds}
    return {"Spec": json.dumps({"ms": milliseconds}), "Steps": [{**step, **fields}]}


def play(
    folder: Path, case: Callable[[World, bool], Awaitable[int]], advice: str = ""
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run.

    ``advice`` is the host of the advice service, if the queue has one.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(115):
                if advice:
                    await world.add_advice(advice)
                await world.begin()
                return await case(world, has_trouble)
        except TimeoutError:
            world.record.add("the case could not be played in time")
            return 2
        finally:
            await world.end()

    try:
        return asyncio.run(run())
    except OSError as error:
        sys.stderr.write(f"the case could not be played: {error}\n")
        return 2
