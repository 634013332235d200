"""The JSON of etcd's v3 gateway.

Keys and values are base64, 64-bit integers are strings, and fields with a zero value
are left out.
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
"""A 64-bit integer, which the gateway writes as a string."""


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """What every answer begins with."""

    revision: Int64 = 0


class KeyValueBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key as stored."""

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
    """The answer to ``/v3/kv/range``."""

    header: Header = Header()
    kvs: tuple[KeyValueBody, ...] = ()


class CompareBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A compare; one of the last five fields is set, by ``target``."""

    key: bytes
    target: str
    result: str = "EQUAL"
    version: Int64 | None = None
    create_revision: Int64 | None = None
    mod_revision: Int64 | None = None
    lease: Int64 | None = None
    value: bytes | None = None


class PutBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A put, by itself or in a transaction."""

    key: bytes
    value: bytes = b""
    lease: Int64 = 0


class DeleteBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """A deletion of a key or of a range."""

    key: bytes
    range_end: bytes = b""


class OperationBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation of a transaction; one of the fields is set."""

    request_put: PutBody | None = None
    request_delete_range: DeleteBody | None = None
    request_range: RangeRequest | None = None


class TransactionRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of ``/v3/kv/txn``."""

    compare: tuple[CompareBody, ...] = ()
    success: tuple[OperationBody, ...] = ()
    failure: tuple[OperationBody, ...] = ()


class TransactionResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to ``/v3/kv/txn``."""

    header: Header = Header()
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/lease/grant``."""

    TTL: Int64
    ID: Int64 = 0


class LeaseGrantResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to ``/v3/lease/grant``."""

    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/lease/keepalive`` and of ``/v3/lease/revoke``."""

    ID: Int64


class LeaseKeepAliveResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The lease as kept alive; a TTL of 0 tells that it is gone."""

    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseKeepAliveResponse(msgspec.Struct, frozen=True):
    """One message of the stream that ``/v3/lease/keepalive`` answers."""

    result: LeaseKeepAliveResult


class WatchCreateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """What to watch, and from which revision on."""

    key: bytes
    range_end: bytes = b""
    start_revision: Int64 = 0
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, frozen=True):
    """The body of ``/v3/watch``."""

    create_request: WatchCreateRequest


class EventBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change; the type is left out for a put."""

    kv: KeyValueBody
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes, or that the watch was created or cancelled."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    cancel_reason: str = ""
    events: tuple[EventBody, ...] = ()


class StreamError(msgspec.Struct, frozen=True, omit_defaults=True):
    """The error that ends a stream."""

    message: str = ""
    grpc_code: int = 0


class WatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream that ``/v3/watch`` answers."""

    result: WatchResult | None = None
    error: StreamError | None = None


class EtcdErrorResponse(msgspec.Struct, frozen=True):
    """The body of an answer with another status than 200."""

    code: int = 0
    message: str = ""


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range of keys that begin with ``prefix``."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\x00"
