"""Clients outside the limits, and the member process that they connect to."""

import fcntl
import os
import selectors
import socket
import tempfile
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType
from typing import Self

import psutil

from gooseberrydeck_adapter_standins.local_platform import (
    API_KEY,
    ROUTE_HOST,
    LocalPlatform,
    default_configuration,
    job_body,
)
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.processes import WaitTimeoutError, wait_for

MAX_BODY_BYTES = 262_144
MEMORY_MIB = 96
MAX_FDS = 2_000
"""Enough descriptors for the crowds that exhaust memory."""

FEW_FDS = 300
"""Fewer descriptors than the silent crowd has connections."""

MIB = 1 << 20
SAMPLE_INTERVAL_S = 0.02
ABSORB_TIMEOUT_S = 15.0
"""Bounds the wait for a server that leaves a part of a crowd's bytes unread."""

ANSWER_TIMEOUT_S = 30.0
LOCK = Path(tempfile.gettempdir()) / f"gooseberrydeck-crowds-{os.getuid()}"


def header(*fields: str, key: str = API_KEY) -> bytes:
    """Return the header of a submission."""
    lines = [
        "POST /urgent/crowd HTTP/1.1",
        f"Host: {ROUTE_HOST}",
        f"Authorization: Bearer {key}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def unfinished_body(key: str = API_KEY) -> bytes:
    """Return a request with a body of nearly the limit that lacks its last byte."""
    length = MAX_BODY_BYTES - 4
    return header(f"Content-Length: {length}", key=key) + b"x" * (length - 1)


def unfinished_chunks(chunk_bytes: int) -> bytes:
    """Return a chunked request of nearly the limit, framing included, without end."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    count = (MAX_BODY_BYTES - 4_000) // len(chunk)
    return header("Transfer-Encoding: chunked") + chunk * count


def unfinished_header() -> bytes:
    """Return 60 kB of a header that does not end."""
    return header("X-Filler: " + "x" * 60_000)[:-4]


class Crowd:
    """Clients that each send some bytes and stay connected; they read nothing."""

    def __init__(self, address: HttpAddress, payloads: Sequence[bytes]) -> None:
        """Connect one client for each payload, and send in a separate thread."""
        self.address = address
        self.payloads = payloads
        self.sockets: list[socket.socket] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.sent = threading.Event()

    def run(self) -> None:
        """Send every payload as far as the server takes it."""
        with selectors.DefaultSelector() as selector:
            for payload in self.payloads:
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex((self.address.host, self.address.port))
                self.sockets.append(client)
                rest = memoryview(payload)
                selector.register(client, selectors.EVENT_WRITE, rest)
            while selector.get_map() and not self.stopping.is_set():
                for key, _ in selector.select(SAMPLE_INTERVAL_S):
                    client = key.fileobj
                    assert isinstance(client, socket.socket)
                    rest = send_some(client, key.data)
                    if rest:
                        selector.modify(client, selectors.EVENT_WRITE, rest)
                    else:
                        selector.unregister(client)
        self.sent.set()

    def wait_absorbed(self) -> None:
        """Wait until the server has read or refused all that the clients send.

        A server may leave a part unread for good, so this wait ends in any case.
        """
        try:
            wait_for(self.is_absorbed, "the crowd is read", ABSORB_TIMEOUT_S)
        except WaitTimeoutError:
            return

    def is_absorbed(self) -> bool:
        """Return True if all is sent and none of it waits in the server's sockets."""
        return self.sent.is_set() and unread_bytes(self.address.port) == 0

    def __enter__(self) -> Self:
        """Start the clients."""
        self.thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Disconnect the clients."""
        self.stopping.set()
        self.thread.join()
        for client in self.sockets:
            client.close()


def send_some(client: socket.socket, rest: memoryview) -> memoryview:
    """Send a part of ``rest`` and return what remains; none after a close."""
    try:
        return rest[client.send(rest) :] if rest else rest
    except BlockingIOError:
        return rest
    except OSError:
        return rest[:0]


def unread_bytes(port: int) -> int:
    """Return the bytes that a local server's sockets have received but not read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_listener = fields[3] == "0A"
        if int(fields[1].rpartition(":")[2], 16) == port and not is_listener:
            total += int(fields[4].partition(":")[2], 16)
    return total


class CrowdedMember:
    """A member process with lowered limits, whose resources are sampled."""

    def __init__(self, platform: LocalPlatform, max_fds: int) -> None:
        """Start the member and limit its descriptors as its host would."""
        limits = {"CpuShare": 0.39, "Cores": 1, "MemoryMb": MEMORY_MIB}
        self.member = platform.add_member("m1", limits={**limits, "MaxFds": max_fds})
        self.process = psutil.Process(self.member.process.pid)
        self.process.rlimit(psutil.RLIMIT_NOFILE, (max_fds, max_fds))
        self.max_fds = max_fds
        self.address = self.member.callers_address
        self.peak_rss = 0
        self.peak_fds = 0
        self.jobs = 0
        self.stopping = threading.Event()
        self.sampler = threading.Thread(target=self.sample, daemon=True)
        self.sampler.start()

    def sample(self) -> None:
        """Record the highest resident memory and count of descriptors."""
        while not self.stopping.wait(SAMPLE_INTERVAL_S) and self.member.is_alive():
            try:
                self.peak_rss = max(self.peak_rss, self.process.memory_info().rss)
                self.peak_fds = max(self.peak_fds, self.process.num_fds())
            except psutil.NoSuchProcess:
                return

    def is_serving(self) -> bool:
        """Submit an ordinary job and return True if it is accepted."""
        self.jobs += 1
        response = self.member.call("POST", f"/urgent/job-{self.jobs}", job_body())
        return response is not None and response.status == 200

    def check_answer(self) -> None:
        """Check that an ordinary request is answered, with retries."""
        wait_for(self.is_serving, self.figures(), ANSWER_TIMEOUT_S)

    def check_bounds(self) -> None:
        """Check that the process lives and stayed within its host's limits."""
        assert self.member.is_alive(), self.figures()
        assert self.peak_rss <= MEMORY_MIB * MIB, self.figures()
        assert self.peak_fds < self.max_fds, self.figures()

    def figures(self) -> str:
        """Return the measured peaks as text."""
        return f"{self.peak_rss / MIB:.0f} MiB, {self.peak_fds} descriptors"


@contextmanager
def crowded_member(folder: Path, max_fds: int = MAX_FDS) -> Iterator[CrowdedMember]:
    """Run a platform with one member, alone among all test processes of this user."""
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        with LocalPlatform(folder) as platform:
            platform.add_workers(2)
            member = CrowdedMember(platform, max_fds)
            platform.publish(default_configuration())
            platform.wait_ready()
            wait_for(member.is_serving, "the member serves before the crowd")
            yield member
            member.stopping.set()
            member.sampler.join()
