"""Network addresses for tests."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from gooseberrydeck_platform.http import HttpAddress

__all__ = ["refused_address"]


@contextmanager
def refused_address() -> Iterator[HttpAddress]:
    """Reserve an address at which every connection is refused.

    The port is bound but not listened on. The system could give a closed port to the
    next listener.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as held:
        held.bind(("127.0.0.1", 0))
        yield HttpAddress("127.0.0.1", held.getsockname()[1])
