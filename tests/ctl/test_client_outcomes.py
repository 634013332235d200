"""Tests of what gooseberryctl reports after several attempts at a change."""

import itertools

import msgspec
import pytest

from gooseberrydeck_ctl import client as client_module
from gooseberrydeck_ctl.client import MAX_PASSES, Client, ProblemDetails
from gooseberrydeck_ctl.exceptions import (
    CtlError,
    NotFoundError,
    OutcomeUnknownError,
    UnreachableError,
)

Result = tuple[int, bytes] | Exception


def refusal(status: int, outcome: str = "not_run") -> tuple[int, bytes]:
    return status, msgspec.json.encode(ProblemDetails("title", outcome=outcome))


ACCEPTED: Result = (200, b"{}")
REFUSED = ConnectionRefusedError("refused")
TIMED_OUT = TimeoutError("timed out")
UNAVAILABLE = refusal(503)
MAY_BE_MADE = refusal(503, "unknown")
NOT_FOUND = refusal(404)
RESULTS: tuple[Result, ...] = (
    ACCEPTED,
    REFUSED,
    TIMED_OUT,
    UNAVAILABLE,
    MAY_BE_MADE,
    NOT_FOUND,
)


class ScriptedClient(Client):
    """A client with set results of its attempts; the last one is repeated."""

    def __init__(self, *results: Result) -> None:
        super().__init__([f"m{number}:1" for number in range(len(results))], "key")
        self.results = list(results)
        self.used: list[Result] = []

    def send_once(
        self, address: str, method: str, target: str, body: bytes | None
    ) -> tuple[int, bytes]:
        result = self.results[min(len(self.used), len(self.results) - 1)]
        self.used.append(result)
        if isinstance(result, Exception):
            raise result
        return result


class TestOutcomeOfAChange:
    @pytest.fixture(autouse=True)
    def no_pause(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(client_module, "PASS_PAUSE_S", 0.0)

    def error_of(self, method: str, *results: Result) -> CtlError:
        with pytest.raises(CtlError) as caught:
            ScriptedClient(*results).call(method, "/v1/key", ProblemDetails)
        return caught.value

    # Guards against "nothing was published" for a publication that one member may have
    # made before another one refused.
    @pytest.mark.parametrize("earlier", [TIMED_OUT, MAY_BE_MADE], ids=["lost", "open"])
    @pytest.mark.parametrize("later", [UNAVAILABLE, NOT_FOUND], ids=["503", "404"])
    def test_refusal_after_an_attempt_that_may_have_taken_effect(
        self, earlier: Result, later: Result
    ) -> None:
        error = self.error_of("POST", earlier, later)
        assert isinstance(error, OutcomeUnknownError)

    def test_refusal_of_every_member_is_reported_as_such(self) -> None:
        error = self.error_of("POST", REFUSED, UNAVAILABLE)
        assert isinstance(error, UnreachableError)
        assert isinstance(self.error_of("POST", REFUSED, NOT_FOUND), NotFoundError)

    def test_query_is_refused_whatever_came_before(self) -> None:
        assert isinstance(self.error_of("GET", TIMED_OUT, NOT_FOUND), NotFoundError)

    @pytest.mark.parametrize("count", [1, 2, 3])
    def test_outcome_is_unknown_only_if_an_attempt_may_have_taken_effect(
        self, count: int
    ) -> None:
        for results in itertools.product(RESULTS, repeat=count):
            client = ScriptedClient(*results)
            reported = None
            try:
                client.call("POST", "/v1/key", ProblemDetails)
            except CtlError as error:
                reported = error
            assert (reported is None) is (client.used[-1] is ACCEPTED), results
            if reported is not None:
                is_open = TIMED_OUT in client.used or MAY_BE_MADE in client.used
                assert isinstance(reported, OutcomeUnknownError) is is_open, results
            assert len(client.used) <= MAX_PASSES * count
