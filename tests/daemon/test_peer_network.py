"""Tests of the messages between members."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager, suppress
from typing import Any

import pytest
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from daemon_support import PUBLIC_KEY, SECRET_KEY, free_port, wait_until
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.peers import (
    Inbound,
    MessageRegistry,
    PeerMessage,
    PeerNetwork,
    PeerNotReachedError,
    PeerTimeoutError,
)
from gooseberrydeck_daemon.peers.messages import Frame, FrameKind
from gooseberrydeck_daemon.peers.requests import PendingRequest, PendingRequestTable
from gooseberrydeck_daemon.peers.security import CurveKeys
from gooseberrydeck_daemon.settings import PeerAddress
from gooseberrydeck_daemon.views import StaticMembership
from gooseberrydeck_service.tasks import Supervisor

M1, M2 = MemberId("m1"), MemberId("m2")
KEYS = CurveKeys(PUBLIC_KEY, SECRET_KEY)
REFUSAL_TIMEOUT_MS = 10_000
REFUSAL_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class Question(PeerMessage, frozen=True):
    text: str


class Silence(PeerMessage, frozen=True):
    text: str


class Answer(PeerMessage, frozen=True):
    text: str


class Nested(PeerMessage, frozen=True):
    content: Any


def make_network(
    member: MemberId,
    ports: dict[MemberId, int],
    keys: CurveKeys,
    received: list[Inbound],
) -> PeerNetwork:
    registry = MessageRegistry()

    def reply_twice(inbound: Inbound) -> None:
        received.append(inbound)
        inbound.reply(Answer(inbound.message.text.upper()))
        inbound.reply(Answer("a second answer"))

    registry.register(Question, reply_twice)
    registry.register(Silence, received.append)
    registry.register(Answer)
    addresses = [PeerAddress(name, "127.0.0.1", port) for name, port in ports.items()]
    membership = StaticMembership(addresses, member)
    port = ports.get(member, 0)
    metrics = InMemoryMetrics()
    return PeerNetwork(member, "127.0.0.1", port, keys, membership, registry, metrics)


@contextmanager
def running(*networks: PeerNetwork) -> Iterator[None]:
    supervisor = Supervisor(4)
    with ExitStack() as stack:
        stack.callback(supervisor.close)
        for number, network in enumerate(networks):
            network.name = f"peers-{number}"
            supervisor.start(network)
        yield


def request_until_connected(network: PeerNetwork, message: PeerMessage) -> Any:
    """Repeat a request to m2 until there is a connection, and return the reply."""
    replies: list[Any] = []

    def has_reply() -> bool:
        try:
            replies.append(network.request(M2, message, 5.0).result(6.0))
        except PeerNotReachedError:
            return False
        return True

    wait_until(has_reply)
    return replies[0]


class TestPeerNetwork:
    def test_replies_are_matched_by_correlation_id(self) -> None:
        ports, received = {M1: free_port(), M2: free_port()}, []
        m1, m2 = (make_network(name, ports, KEYS, received) for name in ports)
        with running(m1, m2):
            assert request_until_connected(m1, Question("first")).text == "FIRST"
            futures = [m1.request(M2, Question(f"q{n}"), 5.0) for n in range(50)]
            texts = [future.result(6.0).text for future in futures]
            assert texts == [f"Q{n}" for n in range(50)]
            # The second reply to each request is dropped and counted.
            wait_until(lambda: m1.metrics.counts["peers.answers.late"] == 51)
        assert {inbound.sender for inbound in received} == {M1}

    def test_request_without_connection_fails_as_not_reached(self) -> None:
        m1 = make_network(M1, {M1: free_port(), M2: free_port()}, KEYS, [])
        with running(m1):
            for member in (M2, MemberId("unknown")):
                with pytest.raises(PeerNotReachedError):
                    m1.request(member, Question("x"), 5.0).result(6.0)

    def test_request_without_reply_times_out(self) -> None:
        ports, received = {M1: free_port(), M2: free_port()}, []
        m1, m2 = (make_network(name, ports, KEYS, received) for name in ports)
        with running(m1, m2):
            request_until_connected(m1, Question("x"))
            with pytest.raises(PeerTimeoutError):
                m1.request(M2, Silence("x"), 0.05).result(6.0)

    @pytest.mark.parametrize("kind", ["other key", "no key"])
    def test_client_without_accepted_key_is_refused(self, kind: str) -> None:
        received: list[Inbound] = []
        m2 = make_network(M2, {}, KEYS, received)
        context = zmq.Context()
        client = context.socket(zmq.DEALER)
        client.linger = 0
        if kind == "other key":
            public, secret = zmq.curve_keypair()
            keys = CurveKeys(public.decode(), secret.decode())
            keys.configure_client(client, PUBLIC_KEY)
        monitor = client.get_monitor_socket(REFUSAL_EVENTS)
        client.connect(f"tcp://127.0.0.1:{m2.port}")
        frame = Frame(FrameKind.REQUEST, 1, m2.registry.encode(Question("let me in")))
        with running(m2):
            # After a final refusal the socket has no connection left, and a blocking
            # send would never return.
            with suppress(zmq.Again):
                client.send_multipart([frame.header(), frame.payload], zmq.NOBLOCK)
            assert monitor.poll(REFUSAL_TIMEOUT_MS)
            if kind == "other key":
                wait_until(lambda: m2.metrics.counts["peers.connections.refused"] > 0)
            assert not client.poll(300)
        client.disable_monitor()
        context.destroy(linger=0)
        assert not received

    def test_accepted_previous_key_is_admitted(self) -> None:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        ports, received = {M1: free_port(), M2: free_port()}, []
        m2 = make_network(
            M2, ports, CurveKeys(PUBLIC_KEY, SECRET_KEY, (public,)), received
        )
        m1 = make_network(M1, ports, CurveKeys(public, secret), received)
        address = PeerAddress(M2, "127.0.0.1", ports[M2], PUBLIC_KEY)
        m1.membership = StaticMembership([address], M1)
        with running(m1, m2):
            assert request_until_connected(m1, Question("x")).text == "X"


class TestHostileFrames:
    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @given(st.lists(st.binary(max_size=40), min_size=1, max_size=4))
    def test_random_frames_are_ignored(self, frames: list[bytes]) -> None:
        network = HOSTILE_NETWORK
        network.receive_from_peer(frames)
        network.receive_reply(M2, frames)
        assert not HOSTILE_RECEIVED

    def test_repeated_request_is_handled_once(self) -> None:
        received: list[Inbound] = []
        network = make_network(M2, {}, KEYS, received)
        frame = Frame(FrameKind.REQUEST, 7, network.registry.encode(Question("x")))
        for _ in range(3):
            network.receive_from_peer([b"m1/a", frame.header(), frame.payload])
        network.receive_from_peer([b"m1/b", frame.header(), frame.payload])
        assert len(received) == 2
        assert network.metrics.counts["peers.asks.duplicate"] == 2
        network.close()


HOSTILE_RECEIVED: list[Inbound] = []
HOSTILE_NETWORK = make_network(M2, {}, KEYS, HOSTILE_RECEIVED)


class TestPendingRequestTable:
    @pytest.mark.parametrize(
        ("sender", "is_known", "counter"),
        [
            (M1, True, "peers.answers.crossed"),
            (M2, False, "peers.answers.late"),
        ],
    )
    def test_unexpected_replies_are_dropped(
        self, sender: MemberId, is_known: bool, counter: str
    ) -> None:
        metrics = InMemoryMetrics()
        table = PendingRequestTable(metrics)
        future: Future[Any] = Future()
        correlation_id = table.add(PendingRequest(M2, future, time.monotonic() + 5))
        table.deliver_reply(sender, correlation_id if is_known else 99, Answer("x"))
        assert not future.done()
        assert metrics.counts == {counter: 1}

    def test_reply_after_the_deadline_is_counted_as_late(self) -> None:
        metrics = InMemoryMetrics()
        table = PendingRequestTable(metrics)
        future: Future[Any] = Future()
        correlation_id = table.add(PendingRequest(M2, future, 10.0))
        table.expire(9.9)
        assert not future.done()
        table.expire(10.0)
        assert isinstance(future.exception(), PeerTimeoutError)
        table.deliver_reply(M2, correlation_id, Answer("x"))
        assert metrics.counts["peers.answers.late"] == 1


class Gate:
    """A handler that replies to a request once it is told to."""

    def __init__(self) -> None:
        self.entered = threading.Event()
        self.opened = threading.Event()

    def handle(self, inbound: Inbound) -> None:
        if inbound.message.text == "wait":
            self.entered.set()
            assert self.opened.wait(10.0)
        inbound.reply(Answer(inbound.message.text.upper()))


class TestDepartures:
    """Requests to a member that is leaving the cell."""

    def setup_method(self) -> None:
        ports: dict[MemberId, int] = {M1: free_port(), M2: free_port()}
        self.gate = Gate()
        self.m1, self.m2 = (make_network(name, ports, KEYS, []) for name in ports)
        self.m2.registry.handlers[Question] = self.gate.handle

    # Guards against requests that have no answer until their time limit: the connection
    # was closed while the reply was on its way.
    def test_reply_of_a_member_that_has_left_is_received(self) -> None:
        with running(self.m1, self.m2):
            request_until_connected(self.m1, Question("x"))
            reply = self.m1.request(M2, Question("wait"), 5.0)
            assert self.gate.entered.wait(10.0)
            self.m1.membership = StaticMembership([], M1)
            wait_until(lambda: not self.m1.connections.current)
            with pytest.raises(PeerNotReachedError):
                self.m1.request(M2, Question("x"), 5.0).result(10.0)
            self.gate.opened.set()
            assert reply.result(10.0).text == "WAIT"
            wait_until(lambda: not self.m1.connections.retired)


class TestStop:
    def test_stop_and_wake_after_close_have_no_effect(self) -> None:
        network = make_network(M1, {}, KEYS, [])
        network.stopping.set()
        network.run()
        network.stop()
        network.wake()


class TestOddPayloads:
    # Guards against a network task that ends by the parser's error.
    @pytest.mark.parametrize(
        "payload",
        [b"", b"\xc1", b"\x91" * 3_000 + b"\xc0", b"\x92\xa8Question\xa1\xff"],
        ids=["empty", "reserved", "deep", "bytes"],
    )
    def test_payload_is_no_message(self, payload: bytes) -> None:
        registry = MessageRegistry()
        registry.register(Question)
        registry.register(Nested)
        assert registry.decode(payload) is None
        nested = b"\x92\xa6Nested" + payload
        assert registry.decode(nested) is None
