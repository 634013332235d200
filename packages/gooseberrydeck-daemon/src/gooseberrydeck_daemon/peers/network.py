"""ZeroMQ network task that exchanges messages with the other members of the cell."""

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
import zmq

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers.connections import PeerConnections
from gooseberrydeck_daemon.peers.exceptions import PeerNotReachedError
from gooseberrydeck_daemon.peers.messages import (
    Frame,
    FrameKind,
    Inbound,
    MessageRegistry,
    PeerMessage,
)
from gooseberrydeck_daemon.peers.requests import (
    PendingRequest,
    PendingRequestTable,
    RequestDeduplicator,
    resolve_future,
)
from gooseberrydeck_daemon.peers.security import CurveKeys, ZapHandler
from gooseberrydeck_daemon.peers.sockets import (
    MAX_QUEUED_MESSAGES,
    open_router,
)
from gooseberrydeck_daemon.views import MembershipView

__all__ = ["PeerNetwork", "Peers"]

MAX_TRACKED_CONNECTIONS = 512
POLL_MS = 50
CONNECTION_SYNC_PERIOD_S = 0.5


class Peers(Protocol):
    """Interface for sending messages to other members."""

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        """Queue a one-way message; return False if the outbox is full or closed."""

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        """Send a request and return a future of its reply.

        The future fails with ``PeerNotReachedError`` if the request was not sent, or
        with ``PeerTimeoutError`` if no reply arrives within ``timeout_s``.
        """


class OutboundMessage(msgspec.Struct, frozen=True):
    """A message in the outbox; ``request`` is set if a reply is expected."""

    member: MemberId
    payload: bytes
    request: PendingRequest | None = None


class OutboundReply(msgspec.Struct, frozen=True):
    """A reply in the outbox, addressed to the connection of its request."""

    identity: bytes
    correlation_id: int
    payload: bytes


