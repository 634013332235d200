"""Tests of malformed messages between members."""

from collections.abc import Iterable
from io import BytesIO
from types import SimpleNamespace

import pytest

from gooseberrydeck_adapter import decode_intent
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.advice import AdviceFailedError
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import Heartbeat
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.peers import PeerCallError, PeerClient
from gooseberrydeck_platform.http import HttpResponse
from odd_values import ODD_ADDRESSES, deep, with_raw

PATHS = (
    "/beat",
    "/configuration",
    "/announce",
    "/hand-over",
    "/accepted",
    "/state",
    "/advise",
    "/relay",
)
ODD_BODIES = {
    "deep": deep(100_000),
    "deep field": with_raw({"X": "RAW"}, deep(2_000)),
    "number": b"9" * 5_000,
    "float": with_raw({"processors": "RAW", "token": 1}, b"1e400"),
    "bytes": b"\xff",
}


def make_cell() -> Cell:
    return Cell("m1", "127.0.0.1:7000", PeerClient())


class TestOddMessages:
    # Guards against exceptions in the peers' server, which the peer can't tell from a
    # holder that is in trouble.
    @pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
    @pytest.mark.parametrize("path", PATHS)
    def test_message_is_refused(self, path: str, body: bytes) -> None:
        cell = make_cell()
        application = PeerApplication(
            cell, ConfigurationCache(decode_intent), None, Metrics(), "run"
        )
        # Some messages are decoded only by the holder.
        cell.scheduler = SimpleNamespace(job_accepted=print)  # type: ignore[assignment]
        environ = {
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": BytesIO(body),
        }
        lines: list[str] = []
        chunks: Iterable[bytes] = application(
            environ, lambda line, _headers: lines.append(line)
        )
        assert b"".join(chunks) == b"null"
        assert lines[0].startswith("400")

    # Guards against a control task that ends with its process by a reply of the holder.
    @pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
    def test_reply_is_a_failed_call(
        self, body: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        peers = PeerClient()
        response = HttpResponse(200, {}, body)
        monkeypatch.setattr(peers, "request", lambda *_: response)
        heartbeat = Heartbeat("m1", "127.0.0.1:7000", "run", 1)
        with pytest.raises(PeerCallError):
            peers.send_heartbeat("127.0.0.1:1", heartbeat, 0.1)
        step = StepRef(JobId("a"), 0, 0)
        with pytest.raises(AdviceFailedError):
            peers.advise("127.0.0.1:1", step, (WorkerId("w"),), 0.1)

    # Guards against a control task that ends with its process by an address that the
    # shard's record or a message names.
    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda each: repr(each[:24]))
    def test_call_to_an_odd_address_fails(self, address: str) -> None:
        peers = PeerClient()
        heartbeat = Heartbeat("m1", "127.0.0.1:7000", "run", 1)
        with pytest.raises(PeerCallError):
            peers.send_heartbeat(address, heartbeat, 0.1)
        assert address not in peers.pools
