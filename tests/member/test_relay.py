"""Tests of relaying a caller's request: a refusal only if no peer can have it."""

import pytest

from gooseberrydeck_member.callers import (
    NOT_RELAYED,
    CallerRequest,
    CallerResponse,
)
from gooseberrydeck_member.cell import MIN_RELAY_S, Cell
from gooseberrydeck_member.peers import PeerCallError, PeerRefusedError

CALL = CallerRequest("POST", "desk.example", "/slow/aa", "key-1", b"{}", 0.0)


class FakePeers:
    """Peers whose outcomes are set by the test, in the order of the calls."""

    def __init__(self, *outcomes: CallerResponse | PeerCallError) -> None:
        self.outcomes = list(outcomes)

    def call(self, *_arguments: object) -> CallerResponse:
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, PeerCallError):
            raise outcome
        return outcome


def make_cell(*outcomes: CallerResponse | PeerCallError) -> Cell:
    cell = Cell("m1", "m1:1", FakePeers(*outcomes))  # type: ignore[arg-type]
    cell.set_roster(tuple(f"m{number}:1" for number in range(2, 2 + len(outcomes))))
    return cell


class TestCellRelay:
    # Guards against "may be stored" for a job that was sent to nobody: callers can't
    # submit it again then.
    def test_call_that_reaches_no_peer_is_refused(self) -> None:
        cell = make_cell(PeerRefusedError("refused"), PeerRefusedError("refused"))
        assert cell.relay(CALL, 1.0) == NOT_RELAYED

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
        outcomes: list[PeerCallError] = [PeerRefusedError("refused")]
        outcomes.insert(0 if is_silent_first else 1, PeerCallError("timed out"))
        assert make_cell(*outcomes).relay(CALL, 1.0) is None
