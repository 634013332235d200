"""A store client for the JSON gateway of etcd."""

import math
from collections.abc import Iterator, Sequence
from typing import NoReturn, TypeVar

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.exceptions import (
    StoreCompactedError,
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision, StoreLeaseId
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Entry,
    EventKind,
    Operation,
    Put,
    Snapshot,
    Transaction,
    TransactionResult,
    WatchBatch,
    WatchEvent,
)
from gooseberrydeck_platform.etcd_messages import (
    CompareBody,
    DeleteBody,
    EtcdErrorResponse,
    EventBody,
    KeyValueBody,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseRequest,
    OperationBody,
    PutBody,
    RangeRequest,
    RangeResponse,
    TransactionRequest,
    TransactionResponse,
    WatchCreateRequest,
    WatchRequest,
    WatchResponse,
    WatchResult,
    prefix_end,
)
from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpError,
    HttpNotSentError,
    HttpOutcomeUnknownError,
    HttpResponse,
    HttpStream,
)
from gooseberrydeck_platform.http_pool import HttpPool

__all__ = ["EtcdStore"]

T = TypeVar("T")

HEADERS = {"Content-Type": "application/json"}

# gRPC status codes.
CODE_INVALID = 3
CODE_NOT_FOUND = 5
CODE_EXHAUSTED = 8
CODE_OUT_OF_RANGE = 11
CODE_UNAVAILABLE = 14

NOT_PROPOSED_MESSAGES = ("etcdserver: no leader",)
"""Messages of code 14 that are sent only before a write is proposed to Raft.

Any other failure with that code may come after the proposal.
"""


class EmptyResponse(msgspec.Struct, frozen=True):
    """The response to a call that returns no data."""


class EtcdStore:
    """A thread-safe client for an etcd cluster at one or more addresses.

    A failed read always raises ``StoreUnavailableError``, because a read has no effect.
    """

    def __init__(self, addresses: Sequence[HttpAddress]) -> None:
        """Create a client without open connections."""
        self.pool = HttpPool(addresses)

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        response = self.read_range(RangeRequest(key.encode()), timeout_s)
        return to_entry(response.kvs[0]) if response.kvs else None

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return all entries whose keys begin with ``prefix``, sorted by key."""
        start = prefix.encode()
        response = self.read_range(RangeRequest(start, prefix_end(start)), timeout_s)
        entries = tuple(to_entry(each) for each in response.kvs)
        return Snapshot(entries, Revision(int(response.header.revision)))

    def read_range(self, call: RangeRequest, timeout_s: float) -> RangeResponse:
        """Read one key or a range; raise ``StoreUnavailableError`` on failure."""
        try:
            return self.call("/v3/kv/range", call, RangeResponse, timeout_s)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction if all its compares hold."""
        body = TransactionRequest(
            tuple(to_compare_body(each) for each in transaction.compares),
            tuple(to_operation_body(each) for each in transaction.operations),
        )
        response = self.call("/v3/kv/txn", body, TransactionResponse, timeout_s)
        return TransactionResult(
            response.succeeded, Revision(int(response.header.revision))
        )

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that expires unless it is kept alive.

        etcd counts in whole seconds, so ``ttl_s`` is rounded up.
        """
        body = LeaseGrantRequest(TTL=str(math.ceil(ttl_s)))
        response = self.call("/v3/lease/grant", body, LeaseGrantResponse, timeout_s)
        return StoreLeaseId(int(response.ID))

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> int:
        """Renew a lease and return its time to live in seconds.

        Raise ``StoreLeaseLostError`` if the lease no longer exists.
        """
        body = LeaseRequest(ID=str(lease))
        response = self.call(
            "/v3/lease/keepalive", body, LeaseKeepAliveResponse, timeout_s
        )
        ttl_s = int(response.result.TTL)
        if ttl_s <= 0:
            raise StoreLeaseLostError(f"lease {lease} no longer exists")
        return ttl_s

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """Revoke a lease, which deletes its keys."""
        self.call(
            "/v3/lease/revoke", LeaseRequest(ID=str(lease)), EmptyResponse, timeout_s
        )

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield changes from revision ``start`` on until the stream ends.

        Progress notifications yield empty batches. Raise ``StoreUnavailableError`` if
        the stream fails or nothing arrives for ``timeout_s``.
        """
        range_start = prefix.encode()
        create = WatchCreateRequest(
            range_start, prefix_end(range_start), str(start), True
        )
        body = msgspec.json.encode(WatchRequest(create))
        try:
            stream = self.pool.stream("POST", "/v3/watch", body, HEADERS, timeout_s)
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        try:
            yield from self.read_watch(stream, timeout_s)
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            stream.close()

    def read_watch(self, stream: HttpStream, timeout_s: float) -> Iterator[WatchBatch]:
        """Yield the batches of an open watch stream."""
        if stream.status != 200:
            body = stream.read(timeout_s)
            raise StoreUnavailableError(f"status {stream.status}: {body[:200]!r}")
        for line in stream.lines(timeout_s):
            result = decode_watch(line)
            if not result.created:
                yield WatchBatch(
                    tuple(to_event(each) for each in result.events),
                    Revision(int(result.header.revision)),
                )

    def call(
        self, path: str, body: msgspec.Struct, response_type: type[T], timeout_s: float
    ) -> T:
        """Post a request and return the decoded response.

        Raise ``StoreUnavailableError`` if the request was not sent and
        ``StoreOutcomeUnknownError`` if the response is missing or cannot be decoded.
        """
        content = msgspec.json.encode(body)
        try:
            response = self.pool.request("POST", path, content, HEADERS, timeout_s)
        except HttpNotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except HttpOutcomeUnknownError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        if response.status != 200:
            raise_error(response)
        try:
            return decode_json(response.body, response_type)
        except DecodingError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


