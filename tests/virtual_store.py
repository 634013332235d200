"""The store in virtual time: the stand-in engine behind a network with faults."""

from collections.abc import Callable, Iterator
from typing import TypeVar

from gooseberrydeck_coordination.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import Revision, StoreLeaseId
from gooseberrydeck_coordination.store import (
    Entry,
    Page,
    Snapshot,
    Transaction,
    TransactionResult,
    WatchBatch,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine
from virtual_calls import Network, Response
from virtual_time import VirtualTime

T = TypeVar("T")

WATCH_WAIT_S = 1.0
"""How long a watch waits for changes."""

PAGE_ENTRIES = 20
"""Entries of a page, few so that reads take several calls."""


class WatchedEngine(StoreEngine):
    """A store engine that calls functions at each new revision."""

    def __init__(self, loop: VirtualTime) -> None:
        """Create an empty store."""
        super().__init__(loop.clock)
        self.watchers: list[Callable[[], None]] = []

    def notify_changed(self) -> None:
        """Call the watchers, which may remove themselves."""
        for watcher in list(self.watchers):
            watcher()


class VirtualStore:
    """The holder's calls to the store, as ``PagedStore``."""

    def __init__(self, loop: VirtualTime, engine: WatchedEngine, seed: str) -> None:
        """Call ``engine``."""
        self.loop = loop
        self.engine = engine
        self.direct = EngineStore(engine, waits=False)
        self.network = Network(loop, f"{seed} store")
        self.is_down = False

    def read(self, key: str, timeout_s: float) -> Entry | None:
        """Return an entry."""
        return self.call(lambda: self.direct.read(key, timeout_s), timeout_s)

    def read_prefix(self, prefix: str, timeout_s: float) -> Snapshot:
        """Return all entries of a prefix, which are read page by page."""
        entries: list[Entry] = []
        revision: Revision | None = None
        after = ""
        while True:
            page = self.read_page(prefix, after, timeout_s)
            revision = page.revision if revision is None else revision
            entries.extend(page.entries)
            if page.is_last:
                return Snapshot(tuple(entries), revision)
            after = page.entries[-1].key

    def read_page(
        self, prefix: str, after: str, timeout_s: float, may_be_stale: bool = False
    ) -> Page:
        """Return a page."""

        def effect() -> Page:
            page = self.direct.read_page(prefix, after, timeout_s)
            is_last = page.is_last and len(page.entries) <= PAGE_ENTRIES
            return Page(page.entries[:PAGE_ENTRIES], page.revision, is_last)

        return self.call(effect, timeout_s)

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        """Apply a transaction, which may be executed late."""
        effect = lambda: self.direct.commit(transaction, timeout_s)  # noqa: E731
        return self.call(effect, timeout_s, may_be_late=True)

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        """Grant a lease."""
        return self.call(lambda: self.direct.grant_lease(ttl_s, timeout_s), timeout_s)

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        """Renew a lease."""
        effect = lambda: self.direct.keep_lease_alive(lease, timeout_s)  # noqa: E731
        return self.call(effect, timeout_s)

    def revoke_lease(self, lease: StoreLeaseId, timeout_s: float) -> None:
        """Revoke a lease."""
        self.call(lambda: self.direct.revoke_lease(lease, timeout_s), timeout_s)

    def watch(
        self, prefix: str, start: Revision, timeout_s: float
    ) -> Iterator[WatchBatch]:
        """Yield the changes of a prefix by long polling."""
        next_revision = int(start)
        while True:
            batch = self.wait_for_changes(prefix, next_revision, timeout_s)
            next_revision = batch.revision + 1
            yield batch

    def wait_for_changes(
        self, prefix: str, next_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Return the changes from a revision on, or none after a while."""

        def serve(response: Response[WatchBatch]) -> None:
            def read() -> WatchBatch:
                if self.is_down:
                    raise StoreUnavailableError("the store is down")
                return self.direct.read_batch(prefix.encode(), next_revision)

            def finish() -> None:
                if changed in self.engine.watchers:
                    self.engine.watchers.remove(changed)
                    response.send(read)

            def changed() -> None:
                if read_events():
                    finish()

            def read_events() -> bool:
                return self.is_down or bool(read().events)

            self.engine.watchers.append(changed)
            changed()
            self.loop.call_in(WATCH_WAIT_S, finish)

        return self.send(serve, timeout_s + WATCH_WAIT_S, may_be_late=False)

    def call(
        self, effect: Callable[[], T], timeout_s: float, may_be_late: bool = False
    ) -> T:
        """Send a call and wait for its result."""

        def checked() -> T:
            if self.is_down:
                raise StoreUnavailableError("the store is down")
            return effect()

        return self.send(
            lambda response: response.send(checked), timeout_s, may_be_late
        )

    def send(
        self, serve: Callable[[Response[T]], None], timeout_s: float, may_be_late: bool
    ) -> T:
        """Send a request and wait for the response."""
        try:
            return self.network.call(serve, timeout_s, may_be_late)
        except TimeoutError as error:
            raise StoreOutcomeUnknownError("no response in time") from error
