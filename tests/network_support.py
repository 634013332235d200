"""Addresses that tests need."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from gooseberrydeck_platform.http import HttpAddress

__all__ = ["refused_address"]


@contextmanager
def refused_address() -> Iterator[HttpAddress]:
    """Keep a port at which every connection is refused.

    The port is bound but not listened on. A port that is closed instead may be given to
    the next listener.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as held:
        held.bind(("127.0.0.1", 0))
        yield HttpAddress("127.0.0.1", held.getsockname()[1])
