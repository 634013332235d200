"""A socket that keeps to one deadline, as ``http.client`` reads from it."""

import io
import select
import socket
import time

__all__ = ["DeadlineSocket"]

READ_BUFFER_BYTES = 16_384


class DeadlineReader(io.RawIOBase):
    """Read from a socket until a deadline, not only for a time between two reads."""

    def __init__(self, sock: "DeadlineSocket") -> None:
        """Read from ``sock`` until its deadline."""
        self.sock = sock

    def readable(self) -> bool:
        """Tell that it can be read."""
        return True

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        """Read what has arrived, waiting until the deadline at most."""
        return self.sock.receive_into(buffer)


class DeadlineSocket:
    """A socket on which every step of a call keeps to one deadline.

    The socket itself never blocks: ``settimeout`` would cost a system call for each
    step. It has the methods that ``http.client`` uses. Its ``close`` leaves the socket
    open, since ``http.client`` closes it before it has read the last body.
    """

    def __init__(self, raw: socket.socket) -> None:
        """Begin with a connected socket."""
        raw.setblocking(False)
        self.raw = raw
        self.deadline_s = 0.0
        self.input = select.poll()
        self.input.register(raw, select.POLLIN)

    def wait(self, poller: select.poll) -> None:
        """Wait until the socket is ready, or raise ``TimeoutError``."""
        left_ms = (self.deadline_s - time.monotonic()) * 1_000
        if left_ms <= 0 or not poller.poll(left_ms):
            raise TimeoutError("timed out")

    def receive_into(self, buffer: memoryview) -> int:
        """Read what arrives until the deadline."""
        while True:
            self.wait(self.input)
            try:
                return self.raw.recv_into(buffer)
            except BlockingIOError:
                continue

    def send(self, data: memoryview) -> int:
        """Write some bytes and return how many."""
        try:
            return self.raw.send(data)
        except BlockingIOError:
            output = select.poll()
            output.register(self.raw, select.POLLOUT)
            self.wait(output)
            return self.raw.send(data)

    def is_idle(self) -> bool:
        """Tell whether the peer has neither closed nor sent anything."""
        return not self.input.poll(0)

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader that keeps to the deadline."""
        return io.BufferedReader(DeadlineReader(self), READ_BUFFER_BYTES)

    def close(self) -> None:
        """Leave the socket open for the response; its owner closes it."""
