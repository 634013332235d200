"""CURVE keys of members, and the ZAP handler that authenticates peers."""

from collections.abc import Collection

import msgspec
import zmq
from zmq.utils import z85

from gooseberrydeck_daemon.metrics import Metrics

__all__ = ["CurveKeys", "ZapHandler"]

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
CURVE_MECHANISM = b"CURVE"
ZAP_REQUEST_FRAMES = 7


class CurveKeys(msgspec.Struct, frozen=True):
    """A member's key pair, and the further public keys that peers may use."""

    public_key: str
    secret_key: str
    accepted_public_keys: tuple[str, ...] = ()

    def accepted_keys(self) -> frozenset[bytes]:
        """Return the public keys of accepted peers, as 32 raw bytes each."""
        keys = {self.public_key, *self.accepted_public_keys}
        return frozenset(z85.decode(key.encode()) for key in keys)

    def configure_server(self, socket: zmq.Socket[bytes]) -> None:
        """Configure a socket as a CURVE server, which refuses plain connections."""
        socket.curve_server = True
        socket.curve_secretkey = self.secret_key.encode()
        socket.curve_publickey = self.public_key.encode()
        socket.zap_domain = b"peers"

    def configure_client(self, socket: zmq.Socket[bytes], server_key: str) -> None:
        """Configure a socket as a CURVE client that expects ``server_key``.

        An empty ``server_key`` stands for the key that the cell's members share.
        """
        socket.curve_secretkey = self.secret_key.encode()
        socket.curve_publickey = self.public_key.encode()
        socket.curve_serverkey = (server_key or self.public_key).encode()


class ZapHandler:
    """Answer the authentication requests of libzmq (ZAP, ZeroMQ RFC 27)."""

    def __init__(
        self,
        context: zmq.Context[zmq.Socket[bytes]],
        accepted_keys: Collection[bytes],
        metrics: Metrics,
    ) -> None:
        """Bind the handler's socket; it must exist before a server socket is bound."""
        self.accepted_keys = accepted_keys
        self.metrics = metrics
        self.socket: zmq.Socket[bytes] = context.socket(zmq.REP)
        self.socket.linger = 0
        self.socket.bind(ZAP_ENDPOINT)

    def handle_request(self) -> None:
        """Receive one authentication request and accept or refuse it."""
        frames = self.socket.recv_multipart()
        version, sequence = (*frames[:2], b"", b"")[:2]
        is_accepted = version == ZAP_VERSION and self.is_accepted(frames)
        if not is_accepted:
            self.metrics.count("peers.connections.refused")
        code, text = (b"200", b"OK") if is_accepted else (b"400", b"unknown key")
        user = frames[6].hex().encode() if is_accepted else b""
        self.socket.send_multipart([ZAP_VERSION, sequence, code, text, user, b""])

    def is_accepted(self, frames: list[bytes]) -> bool:
        """Return True if the request uses CURVE with an accepted key."""
        return (
            len(frames) == ZAP_REQUEST_FRAMES
            and frames[5] == CURVE_MECHANISM
            and frames[6] in self.accepted_keys
        )

    def close(self) -> None:
        """Close the handler's socket."""
        self.socket.close()
