"""Tests of relaying a caller's request: a refusal only if no peer can have it."""

import itertools

import pytest

from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_member.callers import (
    NOT_RELAYED,
    OUTCOME_UNKNOWN,
    CallerRequest,
    CallerResponse,
)
from gooseberrydeck_member.cell import MIN_RELAY_S, Cell
from gooseberrydeck_member.peers import PeerCallError, PeerRefusedError

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
