"""Tests of relaying a caller's request: a refusal only if no peer can have it."""

import itertools

import msgspec
import pytest

from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_member.callers import (
    NOT_RELAYED,
    OUTCOME_UNKNOWN,
    CallerRequest,
    CallerResponse,
)
from gooseberrydeck_member.cell import (
    MAX_RELAY_RESPONSES,
    MIN_RELAY_S,
    STORE_SILENCE_LIMIT_S,
    Cell,
)
from gooseberrydeck_member.peers import PeerCallError, PeerClient, PeerRefusedError
from gooseberrydeck_platform.http import (
    HttpError,
    HttpNotSentError,
    HttpOutcomeUnknownError,
    HttpResponse,
)

CALL = CallerRequest("POST", "desk.example", "/slow/aa", "key-1", b"{}", 0.0)

PeerResult = CallerResponse | PeerCallError

REFUSED = PeerRefusedError("connection refused")
BROKEN_OFF = PeerCallError("connection closed without a response")
REFUSALS = [CallerResponse(status) for status in (400, 401, 404, 405, 429, 503)]
RESULTS: list[PeerResult] = [
    REFUSED,
    BROKEN_OFF,
    CallerResponse(200),
    CallerResponse(504),
    *REFUSALS,
]


class FakePeers:
    """Peers whose results are set by the test, in the order of the calls."""

    def __init__(self, *results: PeerResult) -> None:
        self.results = list(results)
        self.used: list[PeerResult] = []

    def call(self, *_arguments: object) -> CallerResponse:
        self.used.append(self.results[len(self.used)])
        if isinstance(self.used[-1], PeerCallError):
            raise self.used[-1]
        return self.used[-1]


def make_cell(*results: PeerResult) -> Cell:
    cell = Cell("m1", "m1:1", FakePeers(*results))  # type: ignore[arg-type]
    cell.set_roster(tuple(f"m{number}:1" for number in range(2, 2 + len(results))))
    return cell


def may_have_run(result: PeerResult) -> bool:
    if isinstance(result, PeerCallError):
        return not isinstance(result, PeerRefusedError)
    return result.status in (200, 504)


class TestCellRelay:
    # Guards against "may be stored" for a job that was sent to nobody: callers can't
    # submit it again then.
    def test_call_that_reaches_no_peer_is_refused(self) -> None:
        assert make_cell(REFUSED, REFUSED).relay(CALL, 1.0) == NOT_RELAYED

    def test_call_without_time_for_a_relay_is_refused(self) -> None:
        cell = make_cell(CallerResponse(200))
        assert cell.relay(CALL, MIN_RELAY_S / 2) == NOT_RELAYED

    def test_call_without_peers_is_refused(self) -> None:
        assert make_cell().relay(CALL, 1.0) == NOT_RELAYED

    # Guards against a refusal of a job that a silent peer may have stored.
    @pytest.mark.parametrize("is_silent_first", [True, False])
    def test_outcome_is_unknown_if_one_peer_may_have_the_call(
        self, is_silent_first: bool
    ) -> None:
        results: list[PeerCallError] = [REFUSED]
        results.insert(0 if is_silent_first else 1, PeerCallError("timed out"))
        assert make_cell(*results).relay(CALL, 1.0) == OUTCOME_UNKNOWN

    # Guards against a refusal of a job that was stored by a holder that was killed
    # before it responded: the refusal of the next peer is about its own attempt only.
    @pytest.mark.parametrize("refusal", REFUSALS, ids=lambda each: str(each.status))
    def test_refusal_after_a_relay_that_broke_off_leaves_the_outcome_unknown(
        self, refusal: CallerResponse
    ) -> None:
        assert make_cell(BROKEN_OFF, refusal).relay(CALL, 1.0) == OUTCOME_UNKNOWN

    def test_acceptance_after_a_relay_that_broke_off_is_certain(self) -> None:
        cell = make_cell(BROKEN_OFF, CallerResponse(200))
        assert cell.relay(CALL, 1.0) == CallerResponse(200)

    # Guards against untrue refusals after any other order of the peers' results.
    @pytest.mark.parametrize("count", [1, 2, 3])
    def test_refusal_is_returned_only_if_no_peer_can_have_run_the_call(
        self, count: int
    ) -> None:
        for results in itertools.product(RESULTS, repeat=count):
            cell = make_cell(*results)
            response = cell.relay(CALL, 1.0)
            used = cell.peers.used  # type: ignore[attr-defined]
            if any(may_have_run(each) for each in used):
                assert response.status in (200, 504), results
            else:
                assert response.outcome is Outcome.NOT_RUN, results
            assert (response.status == 200) is (CallerResponse(200) in used), results


