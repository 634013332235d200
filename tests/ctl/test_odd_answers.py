"""Tests of answers of operators' listeners that can't be read."""

import pytest

from gooseberrydeck_ctl.client import Client, ProblemDetails
from gooseberrydeck_ctl.exceptions import CtlError
from odd_values import deep, with_raw

ODD_ANSWERS = {
    "deep": with_raw({"extra": "RAW"}, deep(3_000)),
    "number": with_raw({"title": "RAW"}, b"9" * 5_000),
    "bytes": b"\xff",
}


# Guards against a traceback in place of the command's own error.
@pytest.mark.parametrize("odd", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
class TestOddAnswers:
    @pytest.mark.parametrize("status", [200, 500])
    def test_call_fails_with_an_error_of_its_own(
        self, status: int, odd: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        client = Client(["127.0.0.1:1"], "key")
        monkeypatch.setattr(client, "send", lambda *_: (status, odd))
        with pytest.raises(CtlError):
            client.get("/status", ProblemDetails)
