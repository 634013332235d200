"""A key-value service in memory, with the semantics of etcd."""

import threading
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_standins.store_values import (
    CompactedError,
    Condition,
    ConditionTarget,
    DeleteRange,
    Event,
    InvalidRequestError,
    KeyValue,
    LeaseNotFoundError,
    PutKey,
    StoreEngineError,
    in_range,
    prefix_end,
)

__all__ = [
    "MAX_TRANSACTION_OPERATIONS",
    "CompactedError",
    "Condition",
    "ConditionTarget",
    "DeleteRange",
    "Event",
    "InvalidRequestError",
    "KeyValue",
    "LeaseNotFoundError",
    "PutKey",
    "StoreEngine",
    "StoreEngineError",
    "prefix_end",
]

MAX_TRANSACTION_OPERATIONS = 128
MAX_REQUEST_BYTES = 1_572_864
DEFAULT_HISTORY_EVENTS = 200_000


class Lease(msgspec.Struct):
    """A lease, the time when it lapses and the keys bound to it."""

    id: int
    ttl_s: float
    lapses_at_s: float
    keys: set[bytes] = msgspec.field(default_factory=set)


class StoreEngine:
    """Keys, revisions, leases and the history of changes.

    Callers from several threads hold ``changed``, which is notified at each new
    revision. ``calls`` counts each call by name, a waiting watch as one.
    """

    def __init__(
        self, clock: Clock, history_events: int = DEFAULT_HISTORY_EVENTS
    ) -> None:
        """Begin empty, at revision 1."""
        self.clock = clock
        self.history_events = history_events
        self.revision = 1
        self.compact_revision = 0
        self.changed = threading.Condition()
        self.calls: Counter[str] = Counter()
        self.values: dict[bytes, KeyValue] = {}
        self.keys: list[bytes] = []
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.history: deque[Event] = deque()

    def range(self, key: bytes, range_end: bytes = b"") -> list[KeyValue]:
        """Return the keys of a range in order."""
        self.expire_leases()
        if not range_end:
            found = self.values.get(key)
            return [] if found is None else [found]
        return [self.values[each] for each in self.keys_in_range(key, range_end)]

    def keys_in_range(self, start: bytes, range_end: bytes) -> list[bytes]:
        """Return the names of the keys in a range."""
        if not range_end:
            return [start] if start in self.values else []
        first = bisect_left(self.keys, start)
        if range_end == b"\x00":
            return self.keys[first:]
        return self.keys[first : bisect_left(self.keys, range_end)]

    def transact(
        self,
        conditions: Sequence[Condition],
        operations: Sequence[PutKey | DeleteRange],
    ) -> bool:
        """Apply the operations if every condition holds; tell whether it did."""
        self.expire_leases()
        self.check_transaction(conditions, operations)
        if not all(self.holds(condition) for condition in conditions):
            return False
        self.check_leases(operations)
        events: list[Event] = []
        revision = self.revision + 1
        for operation in operations:
            if isinstance(operation, PutKey):
                events.append(self.put(operation, revision))
            else:
                events.extend(self.delete_range(operation, revision))
        self.publish(events)
        return True

    def check_transaction(
        self,
        conditions: Sequence[Condition],
        operations: Sequence[PutKey | DeleteRange],
    ) -> None:
        """Refuse a transaction that etcd would refuse."""
        if max(len(conditions), len(operations)) > MAX_TRANSACTION_OPERATIONS:
            raise InvalidRequestError("too many operations in txn request")
        size = sum(
            len(each.key) + (len(each.value) if isinstance(each, PutKey) else 0)
            for each in operations
        )
        if size > MAX_REQUEST_BYTES:
            raise InvalidRequestError("request is too large")
        self.check_overlaps(operations)

    def check_overlaps(self, operations: Sequence[PutKey | DeleteRange]) -> None:
        """Refuse a transaction that puts a key twice, or puts and deletes it."""
        puts = [each.key for each in operations if isinstance(each, PutKey)]
        deletes = [each for each in operations if isinstance(each, DeleteRange)]
        overlaps = any(
            in_range(key, each.key, each.range_end) for each in deletes for key in puts
        )
        if overlaps or len(set(puts)) < len(puts):
            raise InvalidRequestError("duplicate key given in txn request")

    def check_leases(self, operations: Sequence[PutKey | DeleteRange]) -> None:
        """Refuse a put that is bound to a lease which does not exist."""
        for each in operations:
            if isinstance(each, PutKey) and each.lease:
                self.lease(each.lease)

    def holds(self, condition: Condition) -> bool:
        """Tell whether a condition holds now."""
        current = self.values.get(condition.key)
        target = condition.target
        if target is ConditionTarget.VALUE:
            return current is not None and current.value == condition.expected
        if current is None:
            return condition.expected == 0
        actual = {
            ConditionTarget.VERSION: current.version,
            ConditionTarget.CREATE: current.create_revision,
            ConditionTarget.MOD: current.mod_revision,
            ConditionTarget.LEASE: current.lease,
        }[target]
        return actual == condition.expected

    def put(self, put: PutKey, revision: int) -> Event:
        """Write one key at a revision."""
        previous = self.values.get(put.key)
        if previous is None:
            insort(self.keys, put.key)
        else:
            self.unbind(previous)
        stored = KeyValue(
            put.key,
            put.value,
            revision if previous is None else previous.create_revision,
            revision,
            1 if previous is None else previous.version + 1,
            put.lease,
        )
        self.values[put.key] = stored
        if put.lease:
            self.leases[put.lease].keys.add(put.key)
        return Event(False, stored)

    def delete_range(self, delete: DeleteRange, revision: int) -> list[Event]:
        """Delete the keys of a range at a revision."""
        names = list(self.keys_in_range(delete.key, delete.range_end))
        return [self.delete(name, revision) for name in names]

    def delete(self, key: bytes, revision: int) -> Event:
        """Delete one key that exists, at a revision."""
        self.unbind(self.values.pop(key))
        del self.keys[bisect_left(self.keys, key)]
        return Event(True, KeyValue(key, b"", 0, revision, 0))

    def unbind(self, stored: KeyValue) -> None:
        """Take a key off its lease."""
        if stored.lease in self.leases:
            self.leases[stored.lease].keys.discard(stored.key)

    def publish(self, events: Sequence[Event]) -> None:
        """Take changes into the history under a new revision."""
        if not events:
            return
        self.revision += 1
        self.history.extend(events)
        while len(self.history) > self.history_events:
            self.compact(self.history[0].kv.mod_revision + 1)
        self.changed_notify()

    def changed_notify(self) -> None:
        """Wake those who wait for changes."""
        with self.changed:
            self.changed.notify_all()

    def compact(self, revision: int) -> None:
        """Forget the changes before a revision."""
        if not self.compact_revision <= revision <= self.revision:
            raise InvalidRequestError(f"revision {revision} cannot be compacted")
        self.compact_revision = revision
        while self.history and self.history[0].kv.mod_revision < revision:
            self.history.popleft()

    def events_since(
        self, start_revision: int, key: bytes, range_end: bytes = b""
    ) -> list[Event]:
        """Return the changes of a range from a revision on, in order."""
        self.expire_leases()
        if start_revision < self.compact_revision:
            raise CompactedError(self.compact_revision)
        found = []
        for event in reversed(self.history):
            if event.kv.mod_revision < start_revision:
                break
            if in_range(event.kv.key, key, range_end):
                found.append(event)
        found.reverse()
        return found

    def grant_lease(self, ttl_s: float) -> int:
        """Grant a lease and return its id."""
        self.expire_leases()
        if ttl_s < 1:
            raise InvalidRequestError("a lease lives for at least one second")
        lease = Lease(self.next_lease, ttl_s, self.clock.monotonic() + ttl_s)
        self.next_lease += 1
        self.leases[lease.id] = lease
        return lease.id

    def lease(self, lease: int) -> Lease:
        """Return a lease, or raise ``LeaseNotFoundError``."""
        if lease not in self.leases:
            raise LeaseNotFoundError("requested lease not found")
        return self.leases[lease]

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in seconds."""
        self.expire_leases()
        found = self.lease(lease)
        found.lapses_at_s = self.clock.monotonic() + found.ttl_s
        return found.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys under one revision."""
        self.expire_leases()
        self.end_lease(self.lease(lease))

    def end_lease(self, lease: Lease) -> None:
        """Delete a lease and its keys."""
        del self.leases[lease.id]
        revision = self.revision + 1
        self.publish([self.delete(key, revision) for key in sorted(lease.keys)])

    def expire_leases(self) -> None:
        """End the leases that have lapsed by now."""
        now = self.clock.monotonic()
        lapsed = [each for each in self.leases.values() if each.lapses_at_s <= now]
        for lease in sorted(lapsed, key=lambda each: each.lapses_at_s):
            self.end_lease(lease)

    def next_lapse_s(self) -> float | None:
        """Return the monotonic time when the next lease lapses, if there is one."""
        return min((each.lapses_at_s for each in self.leases.values()), default=None)
