"""Creation of the sockets between members."""

import zmq

from gooseberrydeck_daemon.peers.security import CurveKeys
from gooseberrydeck_daemon.settings import PeerAddress

__all__ = ["MAX_QUEUED_MESSAGES", "open_dealer", "open_router"]

MAX_QUEUED_MESSAGES = 2_000
MAX_MESSAGE_BYTES = 16_777_216
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 4_000
RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1_000

Context = zmq.Context[zmq.Socket[bytes]]


def open_router(
    context: Context, keys: CurveKeys, bind_address: str, port: int
) -> zmq.Socket[bytes]:
    """Return a bound ROUTER socket that accepts the connections of peers."""
    router: zmq.Socket[bytes] = context.socket(zmq.ROUTER)
    keys.configure_server(router)
    router.setsockopt(zmq.ROUTER_HANDOVER, 1)
    set_common_options(router)
    router.bind(f"tcp://{bind_address}:{port or '*'}")
    return router


def open_dealer(
    context: Context, keys: CurveKeys, identity: bytes, address: PeerAddress
) -> zmq.Socket[bytes]:
    """Return a DEALER socket that connects to a peer."""
    dealer: zmq.Socket[bytes] = context.socket(zmq.DEALER)
    keys.configure_client(dealer, address.public_key)
    dealer.setsockopt(zmq.ROUTING_ID, identity)
    # Without a connection a send fails at once instead of queueing the message, so
    # that a failed send means that the peer never gets the message.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    set_common_options(dealer)
    dealer.connect(f"tcp://{address.address}:{address.port}")
    return dealer


def set_common_options(socket: zmq.Socket[bytes]) -> None:
    """Set the queue, size and heartbeat options that all peer sockets share."""
    socket.linger = 0
    socket.sndhwm = MAX_QUEUED_MESSAGES
    socket.rcvhwm = MAX_QUEUED_MESSAGES
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
