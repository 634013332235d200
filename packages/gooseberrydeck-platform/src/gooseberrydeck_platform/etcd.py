"""A store over etcd's published JSON gateway."""

import math
from collections.abc import Iterator, Sequence
from typing import NoReturn, TypeVar

import msgspec

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

CODE_INVALID = 3
CODE_NOT_FOUND = 5
CODE_EXHAUSTED = 8
CODE_OUT_OF_RANGE = 11
CODE_UNAVAILABLE = 14

NOT_PROPOSED_MESSAGES = ("etcdserver: no leader",)
"""Messages of unavailability that come before a write is proposed."""


class Done(msgspec.Struct, frozen=True):
    """The answer of a call that returns nothing."""


class EtcdStore:
    """A store at one or several addresses of etcd; several threads may call it.

    A read that fails is always ``StoreUnavailableError``, since it has no effect.
    """

    def __init__(self, addresses: Sequence[HttpAddress]) -> None:
        """Begin without connections."""
        self.pool = HttpPool(addresses)

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return the entry of a key, or None if there is none."""
        answer = self.read_range(RangeRequest(key.encode()), timeout_s)
        return entry_of(answer.kvs[0]) if answer.kvs else None

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return every entry whose key begins with ``prefix``, by key."""
        start = prefix.encode()
        answer = self.read_range(RangeRequest(start, prefix_end(start)), timeout_s)
        entries = tuple(entry_of(each) for each in answer.kvs)
        return Snapshot(entries, Revision(int(answer.header.revision)))

    def read_range(self, call: RangeRequest, timeout_s: float) -> RangeResponse:
        """Read one key or a range of keys."""
        try:
            return self.call("/v3/kv/range", call, RangeResponse, timeout_s)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction."""
        body = TransactionRequest(
            tuple(compare_body(each) for each in transaction.compares),
            tuple(operation_body(each) for each in transaction.operations),
        )
        answer = self.call("/v3/kv/txn", body, TransactionResponse, timeout_s)
        return TransactionResult(
            answer.succeeded, Revision(int(answer.header.revision))
        )

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease that lapses unless it is kept alive.

        The service counts whole seconds: a part of one is rounded up.
        """
        body = LeaseGrantRequest(TTL=str(math.ceil(ttl_s)))
        answer = self.call("/v3/lease/grant", body, LeaseGrantResponse, timeout_s)
        return StoreLeaseId(int(answer.ID))

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> int:
        """Renew a lease and return its time to live in seconds."""
        body = LeaseRequest(ID=str(lease))
        answer = self.call(
            "/v3/lease/keepalive", body, LeaseKeepAliveResponse, timeout_s
        )
        ttl_s = int(answer.result.TTL)
        if ttl_s <= 0:
            raise StoreLeaseLostError(f"lease {lease} is gone")
        return ttl_s

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """End a lease and delete its keys."""
        self.call("/v3/lease/revoke", LeaseRequest(ID=str(lease)), Done, timeout_s)

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield changes from revision ``start`` on, until the stream ends."""
        begin = prefix.encode()
        create = WatchCreateRequest(begin, prefix_end(begin), str(start), True)
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
        """Yield the batches of an open stream."""
        if stream.status != 200:
            body = stream.read(timeout_s)
            raise StoreUnavailableError(f"status {stream.status}: {body[:200]!r}")
        for line in stream.lines(timeout_s):
            result = decode_watch(line)
            if not result.created:
                yield WatchBatch(
                    tuple(event_of(each) for each in result.events),
                    Revision(int(result.header.revision)),
                )

    def call(
        self, path: str, body: msgspec.Struct, answer_type: type[T], timeout_s: float
    ) -> T:
        """Make one call and return its typed answer."""
        content = msgspec.json.encode(body)
        try:
            response = self.pool.request("POST", path, content, HEADERS, timeout_s)
        except HttpNotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except HttpOutcomeUnknownError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        if response.status != 200:
            raise_failure(response)
        try:
            return msgspec.json.decode(response.body, type=answer_type)
        except msgspec.DecodeError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    def close(self) -> None:
        """Close the connections that are idle."""
        self.pool.close()


def raise_failure(response: HttpResponse) -> NoReturn:
    """Raise the error that a refusal of etcd stands for."""
    try:
        failure = msgspec.json.decode(response.body, type=EtcdErrorResponse)
    except msgspec.DecodeError:
        failure = EtcdErrorResponse(message=f"status {response.status}")
    raise failure_type(failure)(failure.message)


def failure_type(failure: EtcdErrorResponse) -> type[StoreError]:
    """Return the type of error for a failed call that was sent."""
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
    """Read one line of a watch, or raise why the watch has ended."""
    try:
        answer = msgspec.json.decode(line, type=WatchResponse)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f"the watch was cut off: {error}") from error
    if answer.result is None:
        message = answer.error.message if answer.error else "no result"
        raise StoreUnavailableError(f"the watch has ended: {message}")
    result = answer.result
    if int(result.compact_revision):
        raise StoreCompactedError(
            f"revisions below {result.compact_revision} have been compacted"
        )
    if result.canceled:
        raise StoreUnavailableError(f"the watch has ended: {result.cancel_reason}")
    return result


def entry_of(answer: KeyValueBody) -> Entry:
    """Return a key of an answer as an entry."""
    return Entry(
        answer.key.decode(),
        answer.value,
        Revision(int(answer.mod_revision)),
        int(answer.version),
        StoreLeaseId(int(answer.lease)),
    )


def event_of(answer: EventBody) -> WatchEvent:
    """Return a change of an answer as an event."""
    kind = EventKind.DELETE if answer.type == "DELETE" else EventKind.PUT
    return WatchEvent(kind, entry_of(answer.kv))


def compare_body(compare: Compare) -> CompareBody:
    """Return a compare as the gateway takes it."""
    key = compare.key.encode()
    if isinstance(compare.expected, bytes):
        return CompareBody(key, "VALUE", value=compare.expected)
    if compare.target is CompareTarget.VERSION:
        return CompareBody(key, "VERSION", version=str(compare.expected))
    return CompareBody(key, "MOD", mod_revision=str(compare.expected))


def operation_body(operation: Operation) -> OperationBody:
    """Return an operation as the gateway takes it."""
    key = operation.key.encode()
    if isinstance(operation, Put):
        lease = str(operation.lease) if operation.lease else 0
        return OperationBody(request_put=PutBody(key, operation.value, lease))
    range_end = prefix_end(key) if operation.is_prefix else b""
    return OperationBody(request_delete_range=DeleteBody(key, range_end))
