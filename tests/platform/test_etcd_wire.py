"""Tests of the JSON messages against examples published for etcd's gateway."""

import json
from typing import Any

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
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
    Delete,
    Put,
    compare_absent,
)
from gooseberrydeck_platform.etcd import (
    raise_error,
    to_compare_body,
    to_entry,
    to_event,
    to_operation_body,
)
from gooseberrydeck_platform.etcd_messages import RangeResponse, WatchResponse
from gooseberrydeck_platform.http import HttpConnection, HttpResponse
from gooseberrydeck_standins.store_server import StoreServer

RANGE_RESPONSE = b"""{"header":{"cluster_id":"12585971608760269493",
"member_id":"13847567121247652255","revision":"2","raft_term":"3"},
"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1",
"value":"YmFy"}],"count":"1"}"""

WATCH_RESPONSE = b"""{"result":{"header":{"cluster_id":"12585971608760269493",
"member_id":"13847567121247652255","revision":"2","raft_term":"2"},
"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2",
"version":"1","value":"YmFy"}},
{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}}"""


class TestDecoding:
    def test_range_response(self) -> None:
        response = msgspec.json.decode(RANGE_RESPONSE, type=RangeResponse)
        entry = to_entry(response.kvs[0])
        assert (entry.key, entry.value, entry.mod_revision) == ("foo", b"bar", 2)

    def test_watch_response(self) -> None:
        result = msgspec.json.decode(WATCH_RESPONSE, type=WatchResponse).result
        assert result is not None
        events = [to_event(each) for each in result.events]
        seen = [(each.kind.value, each.entry.mod_revision) for each in events]
        assert seen == [("put", 2), ("delete", 3)]

    @pytest.mark.parametrize(
        ("status", "body", "error"),
        [
            (404, '{"code": 5, "message": "lease"}', StoreLeaseLostError),
            (400, '{"code": 3, "message": "duplicate"}', StoreRequestRefusedError),
            (429, '{"code": 8, "message": "space"}', StoreUnavailableError),
            (
                503,
                '{"code": 14, "message": "etcdserver: no leader"}',
                StoreUnavailableError,
            ),
            (
                503,
                '{"code": 14, "message": "etcdserver: request timed out"}',
                StoreOutcomeUnknownError,
            ),
            (504, '{"code": 4, "message": "deadline"}', StoreOutcomeUnknownError),
            (500, '{"code": 2, "message": "unknown"}', StoreOutcomeUnknownError),
            (502, "<html>", StoreOutcomeUnknownError),
        ],
    )
    def test_error_response_raises_store_error(
        self, status: int, body: str, error: type[StoreError]
    ) -> None:
        with pytest.raises(error):
            raise_error(HttpResponse(status, {}, body.encode()))


class TestEncoding:
    @pytest.mark.parametrize(
        ("given", "expected"),
        [
            (
                to_compare_body(
                    Compare("foo", CompareTarget.MOD_REVISION, Revision(2))
                ),
                {"key": "Zm9v", "target": "MOD", "mod_revision": "2"},
            ),
            (
                to_compare_body(compare_absent("foo")),
                {"key": "Zm9v", "target": "MOD", "mod_revision": "0"},
            ),
            (
                to_compare_body(Compare("foo", CompareTarget.VALUE, b"bar")),
                {"key": "Zm9v", "target": "VALUE", "value": "YmFy"},
            ),
            (
                to_operation_body(Put("foo", b"bar", StoreLeaseId(7_587_848_390))),
                {
                    "request_put": {
                        "key": "Zm9v",
                        "value": "YmFy",
                        "lease": "7587848390",
                    }
                },
            ),
            (
                to_operation_body(Delete("foo", is_prefix=True)),
                {"request_delete_range": {"key": "Zm9v", "range_end": "Zm9w"}},
            ),
        ],
    )
    def test_parts_of_transaction(
        self, given: msgspec.Struct, expected: dict[str, Any]
    ) -> None:
        assert json.loads(msgspec.json.encode(given)) == expected


class TestStandin:
    def test_stand_in_uses_published_message_formats(self) -> None:
        with StoreServer(ManualClock(), threads=2) as server:
            connection = HttpConnection(server.address)

            def call(path: str, body: str) -> Any:
                return json.loads(connection.request("POST", path, body.encode()).body)

            put = call("/v3/kv/put", '{"key": "Zm9v", "value": "YmFy"}')
            assert put["header"]["revision"] == "2"
            found = call("/v3/kv/range", '{"key": "Zm9v"}')
            assert found["kvs"] == json.loads(RANGE_RESPONSE)["kvs"]
            granted = call("/v3/lease/grant", '{"TTL": "5"}')
            assert granted["TTL"] == "5"
            kept = call("/v3/lease/keepalive", json.dumps({"ID": granted["ID"]}))
            assert kept["result"] == {"ID": granted["ID"], "TTL": "5"}
            expired = call("/v3/lease/keepalive", '{"ID": "99"}')
            assert "TTL" not in expired["result"]
            calls = json.loads(connection.request("GET", "/calls").body)
            assert calls["kv/range"] == 1
            connection.close()
