"""Threads, and events between them, to inject into components."""

import queue
import threading
from concurrent.futures import Executor, ThreadPoolExecutor
from typing import Protocol

from gooseberrydeck_coordination.clock import SystemClock

__all__ = [
    "SYSTEM_CLOCK",
    "SYSTEM_THREADS",
    "Event",
    "Inbox",
    "SystemThreads",
    "Threads",
]


class Event(Protocol):
    """A flag that threads can wait for."""

    def set(self) -> None:
        """Set the flag for good, and wake the threads that wait for it."""

    def is_set(self) -> bool:
        """Return whether the flag is set."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is set, or for ``timeout`` seconds; return the flag."""


class Inbox(Protocol):
    """A queue of messages for one thread."""

    def put(self, item: object) -> None:
        """Append a message."""

    def get(self, *, timeout: float) -> object:
        """Return the next message; raise ``queue.Empty`` after ``timeout`` seconds."""

    def get_nowait(self) -> object:
        """Return the next message; raise ``queue.Empty`` if there is none."""


class Threads(Protocol):
    """Creates what runs, and waits, in threads."""

    def executor(self, max_threads: int, name: str) -> Executor:
        """Return an executor with up to ``max_threads`` threads."""

    def event(self) -> Event:
        """Return a flag that is not set."""

    def inbox(self) -> Inbox:
        """Return an empty queue."""


class SystemThreads:
    """Threads of the operating system."""

    def executor(self, max_threads: int, name: str) -> Executor:
        """Return a thread pool."""
        return ThreadPoolExecutor(max_threads, name)

    def event(self) -> Event:
        """Return an event of the standard library."""
        return threading.Event()

    def inbox(self) -> Inbox:
        """Return a queue of the standard library."""
        return queue.SimpleQueue()


SYSTEM_CLOCK = SystemClock()
SYSTEM_THREADS = SystemThreads()
