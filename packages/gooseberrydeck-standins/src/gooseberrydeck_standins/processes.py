"""Child processes of tests, benchmarks and the demo."""

import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec

from gooseberrydeck_coordination.decoding import decode_document
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.http import HttpAddress, HttpConnection
from gooseberrydeck_standins.faults import FaultKind, FaultSettings

__all__ = [
    "ChildProcess",
    "StandinProcess",
    "StartFailedError",
    "WaitTimeoutError",
    "free_ports",
    "wait_for",
]

START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 60.0
PUT_TIMEOUT_S = 5.0
POLL_S = 0.02
LOOPBACK = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)
PORT_LOCKS = Path(tempfile.gettempdir()) / f"gooseberrydeck-ports-{os.getuid()}"


class WaitTimeoutError(Exception):
    """A condition did not hold within its time-out."""


class StartFailedError(Exception):
    """A process ended before it announced its address."""


def wait_for(
    condition: Callable[[], bool], what: str, timeout_s: float = WAIT_TIMEOUT_S
) -> float:
    """Poll until a condition holds and return the elapsed seconds.

    Raises ``WaitTimeoutError``, which names ``what``, after ``timeout_s``.
    """
    start_s = time.monotonic()
    while not condition():
        if time.monotonic() - start_s > timeout_s:
            raise WaitTimeoutError(f"{what}: not within {timeout_s:.0f} s")
        time.sleep(POLL_S)
    return time.monotonic() - start_s


def free_ports(count: int) -> list[int]:
    """Return free TCP ports, reserved until this process ends.

    They are below the system's ephemeral range, so that no outgoing connection takes
    one of them before its listener is up.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if reserve_port(port):
            found.append(port)
    return found


def reserve_port(port: int) -> bool:
    """Reserve a free port until this process ends; return False if it is taken.

    Another process that chooses a port could otherwise take it before the child process
    that it is meant for listens on it. The lock is released with this process.
    """
    PORT_LOCKS.mkdir(exist_ok=True)
    lock = os.open(PORT_LOCKS / str(port), os.O_RDWR | os.O_CREAT)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    if not is_free(port):
        os.close(lock)
        return False
    return True


def is_free(port: int) -> bool:
    """Return True if a port can be bound."""
    try:
        socket.create_server((LOOPBACK, port)).close()
    except OSError:
        return False
    return True


class ChildProcess:
    """A Python child process with its output in a file; a context manager."""

    def __init__(self, arguments: Sequence[str], log: Path) -> None:
        """Start the Python interpreter with ``arguments``."""
        self.log = log
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def is_alive(self) -> bool:
        """Return True if the process has not ended."""
        return self.process.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL, as in a crash."""
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP and wait until it has stopped or ended."""
        if not self.is_alive():
            return
        self.process.send_signal(signal.SIGSTOP)
        # WNOWAIT leaves the state waitable: a process that is already stopped does not
        # change state again, and a second pause would block.
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def reload(self) -> None:
        """Send SIGHUP, which announces changed settings."""
        self.process.send_signal(signal.SIGHUP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM for a graceful shutdown."""
        self.process.terminate()

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit status."""
        return self.process.wait(timeout_s)

    def close(self) -> None:
        """Terminate the process, and kill it if it does not end in time."""
        if not self.is_alive():
            return
        self.resume()
        self.terminate()
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()

    def __enter__(self) -> Self:
        """Return the process."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the process."""
        self.close()


class StandinProcess(ChildProcess):
    """A stand-in process, started with ``python -m``."""

    def __init__(self, module: str, log: Path, *options: str) -> None:
        """Start the stand-in and wait until it has announced its address.

        A ``module`` name without a dot is relative to this package.
        """
        name = module if "." in module else f"gooseberrydeck_standins.{module}"
        super().__init__(["-m", name, *options], log)
        try:
            wait_for(self.has_announced, f"the start of {module}", START_TIMEOUT_S)
            announcement = self.announcement()
            self.address = HttpAddress.parse(announcement["address"])
            self.hosts = msgspec.convert(announcement.get("hosts", []), list[Host])
        except Exception:
            self.close()
            raise

    def has_announced(self) -> bool:
        """Return True once the announcement is complete.

        Raises ``StartFailedError`` if the process has ended.
        """
        if not self.is_alive():
            raise StartFailedError(self.log.read_text())
        output = self.log.read_text()
        return output.startswith("{") and "\n" in output

    def announcement(self) -> Any:
        """Return the decoded first line of the stand-in's output."""
        return decode_document(self.log.read_text().splitlines()[0])

    def set_fault(
        self, kind: FaultKind, path: str = "", slow_s: float = 0.0, calls: int = 0
    ) -> None:
        """Set the fault of the stand-in, or of the worker at ``path``."""
        self.apply_faults(FaultSettings(kind, slow_s, calls), f"{path}/faults")

    def apply_faults(self, settings: FaultSettings, path: str = "/faults") -> None:
        """Replace the fault settings at a path."""
        self.put(path, msgspec.json.encode(settings))

    def put(
        self, path: str, body: bytes = b"", timeout_s: float = PUT_TIMEOUT_S
    ) -> None:
        """Send a ``PUT`` request to a path."""
        connection = HttpConnection(self.address)
        try:
            connection.request("PUT", path, body, timeout_s=timeout_s)
        finally:
            connection.close()

    def fetch(self, path: str) -> bytes:
        """Return the body of the response to a ``GET`` request."""
        connection = HttpConnection(self.address)
        try:
            return connection.request("GET", path).body
        finally:
            connection.close()
