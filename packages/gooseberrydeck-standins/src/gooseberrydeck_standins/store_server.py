"""The store as a process that speaks etcd's JSON gateway.

Run it by ``python -m gooseberrydeck_standins.store_server``.
"""

from collections.abc import Callable, Iterator

import msgspec
import typer

from gooseberrydeck_coordination.clock import Clock, SystemClock
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
    condition_of,
    event_answer,
    key_answer,
    operation_of,
    put_of,
)

__all__ = ["StoreApplication", "StoreServer"]

DEFAULT_PROGRESS_S = 1.0
MAX_WAIT_STEP_S = 0.05
DEFAULT_THREADS = 128

DOWN = EtcdErrorResponse(14, "etcdserver: no leader")
REFUSED = EtcdErrorResponse(8, "etcdserver: too many requests")
FAILED = EtcdErrorResponse(2, "etcdserver: unknown error")
STATUSES = {2: 500, 3: 400, 5: 404, 8: 429, 14: 503}


class StoreApplication:
    """The calls of the gateway over a store engine.

    ``GET /calls`` tells how often each call was made, ``PUT /faults`` turns switches.
    """

    def __init__(
        self, engine: StoreEngine, progress_s: float = DEFAULT_PROGRESS_S
    ) -> None:
        """Answer from ``engine``; a silent watch tells progress now and then."""
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

    def handle(self, call: Request) -> Reply:
        """Answer one call under the faults that are switched on."""
        if call.path == "/faults":
            return fault_reply(self.faults, call)
        if call.path == "/calls":
            return self.count_calls()
        fault = self.faults.begin_call()
        refusal = {
            FaultKind.DOWN: DOWN,
            FaultKind.REFUSE: REFUSED,
            FaultKind.FAIL_EVERYTHING: FAILED,
        }.get(fault)
        if refusal is not None:
            return failed(refusal)
        reply = self.answer(call)
        return Reply(cuts_connection=True) if fault is FaultKind.ANSWER_LOST else reply

    def answer(self, call: Request) -> Reply:
        """Answer one call, telling refusals as the gateway does."""
        try:
            with self.engine.changed:
                self.engine.calls[call.path.removeprefix("/v3/")] += 1
                if call.path == "/v3/watch":
                    return self.watch(call.body)
                route = self.routes.get(call.path)
                if route is None:
                    return failed(EtcdErrorResponse(5, "Not Found"))
                return route(call.body)
        except (InvalidRequestError, msgspec.DecodeError, ValueError) as error:
            return failed(EtcdErrorResponse(3, str(error)))
        except LeaseNotFoundError as error:
            return failed(EtcdErrorResponse(5, str(error)))

    def count_calls(self) -> Reply:
        """Tell how often each call was made."""
        with self.engine.changed:
            return Reply(body=msgspec.json.encode(dict(self.engine.calls)))

    def header(self) -> Header:
        """Return the head of an answer."""
        return Header(str(self.engine.revision))

    def range(self, body: bytes) -> Reply:
        """Read a key or a range of keys."""
        call = msgspec.json.decode(body, type=RangeRequest)
        found = self.engine.range(call.key, call.range_end)
        return told(
            RangeResponse(self.header(), tuple(key_answer(each) for each in found))
        )

    def put(self, body: bytes) -> Reply:
        """Write one key."""
        call = msgspec.json.decode(body, type=PutBody)
        self.engine.transact([], [put_of(call)])
        return told(RangeResponse(self.header()))

    def transact(self, body: bytes) -> Reply:
        """Apply a transaction without branches for failure."""
        call = msgspec.json.decode(body, type=TransactionRequest)
        if call.failure:
            raise InvalidRequestError("this stand-in takes no failure branch")
        succeeded = self.engine.transact(
            [condition_of(each) for each in call.compare],
            [operation_of(each) for each in call.success],
        )
        return told(TransactionResponse(self.header(), succeeded))

    def grant(self, body: bytes) -> Reply:
        """Grant a lease."""
        call = msgspec.json.decode(body, type=LeaseGrantRequest)
        lease = self.engine.grant_lease(int(call.TTL))
        return told(LeaseGrantResponse(str(lease), str(call.TTL)))

    def keep_alive(self, body: bytes) -> Reply:
        """Renew a lease; one that is gone has no TTL."""
        lease = msgspec.json.decode(body, type=LeaseRequest).ID
        try:
            ttl = str(self.engine.keep_alive(int(lease)))
        except LeaseNotFoundError:
            ttl = ""
        result = LeaseKeepAliveResult(str(lease), ttl or 0)
        return told(LeaseKeepAliveResponse(result))

    def revoke(self, body: bytes) -> Reply:
        """End a lease."""
        self.engine.revoke_lease(int(msgspec.json.decode(body, type=LeaseRequest).ID))
        return told(RangeResponse(self.header()))

    def watch(self, body: bytes) -> Reply:
        """Begin a watch."""
        create = msgspec.json.decode(body, type=WatchRequest).create_request
        start = int(create.start_revision) or self.engine.revision + 1
        return Reply(stream=self.watch_lines(start, create.key, create.range_end))

    def watch_lines(self, start: int, key: bytes, range_end: bytes) -> Iterator[bytes]:
        """Yield the lines of a watch until the store is down."""
        yield line(WatchResult(self.header(), created=True))
        next_revision = start
        while True:
            try:
                events, revision = self.wait(next_revision, key, range_end)
            except CompactedError as error:
                oldest = str(error.compact_revision)
                yield line(WatchResult(canceled=True, compact_revision=oldest))
                return
            if self.faults.settings.kind is FaultKind.DOWN:
                return
            if self.faults.settings.kind is FaultKind.FROZEN:
                self.faults.begin_call()
            next_revision = max(next_revision, revision + 1)
            answers = tuple(event_answer(each) for each in events)
            yield line(WatchResult(Header(str(revision)), events=answers))

    def wait(self, start: int, key: bytes, range_end: bytes) -> tuple[list[Event], int]:
        """Return changes as soon as there are any, or none after a while."""
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
    """The store on a port of this process."""

    def __init__(
        self,
        clock: Clock | None = None,
        host: str = LOOPBACK,
        port: int = 0,
        threads: int = DEFAULT_THREADS,
        progress_s: float = DEFAULT_PROGRESS_S,
    ) -> None:
        """Begin with an empty store."""
        self.engine = StoreEngine(clock or SystemClock())
        self.application = StoreApplication(self.engine, progress_s)
        self.faults = self.application.faults
        super().__init__(self.application, host, port, threads)


def told(answer: msgspec.Struct) -> Reply:
    """Return a successful answer."""
    return Reply(body=msgspec.json.encode(answer))


def failed(failure: EtcdErrorResponse) -> Reply:
    """Return a refusal with the status that belongs to its code."""
    return Reply(STATUSES[failure.code], msgspec.json.encode(failure))


def line(result: WatchResult) -> bytes:
    """Return one line of a watch."""
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
