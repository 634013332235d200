"""Tests of malformed responses of the store."""

import pytest

from gooseberrydeck_adapter import HttpStore
from gooseberrydeck_coordination.exceptions import StoreOutcomeUnknownError
from gooseberrydeck_coordination.ids import Revision, StoreLeaseId
from gooseberrydeck_coordination.store import Transaction
from gooseberrydeck_platform.http import HttpAddress, HttpResponse
from odd_values import deep, with_raw

TIMEOUT_S = 1.0


class TestOddResponses:
    # Guards against a follower whose thread ends, and against a configuration task that
    # ends the process.
    @pytest.mark.parametrize(
        "odd",
        [
            deep(2_000),
            with_raw({"X": "RAW"}, deep(100_000)),
            b"9" * 5_000,
            b"[1e400]",
            b"\xff",
            b"",
            b'[{"id":5}]',
        ],
        ids=["deep", "deep field", "number", "float", "bytes", "empty", "other type"],
    )
    def test_malformed_response(
        self, odd: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        store = HttpStore(HttpAddress("127.0.0.1", 1))
        response = HttpResponse(200, {}, odd)
        monkeypatch.setattr(store, "call", lambda *_, **__: response)
        with pytest.raises(StoreOutcomeUnknownError):
            store.read("a", TIMEOUT_S)
        with pytest.raises(StoreOutcomeUnknownError):
            store.read_prefix("a", TIMEOUT_S)
        with pytest.raises(StoreOutcomeUnknownError):
            next(store.watch("a", Revision(1), TIMEOUT_S))
        with pytest.raises(StoreOutcomeUnknownError):
            store.commit(Transaction((), ()), TIMEOUT_S)
        with pytest.raises(StoreOutcomeUnknownError):
            store.grant_lease(1.0, TIMEOUT_S)

    # Guards against a control task that ends the process by OverflowError.
    def test_lease_out_of_range(self, monkeypatch: pytest.MonkeyPatch) -> None:
        store = HttpStore(HttpAddress("127.0.0.1", 1))
        body = with_raw({"Lease": 5, "TtlMs": "RAW"}, b"9" * 400)
        response = HttpResponse(200, {}, body)
        monkeypatch.setattr(store, "call", lambda *_, **__: response)
        with pytest.raises(StoreOutcomeUnknownError):
            store.keep_lease_alive(StoreLeaseId(5), TIMEOUT_S)
