"""Tests of the reachability probe that delays the readiness of a starting member."""

from concurrent.futures import Future
from typing import Any

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.controllers.reachability import (
    MAX_WAIT_S,
    ReachabilityTask,
)
from gooseberrydeck_daemon.peers import PeerMessage, PeerNotReachedError
from gooseberrydeck_daemon.settings import PeerAddress
from gooseberrydeck_daemon.views import StaticMembership

PEERS = [PeerAddress(MemberId(name), "127.0.0.1", 1) for name in ("m1", "m2")]


class FakePeers:
    """Record requests; tests set their results."""

    def __init__(self) -> None:
        self.requests: list[tuple[MemberId, Future[Any]]] = []

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        return True

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        future: Future[Any] = Future()
        self.requests.append((member, future))
        return future


class TestReachability:
    def setup_method(self) -> None:
        self.peers = FakePeers()
        self.clock = ManualClock()
        self.ready: list[bool] = []
        self.task = ReachabilityTask(
            self.peers,
            StaticMembership(PEERS, MemberId("m3")),
            self.clock,
            lambda: self.ready.append(True),
        )

    def start(self) -> None:
        self.task.start_probing()
        self.task.run_once(0)

    def test_sends_no_request_before_the_owners_are_known(self) -> None:
        self.task.tick()
        assert self.peers.requests == []

    def test_waits_until_every_peer_has_replied(self) -> None:
        self.start()
        for _, future in self.peers.requests[:1]:
            future.set_result(None)
        self.task.tick()
        assert self.ready == []
        self.peers.requests[1][1].set_result(None)
        self.task.tick()
        assert self.ready == [True]

    def test_retries_a_peer_that_was_not_reached(self) -> None:
        self.start()
        for _, future in self.peers.requests[:2]:
            future.set_exception(PeerNotReachedError("no connection"))
        self.task.tick()
        assert len(self.peers.requests) == 4

    def test_stops_waiting_for_a_dead_peer(self) -> None:
        self.start()
        self.clock.advance(MAX_WAIT_S)
        self.task.tick()
        assert self.ready == [True]

    def test_reports_readiness_once(self) -> None:
        self.start()
        self.clock.advance(MAX_WAIT_S)
        self.task.tick()
        self.start()
        assert self.ready == [True]
