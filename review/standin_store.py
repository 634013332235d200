"""Stand-in of the platform's metadata store."""

import base64
import json
import threading
import time
from collections.abc import Callable

from standin_record import Record
from standin_web import Answer, Call, WebServer, json_answer

__all__ = ["Store"]

ANSWER_S = 0.004
"""Time that the store takes to answer."""

MAX_ENTRIES = 32
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
WRITES_PER_S = 400
READS_PER_S = 2_000


class Door:
    """The store as one machine reaches it."""

    def __init__(self, store: "Store", machine: str) -> None:
        """Open an address for the machine."""
        self.store = store
        self.machine = machine
        self.refuses = False
        self.server = WebServer(self.handle)

    def handle(self, call: Call) -> Answer:
        """Serve a call of the machine, or turn it away."""
        if self.refuses:
            self.store.record.add("store", f"503 to {self.machine}: {call.path}")
            return json_answer(503, {})
        return self.store.handle(self.machine, call)


class Store:
    """Items with revisions, transactions, watches and leases."""

    def __init__(self, record: Record) -> None:
        """Create an empty store."""
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.doors: dict[str, Door] = {}
        self.second = 0
        self.used = {"read": 0, "write": 0}
        # Called with the machine and the transaction once one has been applied.
        self.on_applied: Callable[[str, dict[str, object]], None] | None = None
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def door(self, machine: str) -> Door:
        """Return the door of a machine, opening it if needed."""
        if machine not in self.doors:
            self.doors[machine] = Door(self, machine)
        return self.doors[machine]

    # Changes; the caller holds the lock.

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item at the present revision."""
        former = self.items.get(key)
        created = self.revision if former is None else former["CreateRevision"]
        item = {
            "Key": key,
            "Value": value,
            "Rev": self.revision,
            "CreateRevision": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def drop(self, key: str) -> None:
        """Remove an item at the present revision."""
        if self.items.pop(key, None) is not None:
            self.events.append({"Key": key, "Rev": self.revision, "Removed": True})

    # The operator and the minions, which reach the store at all times.

    def write(self, key: str, value: bytes) -> None:
        """Write an item with any bytes as its value."""
        with self.changed:
            self.revision += 1
            self.put(key, base64.b64encode(value).decode())
            self.changed.notify_all()

    def write_json(self, key: str, value: object) -> None:
        """Write an item with a JSON value."""
        self.write(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self.changed:
            self.revision += 1
            self.drop(key)
            self.changed.notify_all()

    def read_json(self, key: str) -> dict[str, object] | None:
        """Return an item's JSON value."""
        with self.changed:
            item = self.items.get(key)
        if item is None:
            return None
        value: dict[str, object] = json.loads(base64.b64decode(str(item["Value"])))
        return value

    def expire_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        while True:
            time.sleep(0.02)
            now_s = time.monotonic()
            with self.changed:
                ended = [
                    each for each, (_, end_s) in self.leases.items() if now_s >= end_s
                ]
                for lease in ended:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease; the caller holds the lock."""
        if self.leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [k for k, each in self.items.items() if each["Lease"] == lease]:
            self.drop(key)
        self.changed.notify_all()

    # Calls of machines.

    def is_over_rate(self, kind: str) -> bool:
        """Count a call; return True if it is over the limit of all machines."""
        limit = READS_PER_S if kind == "read" else WRITES_PER_S
        with self.changed:
            second = int(time.monotonic())
            if second != self.second:
                self.second = second
                self.used = {"read": 0, "write": 0}
            self.used[kind] += 1
            return self.used[kind] > limit

    def handle(self, machine: str, call: Call) -> Answer:
        """Serve a call."""
        if call.path.startswith("/kv-keep/"):
            return self.keep_lease(int(call.path.rpartition("/")[2]))
        kind = "read" if call.method == "GET" else "write"
        if self.is_over_rate(kind):
            return json_answer(429, {})
        if call.path == "/kv-watch":
            return self.watch(call)
        if call.path == "/kv-txn":
            return self.transact(machine, call.json())
        time.sleep(ANSWER_S)
        if call.path == "/kv-key":
            with self.changed:
                item = self.items.get(call.query["Key"])
            return json_answer(404, {}) if item is None else json_answer(200, item)
        if call.path == "/kv-range":
            return self.range(call)
        if call.path == "/kv-lease":
            ttl_ms = max(1_000, int(call.json()["TtlMs"]))
            with self.changed:
                self.revision += 1
                lease = self.revision
                ttl_s = ttl_ms / 1000
                self.leases[lease] = ttl_s, time.monotonic() + ttl_s
            return json_answer(200, {"Lease": lease, "TtlMs": ttl_ms})
        if call.path.startswith("/kv-lease-end/"):
            with self.changed:
                self.end_lease(int(call.path.rpartition("/")[2]))
            return json_answer(200, {})
        return json_answer(404, {})

    def keep_lease(self, lease: int) -> Answer:
        """Renew a lease."""
        time.sleep(ANSWER_S)
        with self.changed:
            if lease not in self.leases:
                return json_answer(404, {})
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = ttl_s, time.monotonic() + ttl_s
        return json_answer(200, {"Lease": lease, "TtlMs": int(ttl_s * 1000)})

    def range(self, call: Call) -> Answer:
        """Serve a page of items."""
        prefix, after = call.query["Prefix"], call.query.get("After", "")
        with self.changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            is_truncated = len(keys) > PAGE_ITEMS
            answer = {"items": page, "Truncated": is_truncated, "AsOf": self.revision}
        return json_answer(200, answer)

    def watch(self, call: Call) -> Answer:
        """Serve the changes after a revision, waiting for the first."""
        prefix, after = call.query["Prefix"], int(call.query["After"])
        wait_s = min(MAX_WAIT_MS, int(call.query.get("WaitMs", 0))) / 1000
        end_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    each
                    for each in self.events
                    if int(str(each["Rev"])) > after
                    and str(each["Key"]).startswith(prefix)
                ]
                remaining_s = end_s - time.monotonic()
                if found or remaining_s <= 0:
                    return json_answer(200, {"events": found, "AsOf": self.revision})
                self.changed.wait(remaining_s)

    def transact(
        self, machine: str, wire: dict[str, list[dict[str, object]]]
    ) -> Answer:
        """Apply a transaction if its conditions hold."""
        expected = wire.get("ExpectRev") or []
        writes, removed = wire.get("Writes") or [], wire.get("Remove") or []
        if len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return json_answer(400, {})
        keys = [str(each["Key"]) for each in writes] + [str(each) for each in removed]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return json_answer(403, {})
        with self.changed:
            leases = {int(str(each.get("Lease") or 0)) for each in writes} - {0}
            if leases - self.leases.keys():
                return json_answer(404, {})
            for each in expected:
                item = self.items.get(str(each["Key"]))
                if (0 if item is None else item["Rev"]) != each["Rev"]:
                    return json_answer(412, {"items": self.current(expected)})
            self.revision += 1
            revision = self.revision
            for each in writes:
                lease = int(str(each.get("Lease") or 0))
                self.put(str(each["Key"]), str(each["Value"]), lease)
            for key in removed:
                self.drop(str(key))
            self.changed.notify_all()
        for key in keys:
            self.record.add("store", f"applied for {machine}: {key}")
        if self.on_applied is not None:
            self.on_applied(machine, {"keys": keys})
        time.sleep(ANSWER_S)
        return json_answer(200, {"Rev": revision})

    def current(self, expected: list[dict[str, object]]) -> list[dict[str, object]]:
        """Return the items that exist of those in a transaction's conditions."""
        names = [str(each["Key"]) for each in expected]
        return [self.items[name] for name in names if name in self.items]
