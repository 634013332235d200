"""In-memory key-value store with the semantics of etcd."""

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
    """A lease, the monotonic time when it expires and the keys attached to it."""

    id: int
    ttl_s: float
    expires_at_s: float
    keys: set[bytes] = msgspec.field(default_factory=set)


class StoreEngine:
    """Keys, revisions, leases and the change history of the store.

    The engine does no locking: callers in several threads must hold ``changed``,
    which is notified at each new revision. ``calls`` counts requests by name; a
    watch counts once, however long it lasts.
    """

    def __init__(
        self, clock: Clock, history_events: int = DEFAULT_HISTORY_EVENTS
    ) -> None:
        """Create an empty store at revision 1.

        The history keeps at most ``history_events`` events.
        """
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
        """Return the entries of a range, sorted by key."""
        self.expire_leases()
        if not range_end:
            found = self.values.get(key)
            return [] if found is None else [found]
        return [self.values[each] for each in self.keys_in_range(key, range_end)]

    def keys_in_range(self, start: bytes, range_end: bytes) -> list[bytes]:
        """Return the existing keys of a range, sorted."""
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
        """Apply the operations under one revision if every condition holds.

        Returns whether the conditions held. Raises ``InvalidRequestError`` or
        ``LeaseNotFoundError`` without any effect.
        """
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
        self.append_events(events)
        return True

    def check_transaction(
        self,
        conditions: Sequence[Condition],
        operations: Sequence[PutKey | DeleteRange],
    ) -> None:
        """Raise ``InvalidRequestError`` for a transaction that etcd rejects."""
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
        """Raise ``InvalidRequestError`` if a key is put twice, or put and deleted."""
        puts = [each.key for each in operations if isinstance(each, PutKey)]
        deletes = [each for each in operations if isinstance(each, DeleteRange)]
        overlaps = any(
            in_range(key, each.key, each.range_end) for each in deletes for key in puts
        )
        if overlaps or len(set(puts)) < len(puts):
            raise InvalidRequestError("duplicate key given in txn request")

    def check_leases(self, operations: Sequence[PutKey | DeleteRange]) -> None:
        """Raise ``LeaseNotFoundError`` if a put refers to a missing lease."""
        for each in operations:
            if isinstance(each, PutKey) and each.lease:
                self.lease(each.lease)

    def holds(self, condition: Condition) -> bool:
        """Return True if a condition holds at the current revision."""
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
        """Write one key at a revision and return the event."""
        previous = self.values.get(put.key)
        if previous is None:
            insort(self.keys, put.key)
        else:
            self.detach_from_lease(previous)
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
        """Delete the keys of a range at a revision and return the events."""
        names = list(self.keys_in_range(delete.key, delete.range_end))
        return [self.delete(name, revision) for name in names]

    def delete(self, key: bytes, revision: int) -> Event:
        """Delete an existing key at a revision and return the event."""
        self.detach_from_lease(self.values.pop(key))
        del self.keys[bisect_left(self.keys, key)]
        return Event(True, KeyValue(key, b"", 0, revision, 0))

    def detach_from_lease(self, stored: KeyValue) -> None:
        """Remove a key from its lease, so that it outlives the lease."""
        if stored.lease in self.leases:
            self.leases[stored.lease].keys.discard(stored.key)

    def append_events(self, events: Sequence[Event]) -> None:
        """Append events to the history under a new revision and notify watchers.

        The oldest revisions are compacted once the history is over its limit.
        """
        if not events:
            return
        self.revision += 1
        self.history.extend(events)
        while len(self.history) > self.history_events:
            self.compact(self.history[0].kv.mod_revision + 1)
        self.notify_changed()

    def notify_changed(self) -> None:
        """Wake the threads that wait on ``changed``."""
        with self.changed:
            self.changed.notify_all()

    def compact(self, revision: int) -> None:
        """Drop the events before a revision.

        Raises ``InvalidRequestError`` for a future or already compacted revision.
        """
        if not self.compact_revision <= revision <= self.revision:
            raise InvalidRequestError(f"revision {revision} cannot be compacted")
        self.compact_revision = revision
        while self.history and self.history[0].kv.mod_revision < revision:
            self.history.popleft()

    def events_since(
        self, start_revision: int, key: bytes, range_end: bytes = b""
    ) -> list[Event]:
        """Return the events of a range from ``start_revision`` on, in order.

        Raises ``CompactedError`` if the revision is no longer in the history.
        """
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
        """Grant a lease and return its id. The minimum TTL is one second."""
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
        found.expires_at_s = self.clock.monotonic() + found.ttl_s
        return found.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys under one revision."""
        self.expire_leases()
        self.end_lease(self.lease(lease))

    def end_lease(self, lease: Lease) -> None:
        """Delete a lease and its keys."""
        del self.leases[lease.id]
        revision = self.revision + 1
        self.append_events([self.delete(key, revision) for key in sorted(lease.keys)])

    def expire_leases(self) -> None:
        """Remove the leases that have expired, in order of expiry."""
        now = self.clock.monotonic()
        expired = [each for each in self.leases.values() if each.expires_at_s <= now]
        for lease in sorted(expired, key=lambda each: each.expires_at_s):
            self.end_lease(lease)

    def next_expiry_s(self) -> float | None:
        """Return the monotonic time of the next lease expiry, or None."""
        return min((each.expires_at_s for each in self.leases.values()), default=None)
