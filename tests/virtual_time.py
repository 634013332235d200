"""Virtual time: an event loop, and threads that wait in its time without sleeping.

Code that blocks runs unchanged in virtual threads. One of them at most runs at any
moment, until it waits for something; the loop decides which one goes on, in order of
virtual time. The threads of the operating system beneath them serve as coroutines
only: nothing depends on their scheduling.
"""

import heapq
import queue
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import ParamSpec, TypeVar

from gooseberrydeck_coordination.clock import ManualClock

P = ParamSpec("P")
T = TypeVar("T")

TURN_S = 0.001
"""Time that a thread needs to go on with its next message."""


class ThreadEndedError(BaseException):
    """Unwinds a virtual thread when its loop is closed."""


class Carrier:
    """A thread of the operating system that runs one function after another."""

    idle: list["Carrier"] = []  # noqa: RUF012

    def __init__(self) -> None:
        """Start a thread that waits for work."""
        self.wake = threading.Lock()
        self.wake.acquire()
        self.work: Callable[[], None] = lambda: None
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Do the work that was set before each wake-up."""
        while True:
            self.wake.acquire()
            self.work()

    @classmethod
    def take(cls) -> "Carrier":
        """Return an idle carrier, or a new one."""
        return cls.idle.pop() if cls.idle else cls()


class VirtualThread:
    """A thread that runs only while its loop waits for it."""

    def __init__(self, loop: "VirtualTime", function: Callable[[], None]) -> None:
        """Prepare a thread for its first ``resume``."""
        self.loop = loop
        self.function = function
        self.carrier = Carrier.take()
        self.carrier.work = self.run
        self.is_ending = False
        self.is_alive = True

    def run(self) -> None:
        """Run the function to its end."""
        try:
            if not self.is_ending:
                self.function()
        except ThreadEndedError:
            pass
        except BaseException as error:
            self.loop.crashes.append(error)
        self.is_alive = False
        Carrier.idle.append(self.carrier)
        self.loop.baton.release()

    def resume(self) -> None:
        """Let the thread run until it waits or ends; called by the loop."""
        self.loop.current = self
        self.carrier.wake.release()
        self.loop.is_interrupted = True
        self.loop.baton.acquire()
        self.loop.is_interrupted = False
        self.loop.current = None

    def wait(self) -> None:
        """Give control to the loop until ``resume``; called by the thread itself."""
        if not self.is_ending:
            self.loop.baton.release()
            self.carrier.wake.acquire()
        if self.is_ending:
            raise ThreadEndedError


class Waiter:
    """A thread that waits, until the first of several events."""

    def __init__(self, thread: VirtualThread) -> None:
        """Create a waiter for the current wait of a thread."""
        self.thread = thread
        self.is_done = False

    def wake(self) -> None:
        """Let the thread go on, unless it has already done so; called by the loop."""
        if not self.is_done:
            self.is_done = True
            self.thread.resume()


class VirtualTime:
    """An event loop with a manual clock, which also creates threads: a ``Threads``."""

    def __init__(self) -> None:
        """Start without events."""
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.threads: list[VirtualThread] = []
        self.current: VirtualThread | None = None
        self.baton = threading.Lock()
        self.baton.acquire()
        # Whether an exception, such as a test's time-out, ended the wait for a thread.
        self.is_interrupted = False
        # Exceptions that left a virtual thread, and those that left a call in an
        # executor, which may go to whoever waits for its result.
        self.crashes: list[BaseException] = []
        self.failures: list[Exception] = []

    @property
    def now_s(self) -> float:
        """Return the virtual time."""
        return self.clock.now_s

    def call_at(self, at_s: float, function: Callable[[], None]) -> None:
        """Call a function at a virtual time."""
        self.count += 1
        heapq.heappush(self.events, (max(at_s, self.now_s), self.count, function))

    def call_in(self, seconds: float, function: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.call_at(self.now_s + seconds, function)

    def run_for(self, seconds: float) -> None:
        """Handle the events of a span of time; raise what a thread has raised."""
        until_s = self.now_s + seconds
        while self.events and self.events[0][0] <= until_s:
            at_s, _, function = heapq.heappop(self.events)
            self.clock.now_s = at_s
            function()
            if self.crashes:
                raise self.crashes[0]
        self.clock.now_s = until_s

    def spawn(self, function: Callable[[], None]) -> None:
        """Run a function in a new virtual thread from now on."""
        if len(self.threads) > 1_000:
            self.threads = [each for each in self.threads if each.is_alive]
        thread = VirtualThread(self, function)
        self.threads.append(thread)
        self.call_in(0.0, thread.resume)

    def wait(self, waiters: list[Waiter], timeout_s: float | None) -> None:
        """Let the current thread wait for ``wake_all`` or a time-out."""
        thread = self.current
        assert thread is not None, "only virtual threads may wait"
        waiter = Waiter(thread)
        waiters.append(waiter)
        if timeout_s is not None:
            self.call_in(timeout_s, waiter.wake)
        thread.wait()
        if waiter in waiters:
            waiters.remove(waiter)

    def wake_all(self, waiters: list[Waiter]) -> None:
        """Let threads go on that wait."""
        for waiter in waiters:
            self.call_in(0.0, waiter.wake)
        waiters.clear()

    def sleep(self, seconds: float) -> None:
        """Let the current thread wait for a time."""
        self.wait([], seconds)

    def close(self) -> None:
        """End all virtual threads, unless the loop has lost track of them."""
        if self.is_interrupted:
            return
        for thread in self.threads:
            thread.is_ending = True
            if thread.is_alive:
                thread.resume()
        self.events.clear()

    # What components take from ``Threads``.

    def executor(self, max_threads: int, name: str) -> "VirtualExecutor":
        """Return an executor with virtual threads."""
        return VirtualExecutor(self, max_threads)

    def event(self) -> "VirtualEvent":
        """Return an event that virtual threads can wait for."""
        return VirtualEvent(self)

    def inbox(self) -> "VirtualInbox":
        """Return a queue that a virtual thread can wait for."""
        return VirtualInbox(self)


class VirtualEvent:
    """An event that virtual threads can wait for."""

    def __init__(self, loop: VirtualTime) -> None:
        """Create an event that is not set."""
        self.loop = loop
        self.flag = False
        self.waiters: list[Waiter] = []

    def set(self) -> None:
        """Set the flag."""
        self.flag = True
        self.loop.wake_all(self.waiters)

    def is_set(self) -> bool:
        """Return the flag."""
        return self.flag

    def wait(self, timeout: float | None = None) -> bool:
        """Wait for the flag."""
        if not self.flag:
            self.loop.wait(self.waiters, timeout)
        return self.flag


class VirtualInbox:
    """A queue that a virtual thread can wait for."""

    def __init__(self, loop: VirtualTime) -> None:
        """Create an empty queue."""
        self.loop = loop
        self.items: deque[object] = deque()
        self.waiters: list[Waiter] = []

    def put(self, item: object) -> None:
        """Append an item."""
        self.items.append(item)
        self.loop.wake_all(self.waiters)

    def get(self, *, timeout: float) -> object:
        """Return the next item, after the time that a round of the thread takes."""
        self.loop.sleep(TURN_S)
        if not self.items:
            self.loop.wait(self.waiters, timeout)
        return self.get_nowait()

    def get_nowait(self) -> object:
        """Return the next item."""
        if not self.items:
            raise queue.Empty
        return self.items.popleft()


class VirtualFuture(Future[T]):
    """A future whose result virtual threads can wait for."""

    def __init__(self, loop: VirtualTime) -> None:
        """Create a future that is pending."""
        super().__init__()
        self.loop = loop
        self.waiters: list[Waiter] = []
        self.add_done_callback(lambda _: loop.wake_all(self.waiters))

    def result(self, timeout: float | None = None) -> T:
        """Wait for the result."""
        if not self.done():
            self.loop.wait(self.waiters, timeout)
        return super().result(0.0)


class VirtualExecutor(Executor):
    """An executor whose calls queue for a limited number of virtual threads."""

    def __init__(self, loop: VirtualTime, max_threads: int) -> None:
        """Create an idle executor."""
        self.loop = loop
        self.max_threads = max_threads
        self.threads = 0
        self.queue: deque[tuple[VirtualFuture[object], Callable[[], object]]] = deque()
        self.is_shut_down = False
        self.waiters: list[Waiter] = []

    def submit(
        self, function: Callable[P, T], /, *args: P.args, **kwargs: P.kwargs
    ) -> Future[T]:
        """Queue a call."""
        if self.is_shut_down:
            raise RuntimeError("cannot schedule new futures after shutdown")
        future: VirtualFuture[object] = VirtualFuture(self.loop)
        self.queue.append((future, lambda: function(*args, **kwargs)))
        if self.threads < self.max_threads:
            self.threads += 1
            self.loop.spawn(self.work)
        return future  # type: ignore[return-value]

    def work(self) -> None:
        """Make the queued calls."""
        while self.queue:
            future, call = self.queue.popleft()
            if not future.set_running_or_notify_cancel():
                continue
            try:
                future.set_result(call())
            except Exception as error:
                future.set_exception(error)
                self.loop.failures.append(error)
        self.threads -= 1
        if not self.threads:
            self.loop.wake_all(self.waiters)

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Accept no more calls."""
        self.is_shut_down = True
        if cancel_futures:
            for future, _ in self.queue:
                future.cancel()
            self.queue.clear()
        if wait and self.threads:
            self.loop.wait(self.waiters, None)
