"""Store process that serves etcd's JSON gateway.

Start it with ``python -m gooseberrydeck_standins.store_server``.
"""

from collections.abc import Callable, Iterator

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.decoding import decode_json
from gooseberrydeck_platform.etcd_messages import (
    EtcdErrorResponse,
    Header,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseKeepAliveResult,
    LeaseRequest,
    PutBody,
    RangeRequest,
    RangeResponse,
    TransactionRequest,
    TransactionResponse,
    WatchRequest,
    WatchResponse,
    WatchResult,
)
from gooseberrydeck_standins.faults import FaultKind, Faults
from gooseberrydeck_standins.http_service import (
    LOOPBACK,
    Reply,
    Request,
    StandinServer,
    fault_reply,
    serve,
)
from gooseberrydeck_standins.store_engine import StoreEngine
from gooseberrydeck_standins.store_values import (
    CompactedError,
    Event,
    InvalidRequestError,
    LeaseNotFoundError,
)
from gooseberrydeck_standins.store_wire import (
    decode_condition,
    decode_operation,
    decode_put,
    encode_event,
    encode_key_value,
)

__all__ = ["StoreApplication", "StoreServer"]

DEFAULT_PROGRESS_S = 1.0
MAX_WAIT_STEP_S = 0.05
DEFAULT_THREADS = 128

NO_LEADER = EtcdErrorResponse(14, "etcdserver: no leader")
TOO_MANY_REQUESTS = EtcdErrorResponse(8, "etcdserver: too many requests")
UNKNOWN_ERROR = EtcdErrorResponse(2, "etcdserver: unknown error")
STATUSES = {2: 500, 3: 400, 5: 404, 8: 429, 14: 503}


