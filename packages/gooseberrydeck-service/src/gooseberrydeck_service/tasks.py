"""Long-running tasks that own their state and communicate by messages."""

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
    """A component that a supervisor runs in a thread until it is stopped."""

    name: str

    def run(self) -> None:
        """Run until stopped; an exception stops the whole process."""

    def stop(self) -> None:
        """Ask ``run`` to return soon; may be called repeatedly and from any thread."""


class Task(Generic[MessageT]):
    """An actor: its state changes only on messages from a bounded inbox."""

    def __init__(
        self,
        name: str,
        inbox_size: int = DEFAULT_INBOX_SIZE,
        tick_s: float = DEFAULT_TICK_S,
    ) -> None:
        """Create a task whose ``tick`` is called after ``tick_s`` without a message."""
        self.name = name
        self.tick_s = tick_s
        self.inbox: queue.Queue[MessageT] = queue.Queue(inbox_size)
        self.stopping = threading.Event()

    def post(self, message: MessageT) -> bool:
        """Queue a message; return False if the inbox is full."""
        try:
            self.inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def run(self) -> None:
        """Handle messages until stopped."""
        self.begin()
        try:
            while not self.stopping.is_set():
                self.run_once(self.tick_s)
        finally:
            self.end()

    def run_once(self, wait_s: float) -> None:
        """Handle one message, or call ``tick`` if none arrives within ``wait_s``."""
        try:
            message = self.inbox.get(timeout=wait_s)
        except queue.Empty:
            self.tick()
        else:
            self.handle(message)

    def stop(self) -> None:
        """Ask the task to end after the current message."""
        self.stopping.set()

    def begin(self) -> None:
        """Initialise the task; called in its thread before the first message."""

    def handle(self, message: MessageT) -> None:
        """Handle a message; subclasses must override this method."""
        raise NotImplementedError

    def tick(self) -> None:
        """Do periodic work, such as checking timeouts."""

    def end(self) -> None:
        """Release the task's resources; called in its thread when it ends."""


class Supervisor:
    """Run each task in a thread and record the first crash."""

    def __init__(self, max_tasks: int) -> None:
        """Create a supervisor for at most ``max_tasks`` tasks."""
        self.executor = ThreadPoolExecutor(max_tasks, thread_name_prefix="task")
        self.running: dict[str, tuple[Runnable, Future[None]]] = {}
        # SimpleQueue is reentrant: a signal handler may put into it while the thread
        # that it interrupts is getting from it.
        self.end_events: queue.SimpleQueue[None] = queue.SimpleQueue()
        self.crash: TaskCrashedError | None = None

    def start(self, task: Runnable) -> None:
        """Run a task in its own thread."""
        future = self.executor.submit(task.run)
        self.running[task.name] = (task, future)
        future.add_done_callback(lambda done: self.record_end(task, done))

    def record_end(self, task: Runnable, future: Future[None]) -> None:
        """Record the crash of a task; a task that returns normally was stopped."""
        cause = future.exception()
        if cause is None:
            return
        if self.crash is None:
            self.crash = TaskCrashedError(task.name)
            self.crash.__cause__ = cause
        log.error("task crashed", task=task.name, reason=repr(cause))
        self.end_events.put(None)

    def request_end(self) -> None:
        """Make ``wait`` return; safe to call from signal handlers and repeatedly."""
        self.end_events.put(None)

    def wait(self) -> None:
        """Block until a task crashes or ``request_end`` is called."""
        # Polls, because a signal may be delivered to another thread, which would not
        # wake this one from a blocking call.
        while self.end_events.empty():
            time.sleep(SIGNAL_POLL_S)

    def stop(self, names: Sequence[str] = (), timeout_s: float = 5.0) -> None:
        """Stop the named tasks, or all, in reverse order, and wait for each."""
        for name in reversed(list(names) or list(self.running)):
            task, future = self.running[name]
            task.stop()
            future.exception(timeout=timeout_s)

    def close(self) -> None:
        """Stop all tasks, and raise ``TaskCrashedError`` if one has crashed."""
        self.stop()
        self.executor.shutdown(wait=False)
        if self.crash is not None:
            raise self.crash