class TestFurtherPeers:
    # Guards against a refusal of a job that a third host could have stored, as while a
    # holder is replaced and the store turns some hosts away.
    @pytest.mark.parametrize("status", [429, 503, 504])
    def test_another_peer_is_asked_when_the_store_fails_one(self, status: int) -> None:
        cell = make_cell(REFUSED, CallerResponse(status), CallerResponse(200))
        assert cell.relay(CALL, 1.0) == CallerResponse(200)

    # Guards against a store in trouble that is called by every member for each job.
    def test_number_of_peers_that_call_the_store_is_limited(self) -> None:
        cell = make_cell(*[NOT_RELAYED] * 50)
        assert cell.relay(CALL, 1.0) == NOT_RELAYED
        assert len(cell.peers.used) == MAX_RELAY_RESPONSES  # type: ignore[attr-defined]

    def test_no_further_peer_is_asked_when_the_holder_lost_the_store(self) -> None:
        cell = make_cell(NOT_RELAYED, CallerResponse(200))
        cell.set_holder_store_age(2 * STORE_SILENCE_LIMIT_S)
        assert cell.relay(CALL, 1.0) == NOT_RELAYED

    # Guards against a hopeless request that is tried at several peers.
    @pytest.mark.parametrize("status", [400, 401, 404, 405])
    def test_refusal_that_does_not_depend_on_the_store_is_final(
        self, status: int
    ) -> None:
        cell = make_cell(CallerResponse(status), CallerResponse(200))
        assert cell.relay(CALL, 1.0) == CallerResponse(status)


class FakePool:
    """An HTTP pool with one result for each request."""

    def __init__(self, result: HttpResponse | HttpError) -> None:
        self.result = result

    def request(self, *_arguments: object) -> HttpResponse:
        if isinstance(self.result, HttpError):
            raise self.result
        return self.result

    def close(self) -> None:
        pass


def http_reply(status: int, body: bytes = b"null") -> HttpResponse:
    return HttpResponse(status, {}, body)


def refused_connection() -> HttpNotSentError:
    error = HttpNotSentError("m2:1: connection refused")
    error.__cause__ = ConnectionRefusedError()
    return error


NOT_HANDLED = {
    "connection refused": refused_connection(),
    "not connected in time": HttpNotSentError("m2:1: timed out"),
    "listener full, or no callers' interface yet": http_reply(503),
    "call unknown to an earlier release": http_reply(404),
}

MAYBE_HANDLED = {
    "no response": HttpOutcomeUnknownError("m2:1: timed out"),
    "broken off": HttpOutcomeUnknownError("m2:1: connection closed"),
    "handler failed": http_reply(500),
    "unreadable reply": http_reply(200, b'{"status":'),
}


class TestPeerFailures:
    def relay(self, *results: HttpResponse | HttpError) -> CallerResponse:
        peers = PeerClient()
        cell = Cell("m1", "m1:1", peers)
        addresses = tuple(f"m{number}:1" for number in range(2, 2 + len(results)))
        cell.set_roster(addresses)
        for address, result in zip(addresses, results, strict=True):
            peers.pools[address] = FakePool(result)  # type: ignore[assignment]
        return cell.relay(CALL, 1.0)

    # Guards against 504 for a job that no peer has handled: the refusal is true, and
    # says when to come back.
    @pytest.mark.parametrize("failure", NOT_HANDLED)
    def test_call_that_was_not_handled_is_refused(self, failure: str) -> None:
        assert self.relay(NOT_HANDLED[failure]) == NOT_RELAYED
        refusal = http_reply(200, msgspec.json.encode(NOT_RELAYED))
        assert self.relay(NOT_HANDLED[failure], refusal) == NOT_RELAYED

    @pytest.mark.parametrize("failure", MAYBE_HANDLED)
    def test_call_that_may_have_been_handled_is_not_refused(self, failure: str) -> None:
        assert self.relay(MAYBE_HANDLED[failure]) == OUTCOME_UNKNOWN
        refusal = http_reply(200, msgspec.json.encode(NOT_RELAYED))
        assert self.relay(MAYBE_HANDLED[failure], refusal) == OUTCOME_UNKNOWN

    def test_malformed_address_is_refused(self) -> None:
        cell = Cell("m1", "m1:1", PeerClient())
        cell.set_roster(("no address",))
        assert cell.relay(CALL, 1.0) == NOT_RELAYED
