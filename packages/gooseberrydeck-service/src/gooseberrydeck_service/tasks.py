"""Long-lived tasks that own their state and talk by messages."""

import queue
import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Generic, Protocol, TypeVar

import structlog

from gooseberrydeck_service.exceptions import TaskCrashedError

__all__ = ["Runnable", "Supervisor", "Task"]

MessageT = TypeVar("MessageT")

DEFAULT_INBOX_SIZE = 1024
DEFAULT_TICK_S = 0.1
SIGNAL_POLL_S = 0.1

log = structlog.get_logger(__name__)


class Runnable(Protocol):
    """Something that a supervisor runs in a thread until it is told to stop."""

    name: str

    def run(self) -> None:
        """Run until stopped; an exception ends the process."""

    def stop(self) -> None:
        """Ask ``run`` to return soon; may be called from any thread, and twice."""


class Task(Generic[MessageT]):
    """Own some state, and change it only on messages from a bounded inbox."""

    def __init__(
        self,
        name: str,
        inbox_size: int = DEFAULT_INBOX_SIZE,
        tick_s: float = DEFAULT_TICK_S,
    ) -> None:
        """Name the task; ``tick`` is called after ``tick_s`` without a message."""
        self.name = name
        self.tick_s = tick_s
        self.inbox: queue.Queue[MessageT] = queue.Queue(inbox_size)
        self.stopping = threading.Event()

    def post(self, message: MessageT) -> bool:
        """Put a message into the inbox; return False if the inbox is full."""
        try:
            self.inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def run(self) -> None:
        """Handle messages until the task is stopped."""
        self.begin()
        try:
            while not self.stopping.is_set():
                self.run_once(self.tick_s)
        finally:
            self.end()

    def run_once(self, wait_s: float) -> None:
        """Handle one message, or tick if none comes within ``wait_s``."""
        try:
            message = self.inbox.get(timeout=wait_s)
        except queue.Empty:
            self.tick()
        else:
            self.handle(message)

    def stop(self) -> None:
        """Ask the task to end after the message at hand."""
        self.stopping.set()

    def begin(self) -> None:
        """Prepare, in the task's own thread."""

    def handle(self, message: MessageT) -> None:
        """Act on one message."""
        raise NotImplementedError

    def tick(self) -> None:
        """Do what is due by time."""

    def end(self) -> None:
        """Release what the task owns, in the task's own thread."""


class Supervisor:
    """Run tasks in an executor and notice the first that crashes."""

    def __init__(self, max_tasks: int) -> None:
        """Make room for ``max_tasks`` tasks."""
        self.executor = ThreadPoolExecutor(max_tasks, thread_name_prefix="task")
        self.running: dict[str, tuple[Runnable, Future[None]]] = {}
        # A signal handler may put into this queue while its own thread gets from it.
        self.ended: queue.SimpleQueue[None] = queue.SimpleQueue()
        self.crash: TaskCrashedError | None = None

    def start(self, task: Runnable) -> None:
        """Run a task in a thread of its own."""
        future = self.executor.submit(task.run)
        self.running[task.name] = (task, future)
        future.add_done_callback(lambda done: self.note_end(task, done))

    def note_end(self, task: Runnable, future: Future[None]) -> None:
        """Record a crash; a task that returns was stopped."""
        cause = future.exception()
        if cause is None:
            return
        if self.crash is None:
            self.crash = TaskCrashedError(task.name)
            self.crash.__cause__ = cause
        log.error("task crashed", task=task.name, reason=repr(cause))
        self.ended.put(None)

    def request_end(self) -> None:
        """Let ``wait`` return; safe in a signal handler and when repeated."""
        self.ended.put(None)

    def wait(self) -> None:
        """Block until a task crashes or the end is requested."""
        # A signal may reach another thread, which does not wake this one: look often.
        while self.ended.empty():
            time.sleep(SIGNAL_POLL_S)

    def stop(self, names: Sequence[str] = (), timeout_s: float = 5.0) -> None:
        """Stop the named tasks, or all, the last started first, and wait for them."""
        for name in reversed(list(names) or list(self.running)):
            task, future = self.running[name]
            task.stop()
            future.exception(timeout=timeout_s)

    def close(self) -> None:
        """Stop everything, and raise the crash if there was one."""
        self.stop()
        self.executor.shutdown(wait=False)
        if self.crash is not None:
            raise self.crash
