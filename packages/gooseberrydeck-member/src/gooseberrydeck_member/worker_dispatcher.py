"""Calls to workers, made in executors and reported back as messages."""

from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import StartRun, StopRun, ThrottleRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartOutcome,
    WorkerCallError,
    WorkerCalls,
    WorkerFencedError,
    WorkerNotReachedError,
    WorkerRefusedError,
    WorkerReplacedError,
)
from gooseberrydeck_member.threads import SYSTEM_CLOCK

__all__ = [
    "COMMAND_THREADS",
    "CallFailed",
    "CallFailure",
    "MAX_POLL_THREADS",
    "PollSucceeded",
    "StartCompleted",
    "WorkerDispatcher",
]

MAX_POLL_THREADS = 400
"""One long poll per worker, up to the largest fleet that one scheduler is meant for."""

COMMAND_THREADS = 32
"""Concurrent start and stop commands; the tasks of a step are sent together."""

POLL_TIMEOUT_S = 0.7
"""Timeout of a poll beyond the time that the worker may hold it; allows for several
round trips and a busy host."""

TIMER_SLACK_S = 0.05
"""A poll that fails this much before its timeout counts as timed out, too."""

COMMAND_TIMEOUT_S = 0.6
"""Timeout of one command; workers refuse a start that arrives after 1.5 s anyway."""


class PollSucceeded(msgspec.Struct, frozen=True):
    """The runs and run ends reported by a worker.

    ``sent_s`` is the monotonic time at which the poll was sent, with ``token``.
    """

    worker: WorkerId
    reply: PollReply
    sent_s: float
    token: Epoch


class StartCompleted(msgspec.Struct, frozen=True):
    """The result of a start command; ``outcome`` is None without a response.

    ``was_sent`` is false if the command certainly did not reach the worker.
    ``is_repeat`` says that an earlier attempt had no response, ``is_fenced`` that the
    worker responded and had seen a higher token. ``is_withdrawn`` says that the command
    or its second attempt was not sent, since the run was stopped or its end was listed,
    or since the worker had fallen silent.
    """

    worker: WorkerId
    task: TaskRef
    run: int
    outcome: StartOutcome | None
    was_sent: bool = True
    is_repeat: bool = False
    is_fenced: bool = False
    is_withdrawn: bool = False


class CallFailure(msgspec.Struct, frozen=True):
    """The reason of a failed call.

    ``is_replaced`` means that another process answers in the worker's place,
    ``is_refused`` that the connection was refused, and ``is_fenced`` that the worker
    has seen a higher token. With none of them, the worker did not respond, within the
    time of the call if ``has_timed_out``.
    """

    is_replaced: bool = False
    is_refused: bool = False
    is_fenced: bool = False
    has_timed_out: bool = False
    detail: str = ""


class CallFailed(msgspec.Struct, frozen=True):
    """A poll or command failed, or a start for a reason that concerns the worker."""

    worker: WorkerId
    is_poll: bool
    failure: CallFailure
    token: Epoch
    sent_s: float = 0.0
    """Monotonic time; set for polls only."""


Post = Callable[[object], None]


