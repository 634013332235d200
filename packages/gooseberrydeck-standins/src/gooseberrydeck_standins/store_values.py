"""What the store engine holds, is asked to do, and refuses."""

from enum import Enum

import msgspec

from gooseberrydeck_platform.etcd_messages import prefix_end

__all__ = [
    "CompactedError",
    "Condition",
    "ConditionTarget",
    "DeleteRange",
    "Event",
    "InvalidRequestError",
    "KeyValue",
    "LeaseNotFoundError",
    "PutKey",
    "StoreEngineError",
    "in_range",
    "prefix_end",
]


class StoreEngineError(Exception):
    """The base of the refusals of the engine; a refused call has no effect."""


class InvalidRequestError(StoreEngineError):
    """The request can never be served."""


class LeaseNotFoundError(StoreEngineError):
    """The lease does not exist or has lapsed."""


class CompactedError(StoreEngineError):
    """The revision asked for is no longer kept."""

    def __init__(self, compact_revision: int) -> None:
        """Tell the oldest revision that is still kept."""
        super().__init__(f"revisions below {compact_revision} have been compacted")
        self.compact_revision = compact_revision


class KeyValue(msgspec.Struct, frozen=True):
    """A key as stored; one that was deleted has version 0 and no value."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Event(msgspec.Struct, frozen=True):
    """One change of a key."""

    is_delete: bool
    kv: KeyValue


class ConditionTarget(Enum):
    """What a condition of a transaction looks at."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class Condition(msgspec.Struct, frozen=True):
    """Require that a key's ``target`` equals ``expected``."""

    key: bytes
    target: ConditionTarget
    expected: int | bytes


class PutKey(msgspec.Struct, frozen=True):
    """Write a value, bound to a lease unless that is 0."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteRange(msgspec.Struct, frozen=True):
    """Delete a key, or every key from it up to ``range_end``."""

    key: bytes
    range_end: bytes = b""


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Tell whether a key is in a range as etcd writes it."""
    if not range_end:
        return key == start
    return key >= start and (range_end == b"\x00" or key < range_end)