class StoreApplication:
    """The endpoints of the gateway on top of a store engine.

    ``GET /calls`` returns request counts by name; ``PUT /faults`` sets faults.
    """

    def __init__(
        self, engine: StoreEngine, progress_s: float = DEFAULT_PROGRESS_S
    ) -> None:
        """Serve ``engine``; idle watches report progress every ``progress_s``."""
        self.engine = engine
        self.progress_s = progress_s
        self.faults = Faults()
        self.routes: dict[str, Callable[[bytes], Reply]] = {
            "/v3/kv/range": self.range,
            "/v3/kv/put": self.put,
            "/v3/kv/txn": self.transact,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep_alive,
            "/v3/lease/revoke": self.revoke,
        }

    def handle(self, request: Request) -> Reply:
        """Return the response to a request, subject to the active fault."""
        if request.path == "/faults":
            return fault_reply(self.faults, request)
        if request.path == "/calls":
            return self.call_counts()
        fault = self.faults.begin_call()
        error = {
            FaultKind.DOWN: NO_LEADER,
            FaultKind.REFUSE: TOO_MANY_REQUESTS,
            FaultKind.FAIL_EVERYTHING: UNKNOWN_ERROR,
        }.get(fault)
        if error is not None:
            return error_reply(error)
        reply = self.answer(request)
        return Reply(cuts_connection=True) if fault is FaultKind.ANSWER_LOST else reply

    def answer(self, request: Request) -> Reply:
        """Route a request to the engine and map its errors to gateway responses."""
        try:
            with self.engine.changed:
                self.engine.calls[request.path.removeprefix("/v3/")] += 1
                if request.path == "/v3/watch":
                    return self.watch(request.body)
                route = self.routes.get(request.path)
                if route is None:
                    return error_reply(EtcdErrorResponse(5, "Not Found"))
                return route(request.body)
        except (InvalidRequestError, ValueError) as error:
            return error_reply(EtcdErrorResponse(3, str(error)))
        except LeaseNotFoundError as error:
            return error_reply(EtcdErrorResponse(5, str(error)))

    def call_counts(self) -> Reply:
        """Return the request counts by name."""
        with self.engine.changed:
            return Reply(body=msgspec.json.encode(dict(self.engine.calls)))

    def header(self) -> Header:
        """Return the response header with the current revision."""
        return Header(str(self.engine.revision))

    def range(self, body: bytes) -> Reply:
        """Read a key or a range of keys."""
        request = decode_json(body, RangeRequest)
        found = self.engine.range(request.key, request.range_end)
        return success_reply(
            RangeResponse(
                self.header(), tuple(encode_key_value(each) for each in found)
            )
        )

    def put(self, body: bytes) -> Reply:
        """Write one key."""
        request = decode_json(body, PutBody)
        self.engine.transact([], [decode_put(request)])
        return success_reply(RangeResponse(self.header()))

    def transact(self, body: bytes) -> Reply:
        """Apply a transaction; failure branches are not supported."""
        request = decode_json(body, TransactionRequest)
        if request.failure:
            raise InvalidRequestError("this stand-in takes no failure branch")
        succeeded = self.engine.transact(
            [decode_condition(each) for each in request.compare],
            [decode_operation(each) for each in request.success],
        )
        return success_reply(TransactionResponse(self.header(), succeeded))

    def grant(self, body: bytes) -> Reply:
        """Grant a lease."""
        request = decode_json(body, LeaseGrantRequest)
        lease = self.engine.grant_lease(int(request.TTL))
        return success_reply(LeaseGrantResponse(str(lease), str(request.TTL)))

    def keep_alive(self, body: bytes) -> Reply:
        """Renew a lease; as in etcd, the TTL is omitted if the lease is gone."""
        lease = decode_json(body, LeaseRequest).ID
        try:
            ttl = str(self.engine.keep_alive(int(lease)))
        except LeaseNotFoundError:
            ttl = ""
        result = LeaseKeepAliveResult(str(lease), ttl or 0)
        return success_reply(LeaseKeepAliveResponse(result))

    def revoke(self, body: bytes) -> Reply:
        """Revoke a lease."""
        self.engine.revoke_lease(int(decode_json(body, LeaseRequest).ID))
        return success_reply(RangeResponse(self.header()))

    def watch(self, body: bytes) -> Reply:
        """Open a watch stream, by default from the next revision."""
        create = decode_json(body, WatchRequest).create_request
        start = int(create.start_revision) or self.engine.revision + 1
        return Reply(stream=self.watch_lines(start, create.key, create.range_end))

    def watch_lines(self, start: int, key: bytes, range_end: bytes) -> Iterator[bytes]:
        """Yield the lines of a watch until the store is down or has compacted."""
        yield encode_watch_line(WatchResult(self.header(), created=True))
        next_revision = start
        while True:
            try:
                events, revision = self.wait(next_revision, key, range_end)
            except CompactedError as error:
                oldest = str(error.compact_revision)
                yield encode_watch_line(
                    WatchResult(canceled=True, compact_revision=oldest)
                )
                return
            if self.faults.settings.kind is FaultKind.DOWN:
                return
            if self.faults.settings.kind is FaultKind.FROZEN:
                self.faults.begin_call()
            next_revision = max(next_revision, revision + 1)
            bodies = tuple(encode_event(each) for each in events)
            yield encode_watch_line(WatchResult(Header(str(revision)), events=bodies))

    def wait(self, start: int, key: bytes, range_end: bytes) -> tuple[list[Event], int]:
        """Block until there are events; return none after ``progress_s``."""
        deadline = self.engine.clock.monotonic() + self.progress_s
        with self.engine.changed:
            while True:
                events = self.engine.events_since(start, key, range_end)
                left = deadline - self.engine.clock.monotonic()
                is_down = self.faults.settings.kind is FaultKind.DOWN
                if events or left <= 0 or is_down:
                    return events, self.engine.revision
                self.engine.changed.wait(min(left, MAX_WAIT_STEP_S))


class StoreServer(StandinServer):
    """Store server in this process, on a port of its own."""

    def __init__(
        self,
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
        threads: int = DEFAULT_THREADS,
        progress_s: float = DEFAULT_PROGRESS_S,
    ) -> None:
        """Create a server with an empty store."""
        self.engine = StoreEngine(clock or SystemClock())
        self.application = StoreApplication(self.engine, progress_s)
        self.faults = self.application.faults
        super().__init__(self.application, host, port, threads)


def success_reply(response: msgspec.Struct) -> Reply:
    """Return a successful response."""
    return Reply(body=msgspec.json.encode(response))


def error_reply(error: EtcdErrorResponse) -> Reply:
    """Return an error response with the HTTP status of its gRPC code."""
    return Reply(STATUSES[error.code], msgspec.json.encode(error))


def encode_watch_line(result: WatchResult) -> bytes:
    """Return one line of a watch stream."""
    return msgspec.json.encode(WatchResponse(result)) + b"\n"


def main(
    host: str = LOOPBACK,
    port: int = 0,
    threads: int = DEFAULT_THREADS,
    progress_s: float = DEFAULT_PROGRESS_S,
) -> None:
    """Serve an empty store until SIGTERM."""
    server = StoreServer(None, host, port, threads, progress_s)
    serve(server.start, {"address": str(server.address)})


if __name__ == "__main__":
    typer.run(main)
