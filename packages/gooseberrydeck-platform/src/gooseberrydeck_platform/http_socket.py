"""A socket wrapper that gives ``http.client`` one deadline for a whole request."""

import io
import math
import select
import socket
import time

__all__ = ["DeadlineSocket"]

READ_BUFFER_BYTES = 16_384

MAX_POLL_MS = 2**31 - 1
"""The longest time for which the system can wait at once."""


class DeadlineReader(io.RawIOBase):
    """A raw stream over a ``DeadlineSocket``.

    The deadline bounds all reads together, whereas a socket timeout would start anew
    with each read.
    """

    def __init__(self, sock: "DeadlineSocket") -> None:
        """Read from ``sock``."""
        self.sock = sock

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Read available bytes into ``buffer`` and return their number."""
        return self.sock.receive_into(buffer)


class DeadlineSocket:
    """A non-blocking socket whose operations share one deadline.

    It polls instead of calling ``settimeout``, which would cost a system call for each
    operation. It implements the socket methods that ``http.client`` uses. ``close``
    does nothing, because ``http.client`` calls it before the last body has been read.
    """

    def __init__(self, raw: socket.socket, stall_timeout_s: float = math.inf) -> None:
        """Wrap a connected socket.

        An operation also fails if nothing can be sent or received for
        ``stall_timeout_s``.
        """
        raw.setblocking(False)
        self.raw = raw
        self.stall_timeout_s = stall_timeout_s
        self.deadline_s = 0.0
        self.read_poller = select.poll()
        self.read_poller.register(raw, select.POLLIN)

    def wait(self, poller: select.poll) -> None:
        """Wait for an event; raise ``TimeoutError`` if it comes too late."""
        remaining_s = self.deadline_s - time.monotonic()
        remaining_ms = min(remaining_s, self.stall_timeout_s) * 1_000
        if remaining_ms <= 0 or not poller.poll(min(remaining_ms, MAX_POLL_MS)):
            raise TimeoutError("timed out")

    def receive_into(self, buffer: memoryview) -> int:
        """Wait for data, read it into ``buffer`` and return the number of bytes."""
        while True:
            self.wait(self.read_poller)
            try:
                return self.raw.recv_into(buffer)
            except BlockingIOError:
                continue

    def send(self, data: memoryview) -> int:
        """Write as much of ``data`` as fits and return the number of bytes written."""
        try:
            return self.raw.send(data)
        except BlockingIOError:
            write_poller = select.poll()
            write_poller.register(self.raw, select.POLLOUT)
            self.wait(write_poller)
            return self.raw.send(data)

    def is_idle(self) -> bool:
        """Return True if the peer has neither closed the connection nor sent data."""
        return not self.read_poller.poll(0)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader that respects the deadline."""
        return io.BufferedReader(DeadlineReader(self), READ_BUFFER_BYTES)

    def close(self) -> None:
        """Do nothing; the owner of the connection closes the socket."""
