"""The task that owns the sockets between this member and its peers."""

import secrets
import socket as sockets
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from functools import partial
from typing import Any, Protocol

import msgspec
import structlog
import zmq

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers.exceptions import PeerNotReachedError
from gooseberrydeck_daemon.peers.messages import (
    Frame,
    Inbound,
    Kind,
    MessageRegistry,
    PeerMessage,
)
from gooseberrydeck_daemon.peers.requests import AskTable, PendingAsk, SeenAsks, settle
from gooseberrydeck_daemon.peers.security import CurveKeys, ZapHandler
from gooseberrydeck_daemon.peers.sockets import (
    MAX_QUEUED_MESSAGES,
    open_dealer,
    open_router,
)
from gooseberrydeck_daemon.settings import PeerAddress
from gooseberrydeck_daemon.views import MembershipView

__all__ = ["PeerNetwork", "Peers"]

MAX_CONNECTIONS_SEEN = 512
POLL_MS = 50
MEMBERSHIP_PERIOD_S = 0.5

log = structlog.get_logger(__name__)


class Peers(Protocol):
    """Send messages to other members."""

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        """Tell a member something; return False if the queue is full."""

    def ask(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        """Ask a member; the future fails with a ``PeerError``."""


class Outbound(msgspec.Struct, frozen=True):
    """A message on its way to the network task."""

    member: MemberId
    payload: bytes
    ask: PendingAsk | None = None


class Reply(msgspec.Struct, frozen=True):
    """An answer on its way back along the connection that asked."""

    identity: bytes
    correlation: int
    payload: bytes


class PeerNetwork:
    """Own the sockets to and from peers, and route messages both ways."""

    def __init__(
        self,
        member: MemberId,
        bind_address: str,
        port: int,
        keys: CurveKeys,
        membership: MembershipView,
        registry: MessageRegistry,
        metrics: Metrics,
    ) -> None:
        """Bind the listener; ``port`` is then the port that peers connect to."""
        self.name = "peers"
        self.member = member
        self.keys = keys
        self.membership = membership
        self.registry = registry
        self.metrics = metrics
        self.identity = f"{member}/{secrets.token_hex(4)}".encode()
        self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self.zap = ZapHandler(self.context, keys.accepted(), metrics)
        self.router = open_router(self.context, keys, bind_address, port)
        endpoint = self.router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.port = int(endpoint.rsplit(":", 1)[-1])
        self.dealers: dict[MemberId, tuple[PeerAddress, zmq.Socket[bytes]]] = {}
        self.poller = zmq.Poller()
        self.asks = AskTable(metrics)
        self.seen: OrderedDict[bytes, SeenAsks] = OrderedDict()
        self.outbox: deque[Outbound | Reply] = deque()
        self.is_woken = False
        self.wake_reader, self.wake_writer = sockets.socketpair()
        self.wake_reader.setblocking(False)
        self.stopping = threading.Event()
        self.next_membership_s = 0.0

    # Called from any thread.

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        """Tell a member something; return False if the queue is full."""
        return self.enqueue(Outbound(member, self.registry.encode(message)))

    def ask(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        """Ask a member; the future fails with a ``PeerError``."""
        future: Future[Any] = Future()
        ask = PendingAsk(member, future, time.monotonic() + timeout_s)
        if not self.enqueue(Outbound(member, self.registry.encode(message), ask)):
            settle(future, PeerNotReachedError("the queue to peers is full"))
        return future

    def enqueue(self, item: Outbound | Reply) -> bool:
        """Hand something to the network task, and wake it."""
        if len(self.outbox) >= MAX_QUEUED_MESSAGES or self.stopping.is_set():
            self.metrics.count("peers.sends.refused")
            return False
        self.outbox.append(item)
        if not self.is_woken:
            self.is_woken = True
            self.wake()
        return True

    def wake(self) -> None:
        """Let the network task look at its outbox."""
        # The task may have ended and closed its side of the pair meanwhile.
        with suppress(OSError):
            self.wake_writer.send(b"w")

    def stop(self) -> None:
        """Ask the network task to end."""
        self.stopping.set()
        self.wake()

    # Called in the network task only.

    def run(self) -> None:
        """Route messages until stopped."""
        self.poller.register(self.router, zmq.POLLIN)
        self.poller.register(self.zap.socket, zmq.POLLIN)
        self.poller.register(self.wake_reader, zmq.POLLIN)
        try:
            while not self.stopping.is_set():
                self.run_once()
        finally:
            self.close()

    def run_once(self) -> None:
        """Wait for something to happen, and act on it."""
        ready = dict(self.poller.poll(POLL_MS))
        now_s = time.monotonic()
        if self.wake_reader.fileno() in ready:
            self.empty_wake_reader()
        if self.zap.socket in ready:
            self.zap.answer_one()
        if now_s >= self.next_membership_s:
            self.follow_membership()
            self.next_membership_s = now_s + MEMBERSHIP_PERIOD_S
        self.flush_outbox()
        if self.router in ready:
            self.drain(self.router, self.receive_from_router)
        for member, (_, dealer) in list(self.dealers.items()):
            if dealer in ready:
                self.drain(dealer, partial(self.receive_answer, member))
        self.asks.expire(now_s)

    def empty_wake_reader(self) -> None:
        """Take the wake-up bytes; later messages wake the task again."""
        # A byte sent after the flag is down stays in the pair and wakes us again.
        self.wake_reader.recv(4096)
        self.is_woken = False

    def follow_membership(self) -> None:
        """Connect to new peers and disconnect from those that are gone or moved."""
        wanted = {item.member: item for item in self.membership.peers()}
        for member, (address, dealer) in list(self.dealers.items()):
            if wanted.get(member) != address:
                self.poller.unregister(dealer)
                dealer.close()
                del self.dealers[member]
                log.info("peer removed", peer=member)
        for member, address in wanted.items():
            if member not in self.dealers and member != self.member:
                self.connect(address)

    def connect(self, address: PeerAddress) -> None:
        """Open the connection on which we send to a peer."""
        dealer = open_dealer(self.context, self.keys, self.identity, address)
        self.poller.register(dealer, zmq.POLLIN)
        self.dealers[address.member] = (address, dealer)
        log.info("peer added", peer=address.member)

    def flush_outbox(self) -> None:
        """Send everything that waits."""
        while self.outbox:
            item = self.outbox.popleft()
            if isinstance(item, Reply):
                self.send_reply(item)
            else:
                self.send_outbound(item)

    def send_reply(self, reply: Reply) -> None:
        """Send an answer back along its connection; count it if that is gone."""
        frame = Frame(Kind.ANSWER, reply.correlation, reply.payload)
        try:
            self.router.send_multipart(
                [reply.identity, frame.header(), frame.payload], zmq.NOBLOCK
            )
        except zmq.ZMQError:
            self.metrics.count("peers.answers.unsent")

    def send_outbound(self, item: Outbound) -> None:
        """Send a message, or fail its ask if the peer can't be reached."""
        kind = Kind.TELL if item.ask is None else Kind.ASK
        correlation = 0 if item.ask is None else self.asks.add(item.ask)
        if self.try_send(item.member, Frame(kind, correlation, item.payload)):
            self.metrics.count("peers.bytes.sent", len(item.payload))
            return
        self.metrics.count("peers.sends.unreached")
        if item.ask is not None:
            self.asks.drop(correlation)
            error = PeerNotReachedError(f"no connection to {item.member}")
            settle(item.ask.future, error)

    def try_send(self, member: MemberId, frame: Frame) -> bool:
        """Return whether a frame was handed to a live connection."""
        entry = self.dealers.get(member)
        if entry is None:
            return False
        try:
            entry[1].send_multipart([frame.header(), frame.payload], zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def drain(
        self, socket: zmq.Socket[bytes], receive: Callable[[list[bytes]], None]
    ) -> None:
        """Receive what waits on a socket."""
        for _ in range(MAX_QUEUED_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            receive(frames)

    def receive_from_router(self, frames: list[bytes]) -> None:
        """Act on a message that a peer sent to us."""
        frame = Frame.parse(frames[1], frames[2]) if len(frames) == 3 else None
        message = self.registry.decode(frame.payload) if frame else None
        if frame is None or message is None or frame.kind is Kind.ANSWER:
            self.metrics.count("peers.messages.malformed")
            return
        identity = frames[0]
        if frame.kind is Kind.ASK and not self.seen_asks(identity).is_new(
            frame.correlation
        ):
            self.metrics.count("peers.asks.duplicate")
            return
        self.dispatch(identity, frame, message)

    def dispatch(self, identity: bytes, frame: Frame, message: PeerMessage) -> None:
        """Call the handler of a message."""
        handler = self.registry.handlers.get(type(message))
        if handler is None:
            self.metrics.count("peers.messages.unhandled")
            return
        sender = MemberId(identity.split(b"/")[0].decode("utf-8", "replace"))

        def answer(result: PeerMessage) -> None:
            if frame.kind is Kind.ASK:
                payload = self.registry.encode(result)
                self.enqueue(Reply(identity, frame.correlation, payload))

        handler(Inbound(sender, message, answer))

    def seen_asks(self, identity: bytes) -> SeenAsks:
        """Return what was asked on a connection; old connections are forgotten."""
        seen = self.seen.get(identity)
        if seen is None:
            seen = self.seen[identity] = SeenAsks()
            if len(self.seen) > MAX_CONNECTIONS_SEEN:
                self.seen.popitem(last=False)
        return seen

    def receive_answer(self, member: MemberId, frames: list[bytes]) -> None:
        """Give a peer's answer to the ask that waits for it."""
        frame = Frame.parse(frames[0], frames[1]) if len(frames) == 2 else None
        message = self.registry.decode(frame.payload) if frame else None
        if frame is None or message is None or frame.kind is not Kind.ANSWER:
            self.metrics.count("peers.messages.malformed")
            return
        self.asks.answer(member, frame.correlation, message)

    def close(self) -> None:
        """Fail what is pending and close every socket."""
        self.flush_outbox()
        self.asks.fail_all()
        for _, dealer in self.dealers.values():
            dealer.close()
        self.router.close()
        self.zap.close()
        self.wake_reader.close()
        self.context.destroy(linger=0)
