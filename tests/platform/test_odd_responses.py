"""Tests of responses that are nested too deeply to be decoded."""

import base64

import msgspec
import pytest

from gooseberrydeck_coordination.exceptions import StoreError, StoreUnavailableError
from gooseberrydeck_coordination.ids import DataCentre, Epoch, HostName, Rack, ShardId
from gooseberrydeck_platform.etcd import EtcdStore, decode_watch
from gooseberrydeck_platform.exceptions import (
    HostListUnavailableError,
    OutcomeUnknownError,
)
from gooseberrydeck_platform.host_list_http import HttpHostList
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_platform.http import HttpAddress, HttpResponse
from gooseberrydeck_platform.worker_http import HttpWorker
from gooseberrydeck_platform.workers import Fence
from odd_values import deep, with_raw

TIMEOUT_S = 1.0
DEEP = with_raw({"X": "RAW"}, deep(2_000))
NOWHERE = HttpAddress("127.0.0.1", 1)


# Guards against tasks of the daemon that end by RecursionError, in place of a call
# that has failed.
@pytest.mark.parametrize("status", [200, 500])
class TestDeeplyNestedResponses:
    def respond(
        self, client: object, status: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        response = HttpResponse(status, {}, DEEP)
        pool = client.pool  # type: ignore[attr-defined]
        monkeypatch.setattr(pool, "request", lambda *_, **__: response)

    def test_store(self, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
        store = EtcdStore([NOWHERE])
        self.respond(store, status, monkeypatch)
        with pytest.raises(StoreError):
            store.read("a", TIMEOUT_S)
        with pytest.raises(StoreUnavailableError):
            decode_watch(DEEP)

    def test_worker(self, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
        host = Host(
            HostName("h"),
            HostKind.WORKER,
            HostState.LIVE,
            NOWHERE.host,
            NOWHERE.port,
            DataCentre("d"),
            Rack("r"),
        )
        worker = HttpWorker(host)
        self.respond(worker, status, monkeypatch)
        with pytest.raises(OutcomeUnknownError):
            worker.adopt(Fence(ShardId(0), Epoch(1)), TIMEOUT_S)

    def test_host_list(self, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
        hosts = HttpHostList([NOWHERE])
        self.respond(hosts, status, monkeypatch)
        with pytest.raises(HostListUnavailableError):
            hosts.read(TIMEOUT_S)


# Guards against readers that end because another writer's key isn't text.
class TestOddKeys:
    def test_other_entries_are_read(self, monkeypatch: pytest.MonkeyPatch) -> None:
        bodies = [
            {"key": base64.b64encode(key).decode(), "value": "", "mod_revision": "1"}
            for key in (b"/a/\xff", b"/a/b")
        ]
        content = msgspec.json.encode({"header": {"revision": "3"}, "kvs": bodies})
        store = EtcdStore([NOWHERE])
        response = HttpResponse(200, {}, content)
        monkeypatch.setattr(store.pool, "request", lambda *_, **__: response)
        snapshot = store.read_prefix("/a/", TIMEOUT_S)
        assert [each.key for each in snapshot.entries] == ["/a/\\xff", "/a/b"]