class WorkerDispatcher:
    """Call workers from executors, so that the scheduler thread never blocks."""

    def __init__(
        self,
        post: Post,
        may_send: Callable[[], bool],
        clock: Clock = SYSTEM_CLOCK,
        poll_executor: Executor | None = None,
        command_executor: Executor | None = None,
    ) -> None:
        """Create a dispatcher whose executors call ``post`` with the results.

        Runs are started and stopped, and leases extended, only while ``may_send()`` is
        true. Each call carries the fencing token with which it was submitted.
        """
        self.post = post
        self.may_send = may_send
        self.clock = clock
        self.calls: dict[WorkerId, WorkerCalls] = {}
        # Starts that may still be sent, or sent once more.
        self.unsent_starts: set[tuple[TaskRef, int]] = set()
        # Commands to these are dropped: each would keep a thread from the others.
        self.silent_workers: set[WorkerId] = set()
        self.poll_executor = poll_executor or ThreadPoolExecutor(
            MAX_POLL_THREADS, "hold"
        )
        self.command_executor = command_executor or ThreadPoolExecutor(
            COMMAND_THREADS, "order"
        )

    def connect(self, worker: WorkerId, calls: WorkerCalls) -> None:
        """Set the client of a worker, closing its previous one."""
        previous = self.calls.get(worker)
        self.calls[worker] = calls
        if previous is not None:
            previous.close()

    def poll(
        self,
        worker: WorkerId,
        token: Epoch,
        last_seen: int,
        until_ms: int | None,
        wait_s: float,
    ) -> None:
        """Poll a worker for its runs and run ends, and extend its task leases.

        The worker may hold the poll for ``wait_s`` until a run ends. ``last_seen`` is
        the last acknowledged end, and ``until_ms`` the lease on the worker's clock.
        """
        self.poll_executor.submit(
            self.execute_poll, worker, token, last_seen, until_ms, wait_s
        )

    def execute_poll(
        self,
        worker: WorkerId,
        token: Epoch,
        last_seen: int,
        until_ms: int | None,
        wait_s: float,
    ) -> None:
        """Send a poll and post its result."""
        calls = self.calls[worker]
        sent_s = self.clock.monotonic()
        # Without authority the lease is not extended, but ends are still collected.
        lease = until_ms if self.may_send() else None
        try:
            reply = calls.poll(token, last_seen, lease, wait_s, POLL_TIMEOUT_S)
        except WorkerCallError as error:
            timeout_s = wait_s + POLL_TIMEOUT_S
            has_timed_out = self.clock.monotonic() - sent_s >= timeout_s - TIMER_SLACK_S
            failure = to_call_failure(error, has_timed_out)
            self.post(CallFailed(worker, True, failure, token, sent_s))
        else:
            self.post(PollSucceeded(worker, reply, sent_s, token))

    def start(self, command: StartRun, token: Epoch) -> None:
        """Send a start command, unless its run is stopped before that."""
        self.unsent_starts.add((command.request.task, command.request.run))
        self.command_executor.submit(self.execute_start, command, token)

    def worker_silent(self, worker: WorkerId) -> None:
        """Send no more commands to a worker until it answers a poll."""
        self.silent_workers.add(worker)

    def worker_answered(self, worker: WorkerId) -> None:
        """Send commands to a worker again that has answered a poll."""
        self.silent_workers.discard(worker)

    def run_ended(self, task: TaskRef, run: int) -> None:
        """Record that a worker has listed the end of a run."""
        self.unsent_starts.discard((task, run))

    def execute_start(self, command: StartRun, token: Epoch) -> None:
        """Send a start command and post the result."""
        result = self.try_start(command, token)
        self.unsent_starts.discard((command.request.task, command.request.run))
        self.post(result)

    def try_start(self, command: StartRun, token: Epoch) -> StartCompleted:
        """Send a start command, and repeat it once without a response.

        No second attempt is made if the worker cannot have received the first one. None
        is made once the run has to stop or has ended, or the worker has fallen silent.
        """
        request = command.request
        key = request.task, request.run
        was_sent = is_fenced = is_withdrawn = False
        for _ in range(2):
            is_silent = command.worker in self.silent_workers
            is_withdrawn = is_silent or key not in self.unsent_starts
            if is_withdrawn or not self.may_send():
                break
            calls = self.calls[command.worker]
            try:
                outcome, _ = calls.start(request, token, COMMAND_TIMEOUT_S)
            except WorkerNotReachedError:
                break
            except (
                WorkerRefusedError,
                WorkerReplacedError,
                WorkerFencedError,
            ) as error:
                failure = to_call_failure(error)
                is_fenced = failure.is_fenced
                self.post(CallFailed(command.worker, False, failure, token))
                break
            except WorkerCallError:
                was_sent = True
                continue
            return StartCompleted(
                command.worker, request.task, request.run, outcome, is_repeat=was_sent
            )
        return StartCompleted(
            command.worker,
            request.task,
            request.run,
            None,
            was_sent,
            is_fenced=is_fenced,
            is_withdrawn=is_withdrawn,
        )

    def stop(self, command: StopRun, token: Epoch) -> None:
        """Send a stop command; the scheduler repeats it until the end is reported.

        A start of the run that still waits for a thread is withdrawn.
        """
        self.unsent_starts.discard((command.task, command.run))
        self.command_executor.submit(self.execute_stop, command, token)

    def execute_stop(self, command: StopRun, token: Epoch) -> None:
        """Send a stop command and post a message if it fails."""
        if not self.may_send() or command.worker in self.silent_workers:
            return
        calls = self.calls[command.worker]
        try:
            calls.stop(command.task, command.run, token, COMMAND_TIMEOUT_S)
        except WorkerCallError as error:
            failure = to_call_failure(error)
            self.post(CallFailed(command.worker, False, failure, token))

    def throttle(self, command: ThrottleRun, token: Epoch) -> None:
        """Set the speed at which a run may work, in percent."""
        self.command_executor.submit(self.execute_throttle, command, token)

    def execute_throttle(self, command: ThrottleRun, token: Epoch) -> None:
        """Send a throttle command and post a message if it fails."""
        if command.worker in self.silent_workers:
            return
        calls = self.calls[command.worker]
        try:
            calls.throttle(
                command.task,
                command.run,
                command.percent,
                token,
                COMMAND_TIMEOUT_S,
            )
        except WorkerCallError as error:
            failure = to_call_failure(error)
            self.post(CallFailed(command.worker, False, failure, token))

    def close(self) -> None:
        """Drop queued calls; calls in flight run to their end."""
        self.poll_executor.shutdown(wait=False, cancel_futures=True)
        self.command_executor.shutdown(wait=False, cancel_futures=True)


def to_call_failure(error: WorkerCallError, has_timed_out: bool = False) -> CallFailure:
    """Return the failure that an exception of a worker call stands for."""
    return CallFailure(
        is_replaced=isinstance(error, WorkerReplacedError),
        is_refused=isinstance(error, WorkerRefusedError),
        is_fenced=isinstance(error, WorkerFencedError),
        has_timed_out=has_timed_out,
        detail=f"{type(error).__name__}: {error}",
    )
