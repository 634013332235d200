"""JSON messages of etcd's v3 gRPC gateway.

Keys and values are encoded as base64 and 64-bit integers as strings. Fields with a
zero value are omitted.
"""

import msgspec

__all__ = [
    "Int64",
    "Header",
    "KeyValueBody",
    "RangeRequest",
    "RangeResponse",
    "CompareBody",
    "PutBody",
    "DeleteBody",
    "OperationBody",
    "TransactionRequest",
    "TransactionResponse",
    "LeaseGrantRequest",
    "LeaseGrantResponse",
    "LeaseRequest",
    "LeaseKeepAliveResponse",
    "LeaseKeepAliveResult",
    "WatchRequest",
    "WatchCreateRequest",
    "WatchResponse",
    "WatchResult",
    "EventBody",
    "EtcdErrorResponse",
    "StreamError",
    "prefix_end",
]

Int64 = int | str
"""A 64-bit integer; the gateway encodes it as a string."""


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """The header of every response, with the revision of the store."""

    revision: Int64 = 0


class KeyValueBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key-value pair with its revisions, version and lease."""

    key: bytes = b""
    value: bytes = b""
    create_revision: Int64 = 0
    mod_revision: Int64 = 0
    version: Int64 = 0
    lease: Int64 = 0


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of ``/v3/kv/range``."""

    key: bytes
    range_end: bytes = b""


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to ``/v3/kv/range``."""

    header: Header = Header()
    kvs: tuple[KeyValueBody, ...] = ()


class CompareBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A condition of a transaction.

    ``target`` names which of the last five fields is set and compared.
    """

    key: bytes
    target: str
    result: str = "EQUAL"
    version: Int64 | None = None
    create_revision: Int64 | None = None
    mod_revision: Int64 | None = None
    lease: Int64 | None = None
    value: bytes | None = None


class PutBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A put, as a request of its own or as part of a transaction."""

    key: bytes
    value: bytes = b""
    lease: Int64 = 0


class DeleteBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A deletion of a key or of a range of keys."""

    key: bytes
    range_end: bytes = b""


class OperationBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation of a transaction; exactly one field is set."""

    request_put: PutBody | None = None
    request_delete_range: DeleteBody | None = None
    request_range: RangeRequest | None = None


class TransactionRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of ``/v3/kv/txn``."""

    compare: tuple[CompareBody, ...] = ()
    success: tuple[OperationBody, ...] = ()
    failure: tuple[OperationBody, ...] = ()


class TransactionResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to ``/v3/kv/txn``; ``succeeded`` is True if all compares held."""

    header: Header = Header()
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/lease/grant``; ``TTL`` is in seconds."""

    TTL: Int64
    ID: Int64 = 0


class LeaseGrantResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The response to ``/v3/lease/grant``, with the TTL that was granted."""

    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/lease/keepalive`` and ``/v3/lease/revoke``."""

    ID: Int64


class LeaseKeepAliveResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """A renewed lease; a TTL of 0 means that the lease no longer exists."""

    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseKeepAliveResponse(msgspec.Struct, frozen=True):
    """A message of the response stream of ``/v3/lease/keepalive``."""

    result: LeaseKeepAliveResult


class WatchCreateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The key or range to watch and the first revision to report."""

    key: bytes
    range_end: bytes = b""
    start_revision: Int64 = 0
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/watch``."""

    create_request: WatchCreateRequest


class EventBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change to a key; ``type`` is omitted for a put."""

    kv: KeyValueBody
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Events, or a notice that the watch was created or cancelled."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    cancel_reason: str = ""
    events: tuple[EventBody, ...] = ()


class StreamError(msgspec.Struct, frozen=True, omit_defaults=True):
    """The error with which the gateway ends a stream."""

    message: str = ""
    grpc_code: int = 0


class WatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message of the response stream of ``/v3/watch``, one a line."""

    result: WatchResult | None = None
    error: StreamError | None = None


class EtcdErrorResponse(msgspec.Struct, frozen=True):
    """The body of a response whose status is not 200."""

    code: int = 0
    message: str = ""


def prefix_end(prefix: bytes) -> bytes:
    """Return the ``range_end`` that selects all keys beginning with ``prefix``."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\x00"