class PeerNetwork:
    """Own the sockets to and from peers, and dispatch their messages.

    Messages are received on one ROUTER socket and sent on a DEALER socket per peer.
    Only the network task uses the sockets; other threads append to the outbox and wake
    the task through a socket pair.
    """

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
        """Bind the listener; port 0 lets the system choose one, kept in ``port``."""
        self.name = "peers"
        self.member = member
        self.keys = keys
        self.membership = membership
        self.registry = registry
        self.metrics = metrics
        self.identity = f"{member}/{secrets.token_hex(4)}".encode()
        self.context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self.zap = ZapHandler(self.context, keys.accepted_keys(), metrics)
        self.router = open_router(self.context, keys, bind_address, port)
        endpoint = self.router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.port = int(endpoint.rsplit(":", 1)[-1])
        self.poller = zmq.Poller()
        self.connections = PeerConnections(
            self.context, keys, self.identity, self.poller
        )
        self.pending_requests = PendingRequestTable(metrics)
        self.deduplicators: OrderedDict[bytes, RequestDeduplicator] = OrderedDict()
        self.outbox: deque[OutboundMessage | OutboundReply] = deque()
        self.is_wake_pending = False
        self.wake_reader, self.wake_writer = sockets.socketpair()
        self.wake_reader.setblocking(False)
        self.stopping = threading.Event()
        self.next_connection_sync_s = 0.0

    # Thread-safe methods.

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        """Queue a one-way message; return False if the outbox is full or closed."""
        return self.enqueue(OutboundMessage(member, self.registry.encode(message)))

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        """Send a request and return a future of its reply.

        The future fails with ``PeerNotReachedError`` if the request was not sent, or
        with ``PeerTimeoutError`` if no reply arrives within ``timeout_s``.
        """
        future: Future[Any] = Future()
        request = PendingRequest(member, future, time.monotonic() + timeout_s)
        if not self.enqueue(
            OutboundMessage(member, self.registry.encode(message), request)
        ):
            resolve_future(future, PeerNotReachedError("the queue to peers is full"))
        return future

    def enqueue(self, item: OutboundMessage | OutboundReply) -> bool:
        """Append an item to the outbox and wake the network task."""
        if len(self.outbox) >= MAX_QUEUED_MESSAGES or self.stopping.is_set():
            self.metrics.count("peers.sends.refused")
            return False
        self.outbox.append(item)
        if not self.is_wake_pending:
            self.is_wake_pending = True
            self.wake()
        return True

    def wake(self) -> None:
        """Interrupt the network task's poll."""
        # The task may have ended and closed its side of the pair meanwhile.
        with suppress(OSError):
            self.wake_writer.send(b"w")

    def stop(self) -> None:
        """Request the network task to end."""
        self.stopping.set()
        self.wake()

    # Methods for the network task only.

    def run(self) -> None:
        """Process messages until stopped, then close every socket."""
        self.poller.register(self.router, zmq.POLLIN)
        self.poller.register(self.zap.socket, zmq.POLLIN)
        self.poller.register(self.wake_reader, zmq.POLLIN)
        try:
            while not self.stopping.is_set():
                self.run_once()
        finally:
            self.close()

    def run_once(self) -> None:
        """Poll the sockets once, for up to ``POLL_MS``, and process what is ready."""
        ready = dict(self.poller.poll(POLL_MS))
        now_s = time.monotonic()
        if self.wake_reader.fileno() in ready:
            self.drain_wake_reader()
        if self.zap.socket in ready:
            self.zap.handle_request()
        if now_s >= self.next_connection_sync_s:
            self.sync_connections()
            self.next_connection_sync_s = now_s + CONNECTION_SYNC_PERIOD_S
        self.flush_outbox()
        if self.router in ready:
            self.receive_all(self.router, self.receive_from_peer)
        for member, dealer in self.connections.dealers():
            if dealer in ready:
                self.receive_all(dealer, partial(self.receive_reply, member))
        self.pending_requests.expire(now_s)

    def drain_wake_reader(self) -> None:
        """Discard the wake-up bytes and allow further wake-ups."""
        # The flag is cleared after the read: a byte that is sent later stays in the
        # socket pair and ends the next poll.
        self.wake_reader.recv(4096)
        self.is_wake_pending = False

    def sync_connections(self) -> None:
        """Connect to new peers, and give up the connections to removed ones."""
        peers = [each for each in self.membership.peers() if each.member != self.member]
        self.connections.sync(peers, self.pending_requests.expects_reply)

    def flush_outbox(self) -> None:
        """Send every queued message and reply."""
        while self.outbox:
            item = self.outbox.popleft()
            if isinstance(item, OutboundReply):
                self.send_reply(item)
            else:
                self.send_outbound(item)

    def send_reply(self, reply: OutboundReply) -> None:
        """Send a reply on the connection of its request; count it if that is closed."""
        frame = Frame(FrameKind.REPLY, reply.correlation_id, reply.payload)
        try:
            self.router.send_multipart(
                [reply.identity, frame.header(), frame.payload], zmq.NOBLOCK
            )
        except zmq.ZMQError:
            self.metrics.count("peers.answers.unsent")

    def send_outbound(self, item: OutboundMessage) -> None:
        """Send a message; fail its request if there is no connection to the peer."""
        kind = FrameKind.ONE_WAY if item.request is None else FrameKind.REQUEST
        correlation_id = (
            0 if item.request is None else self.pending_requests.add(item.request)
        )
        if self.connections.try_send(
            item.member, Frame(kind, correlation_id, item.payload)
        ):
            self.metrics.count("peers.bytes.sent", len(item.payload))
            return
        self.metrics.count("peers.sends.unreached")
        if item.request is not None:
            self.pending_requests.drop(correlation_id)
            error = PeerNotReachedError(f"no connection to {item.member}")
            resolve_future(item.request.future, error)

    def receive_all(
        self, socket: zmq.Socket[bytes], receive: Callable[[list[bytes]], None]
    ) -> None:
        """Receive pending messages from a socket, up to ``MAX_QUEUED_MESSAGES``."""
        for _ in range(MAX_QUEUED_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            receive(frames)

    def receive_from_peer(self, frames: list[bytes]) -> None:
        """Decode and dispatch a message of a peer; drop malformed or repeated ones."""
        frame = Frame.parse(frames[1], frames[2]) if len(frames) == 3 else None
        message = self.registry.decode(frame.payload) if frame else None
        if frame is None or message is None or frame.kind is FrameKind.REPLY:
            self.metrics.count("peers.messages.malformed")
            return
        identity = frames[0]
        if frame.kind is FrameKind.REQUEST and not self.deduplicator_for(
            identity
        ).is_new(frame.correlation_id):
            self.metrics.count("peers.asks.duplicate")
            return
        self.dispatch(identity, frame, message)

    def dispatch(self, identity: bytes, frame: Frame, message: PeerMessage) -> None:
        """Call the handler that is registered for the message's type."""
        handler = self.registry.handlers.get(type(message))
        if handler is None:
            self.metrics.count("peers.messages.unhandled")
            return
        sender = MemberId(identity.split(b"/")[0].decode("utf-8", "replace"))

        def reply(result: PeerMessage) -> None:
            if frame.kind is FrameKind.REQUEST:
                payload = self.registry.encode(result)
                self.enqueue(OutboundReply(identity, frame.correlation_id, payload))

        handler(Inbound(sender, message, reply))

    def deduplicator_for(self, identity: bytes) -> RequestDeduplicator:
        """Return a connection's deduplicator; those of the oldest ones are evicted."""
        deduplicator = self.deduplicators.get(identity)
        if deduplicator is None:
            deduplicator = self.deduplicators[identity] = RequestDeduplicator()
            if len(self.deduplicators) > MAX_TRACKED_CONNECTIONS:
                self.deduplicators.popitem(last=False)
        return deduplicator

    def receive_reply(self, member: MemberId, frames: list[bytes]) -> None:
        """Deliver a peer's reply to its pending request."""
        frame = Frame.parse(frames[0], frames[1]) if len(frames) == 2 else None
        message = self.registry.decode(frame.payload) if frame else None
        if frame is None or message is None or frame.kind is not FrameKind.REPLY:
            self.metrics.count("peers.messages.malformed")
            return
        self.pending_requests.deliver_reply(member, frame.correlation_id, message)

    def close(self) -> None:
        """Flush the outbox, fail pending requests and close every socket."""
        self.flush_outbox()
        self.pending_requests.fail_all()
        self.connections.close()
        self.router.close()
        self.zap.close()
        self.wake_reader.close()
        self.context.destroy(linger=0)
