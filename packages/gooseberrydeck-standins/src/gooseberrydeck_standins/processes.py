"""Processes that tests, benches and the demo start, pause and end."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec

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
POLL_S = 0.02
LOOPBACK = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)


class WaitTimeoutError(Exception):
    """What was waited for did not come about."""


class StartFailedError(Exception):
    """A process ended, or said nothing, before it was up."""


def wait_for(
    condition: Callable[[], bool], what: str, timeout_s: float = WAIT_TIMEOUT_S
) -> float:
    """Poll until a condition holds and return the seconds that it took."""
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > timeout_s:
            raise WaitTimeoutError(f"{what}: not within {timeout_s:.0f} s")
        time.sleep(POLL_S)
    return time.monotonic() - begin


def free_ports(count: int) -> list[int]:
    """Return ports that are free now.

    They lie below the range from which the system takes ports by itself, so that no
    outgoing connection takes one of them before its listener is up.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port not in found and is_free(port):
            found.append(port)
    return found


def is_free(port: int) -> bool:
    """Tell whether a port can be listened on."""
    try:
        socket.create_server((LOOPBACK, port)).close()
    except OSError:
        return False
    return True


class ChildProcess:
    """A process whose output goes to a file, ended at the end of a ``with`` block."""

    def __init__(self, arguments: Sequence[str], log: Path) -> None:
        """Start ``python`` with arguments."""
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
        """Tell whether the process has not ended."""
        return self.process.poll() is None

    def kill(self) -> None:
        """End the process at once, as a crash does."""
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process where it is, and wait until it has stopped or ended."""
        if not self.is_alive():
            return
        self.process.send_signal(signal.SIGSTOP)
        # The state is left to be read again: a process that is paused already does
        # not change it a second time.
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end in good order."""
        self.process.terminate()

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the end and return the exit status."""
        return self.process.wait(timeout_s)

    def close(self) -> None:
        """End the process, by force if it does not end by itself."""
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
    """A stand-in in a process of its own, started by ``python -m``."""

    def __init__(self, module: str, log: Path, *options: str) -> None:
        """Start the stand-in and wait until it tells its address.

        A ``module`` without a package is one of this package.
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
        """Tell whether the stand-in is up, or raise ``StartFailedError``."""
        if not self.is_alive():
            raise StartFailedError(self.log.read_text())
        said = self.log.read_text()
        return said.startswith("{") and "\n" in said

    def announcement(self) -> Any:
        """Return the line that the stand-in begins with."""
        return json.loads(self.log.read_text().splitlines()[0])

    def set_fault(
        self, kind: FaultKind, path: str = "", slow_s: float = 0.0, calls: int = 0
    ) -> None:
        """Turn the switches of the stand-in, or of the worker at ``path``."""
        body = msgspec.json.encode(FaultSettings(kind, slow_s, calls))
        connection = HttpConnection(self.address)
        connection.request("PUT", f"{path}/faults", body)
        connection.close()

    def put(self, path: str) -> None:
        """Ask the stand-in to do what a path names."""
        connection = HttpConnection(self.address)
        connection.request("PUT", path)
        connection.close()

    def fetch(self, path: str) -> bytes:
        """Return what the stand-in tells at a path."""
        connection = HttpConnection(self.address)
        try:
            return connection.request("GET", path).body
        finally:
            connection.close()