def raise_error(response: HttpResponse) -> NoReturn:
    """Raise the store exception for an error response."""
    try:
        failure = decode_json(response.body, EtcdErrorResponse)
    except DecodingError:
        failure = EtcdErrorResponse(message=f"status {response.status}")
    raise error_type(failure)(failure.message)


def error_type(failure: EtcdErrorResponse) -> type[StoreError]:
    """Return the exception type for a failed call, by gRPC code and message."""
    if failure.code == CODE_NOT_FOUND:
        return StoreLeaseLostError
    if failure.code in (CODE_INVALID, CODE_OUT_OF_RANGE):
        return StoreRequestRefusedError
    if failure.code == CODE_EXHAUSTED:
        return StoreUnavailableError
    if failure.code == CODE_UNAVAILABLE and failure.message in NOT_PROPOSED_MESSAGES:
        return StoreUnavailableError
    return StoreOutcomeUnknownError


def decode_watch(line: bytes) -> WatchResult:
    """Decode one message of a watch stream.

    Raise ``StoreCompactedError`` if the start revision has been compacted, and
    ``StoreUnavailableError`` if the message ends the watch or cannot be decoded.
    """
    try:
        response = decode_json(line, WatchResponse)
    except DecodingError as error:
        raise StoreUnavailableError(
            f"watch message cannot be decoded: {error}"
        ) from error
    if response.result is None:
        message = response.error.message if response.error else "no result"
        raise StoreUnavailableError(f"watch ended: {message}")
    result = response.result
    if int(result.compact_revision):
        raise StoreCompactedError(
            f"revisions below {result.compact_revision} have been compacted"
        )
    if result.canceled:
        raise StoreUnavailableError(f"watch cancelled: {result.cancel_reason}")
    return result


def to_entry(kv: KeyValueBody) -> Entry:
    """Convert a key-value pair of a response to an entry.

    Bytes of a key that are not UTF-8, as only other writers use, are escaped.
    """
    return Entry(
        kv.key.decode(errors="backslashreplace"),
        kv.value,
        Revision(int(kv.mod_revision)),
        int(kv.version),
        StoreLeaseId(int(kv.lease)),
    )


def to_event(event: EventBody) -> WatchEvent:
    """Convert an event of a response to a watch event."""
    kind = EventKind.DELETE if event.type == "DELETE" else EventKind.PUT
    return WatchEvent(kind, to_entry(event.kv))


def to_compare_body(compare: Compare) -> CompareBody:
    """Convert a compare to its JSON message."""
    key = compare.key.encode()
    if isinstance(compare.expected, bytes):
        return CompareBody(key, "VALUE", value=compare.expected)
    if compare.target is CompareTarget.VERSION:
        return CompareBody(key, "VERSION", version=str(compare.expected))
    return CompareBody(key, "MOD", mod_revision=str(compare.expected))


def to_operation_body(operation: Operation) -> OperationBody:
    """Convert an operation to its JSON message."""
    key = operation.key.encode()
    if isinstance(operation, Put):
        lease = str(operation.lease) if operation.lease else 0
        return OperationBody(request_put=PutBody(key, operation.value, lease))
    range_end = prefix_end(key) if operation.is_prefix else b""
    return OperationBody(request_delete_range=DeleteBody(key, range_end))
