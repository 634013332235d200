"""Loopback TCP proxy that can delay, drop or reset traffic."""

import select
import socket
import struct
import threading
import time
from enum import Enum

from gooseberrydeck_platform.http import HttpAddress

__all__ = ["LinkFault", "Proxy"]

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536
POLL_S = 0.05
DELAY_S = 0.15
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """How a proxy disturbs its connections.

    ``SILENT`` forwards nothing; ``NO_ANSWERS`` discards data from the server. ``LOST``
    discards all data, and the end of connections by the server. ``HELD`` does too, but
    forwards the client's data once it is over.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"
    RESET = "reset"
    LOST = "lost"
    HELD = "held"


LOSSES = (LinkFault.LOST, LinkFault.HELD)


class Proxy:
    """Forward connections to ``target``; ``fault`` also affects open connections."""

    def __init__(
        self, target: HttpAddress | None = None, source: str = LOOPBACK
    ) -> None:
        """Listen on a free port; ``target`` may be set later.

        Connections to the target come from the loopback address ``source``.
        """
        self.target = target
        self.source = source
        self.fault = LinkFault.NONE
        self.listener = socket.create_server((LOOPBACK, 0))
        host, port = self.listener.getsockname()
        self.address = HttpAddress(host, port)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.forward, args=(client,), daemon=True).start()

    def forward(self, client: socket.socket) -> None:
        """Forward data in both directions, subject to the fault."""
        try:
            if self.target is None or self.fault is LinkFault.RESET:
                raise ConnectionResetError
            target = (self.target.host, self.target.port)
            server = socket.create_connection(target, 1.0, (self.source, 0))
        except OSError:
            reset(client)
            return
        pairs = {client: server, server: client}
        try:
            while self.forward_available(pairs, server):
                pass
        except ConnectionError:
            # One side has reset the connection; the reset below propagates it to the
            # client, as on a direct connection.
            return
        finally:
            reset(client)
            server.close()

    def forward_available(
        self, pairs: dict[socket.socket, socket.socket], server: socket.socket
    ) -> bool:
        """Forward the available data; return False once the connection has ended."""
        ready, _, _ = select.select(list(pairs), [], [], POLL_S)
        fault = self.fault
        if fault is LinkFault.RESET:
            return False
        if fault is LinkFault.SILENT:
            time.sleep(POLL_S)
            return True
        for source in ready:
            if fault is LinkFault.HELD and source is not server:
                time.sleep(POLL_S)
                continue
            data = source.recv(CHUNK_BYTES)
            if fault in LOSSES and source is server and not data:
                del pairs[server]
                continue
            if not data:
                return False
            if fault in LOSSES:
                continue
            if fault is LinkFault.NO_ANSWERS and source is server:
                continue
            if fault is LinkFault.DELAY:
                time.sleep(DELAY_S)
            pairs[source].sendall(data)
        return True

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()
