"""Clients outside the limits, which connect to a member beside other faults."""

import socket
import threading
from collections.abc import Callable

import structlog

from gooseberrydeck_adapter_standins.local_platform import API_KEY, ROUTE_HOST
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["connect_crowd"]

log = structlog.get_logger(__name__)

CLIENTS = 300
BODY_BYTES = 262_144
TIMEOUT_S = 0.5

HEAD = f"POST /urgent/crowd HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
KEY = f"Authorization: Bearer {API_KEY}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
PAYLOADS = (
    f"{HEAD}{KEY}Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    + b"x" * (BODY_BYTES - 1),
    f"{HEAD}{KEY}{CHUNKED}".encode() + b"1\r\nx\r\n" * (BODY_BYTES // 7),
    f"{HEAD}X-Filler: ".encode() + b"x" * 60_000,
    b"",
)


def connect_crowd(address: HttpAddress) -> Callable[[], None]:
    """Connect clients that don't end their requests; return what disconnects them."""
    clients: list[socket.socket] = []
    stopping = threading.Event()

    def connect() -> None:
        refused = 0
        for number in range(CLIENTS):
            if stopping.is_set():
                break
            try:
                client = socket.create_connection(
                    (address.host, address.port), TIMEOUT_S
                )
                clients.append(client)
                client.sendall(PAYLOADS[number % len(PAYLOADS)])
            except OSError:
                # Closed by the member, or the member is down: counted below.
                refused += 1
        log.info("crowd connected", clients=len(clients), refused=refused)

    thread = threading.Thread(target=connect)
    thread.start()

    def disconnect() -> None:
        stopping.set()
        thread.join()
        for client in clients:
            client.close()

    return disconnect
