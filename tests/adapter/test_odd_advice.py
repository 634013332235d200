"""Tests of malformed replies of the advice service."""

import msgspec
import pytest

from gooseberrydeck_adapter import HttpAdviser
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.advice import AdviceFailedError
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_platform.http import HttpAddress, HttpResponse
from odd_values import deep, with_raw

WORKER = WorkerId("w1")
NOWHERE = HttpAddress("127.0.0.1", 1)


class TestOddAdvice:
    # Guards against a place for requests that is never free again: the exception ended
    # the request's thread without a result.
    @pytest.mark.parametrize(
        "body",
        [
            b"\xff",
            deep(100_000),
            with_raw({"Good": [], "X": "RAW"}, deep(2_000)),
            with_raw({"Good": [], "ValidForMs": "RAW"}, b"9" * 400),
            with_raw({"Good": [], "ValidForMs": "RAW"}, b"1e400"),
            msgspec.json.encode({"Good": [["w1", 5]]}),
        ],
        ids=["bytes", "deep", "deep field", "large", "large float", "ticket"],
    )
    def test_malformed_advice_counts_as_failed(
        self, body: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        adviser = HttpAdviser(NOWHERE)
        response = HttpResponse(200, {}, body)
        monkeypatch.setattr(adviser.pool, "request", lambda *_: response)
        with pytest.raises(AdviceFailedError):
            adviser.ask(StepRef(JobId("a"), 0, 0), (WORKER,), 1.0)
