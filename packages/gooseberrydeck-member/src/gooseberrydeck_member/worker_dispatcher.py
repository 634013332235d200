"""The calls to workers, made in executors; what came of them returns as messages."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import PaceRun, StartRun, StopRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.worker_calls import (
    HoldReply,
    StartOutcome,
    WorkerCallError,
    WorkerCalls,
    WorkerFencedError,
    WorkerGoneError,
    WorkerNotReachedError,
    WorkerReplacedError,
)

__all__ = [
    "CallFailed",
    "CallFailure",
    "PollSucceeded",
    "StartCompleted",
    "WorkerDispatcher",
]

MAX_POLL_THREADS = 400
"""One waiting call a worker, up to the size for which one scheduler is meant."""

COMMAND_THREADS = 32
"""Starts and stops at once; a step's tasks go out together."""

POLL_TIMEOUT_S = 0.7
"""Beyond the time that the worker may wait; several round trips and a busy host."""

COMMAND_TIMEOUT_S = 0.6
"""For a start or a stop; a start that arrives later than 1.5 s is refused anyway."""


class PollSucceeded(msgspec.Struct, frozen=True):
    """A worker's lists."""

    worker: WorkerId
    reply: HoldReply


class StartCompleted(msgspec.Struct, frozen=True):
    """A worker's answer to a start; None if there was none.

    ``was_sent`` is false if the worker certainly saw nothing of it; ``is_repeat`` tells
    that an earlier try had no answer.
    """

    worker: WorkerId
    task: TaskRef
    run: int
    outcome: StartOutcome | None
    was_sent: bool = True
    is_repeat: bool = False


class CallFailure(msgspec.Struct, frozen=True):
    """Why a call failed: gone, replaced and fenced are certain, else silent."""

    is_gone: bool = False
    is_fenced: bool = False
    detail: str = ""


class CallFailed(msgspec.Struct, frozen=True):
    """A call other than a start had no usable answer."""

    worker: WorkerId
    is_poll: bool
    failure: CallFailure
    sent_s: float = 0.0
    """Monotonic; set for a hold."""


Post = Callable[[object], None]


class WorkerDispatcher:
    """Make calls to workers without blocking the caller."""

    def __init__(self, token: Epoch, post: Post, may_send: Callable[[], bool]) -> None:
        """Post messages through ``post``; nothing is sent while not ``may_send()``."""
        self.token = token
        self.post = post
        self.may_send = may_send
        self.calls: dict[WorkerId, WorkerCalls] = {}
        self.poll_executor = ThreadPoolExecutor(MAX_POLL_THREADS, "hold")
        self.command_executor = ThreadPoolExecutor(COMMAND_THREADS, "order")

    def connect(self, worker: WorkerId, calls: WorkerCalls) -> None:
        """Use the given calls for a worker from now on."""
        former = self.calls.get(worker)
        self.calls[worker] = calls
        if former is not None:
            former.close()

    def poll(
        self, worker: WorkerId, last_seen: int, until_ms: int | None, wait_s: float
    ) -> None:
        """Ask a worker for its lists."""
        self.poll_executor.submit(
            self.execute_poll, worker, last_seen, until_ms, wait_s
        )

    def execute_poll(
        self, worker: WorkerId, last_seen: int, until_ms: int | None, wait_s: float
    ) -> None:
        """Make the call, in an executor."""
        calls = self.calls[worker]
        sent_s = time.monotonic()
        # Without authority leases are not extended, but ends are still looked for.
        lease = until_ms if self.may_send() else None
        try:
            reply = calls.hold(self.token, last_seen, lease, wait_s, POLL_TIMEOUT_S)
        except WorkerCallError as error:
            self.post(CallFailed(worker, True, to_call_failure(error), sent_s))
        else:
            self.post(PollSucceeded(worker, reply))

    def start(self, command: StartRun) -> None:
        """Send a start."""
        self.command_executor.submit(self.execute_start, command)

    def execute_start(self, command: StartRun) -> None:
        """Send a start, and once more if there was no answer, in an executor."""
        request = command.request
        was_sent = False
        for _ in range(2):
            if not self.may_send():
                break
            calls = self.calls[command.worker]
            try:
                outcome, _ = calls.start(request, self.token, COMMAND_TIMEOUT_S)
            except WorkerNotReachedError:
                break
            except (WorkerGoneError, WorkerReplacedError, WorkerFencedError) as error:
                failed = CallFailed(command.worker, False, to_call_failure(error))
                self.post(failed)
                break
            except WorkerCallError:
                was_sent = True
                continue
            self.post(
                StartCompleted(
                    command.worker,
                    request.task,
                    request.run,
                    outcome,
                    is_repeat=was_sent,
                )
            )
            return
        self.post(
            StartCompleted(command.worker, request.task, request.run, None, was_sent)
        )

    def stop(self, command: StopRun) -> None:
        """Send a stop; the scheduler repeats it until its end is listed."""
        self.command_executor.submit(self.execute_stop, command)

    def execute_stop(self, command: StopRun) -> None:
        """Make the call, in an executor."""
        if not self.may_send():
            return
        calls = self.calls[command.worker]
        try:
            calls.stop(command.task, command.run, self.token, COMMAND_TIMEOUT_S)
        except WorkerCallError as error:
            self.post(CallFailed(command.worker, False, to_call_failure(error)))

    def pace(self, command: PaceRun) -> None:
        """Set the pace of a run."""
        self.command_executor.submit(self.execute_pace, command)

    def execute_pace(self, command: PaceRun) -> None:
        """Make the call, in an executor."""
        calls = self.calls[command.worker]
        try:
            calls.pace(
                command.task,
                command.run,
                command.percent,
                self.token,
                COMMAND_TIMEOUT_S,
            )
        except WorkerCallError as error:
            self.post(CallFailed(command.worker, False, to_call_failure(error)))

    def close(self) -> None:
        """Send nothing more; calls that wait for an answer end by themselves."""
        self.poll_executor.shutdown(wait=False, cancel_futures=True)
        self.command_executor.shutdown(wait=False, cancel_futures=True)


def to_call_failure(error: WorkerCallError) -> CallFailure:
    """Translate an error of a call."""
    return CallFailure(
        is_gone=isinstance(error, WorkerGoneError | WorkerReplacedError),
        is_fenced=isinstance(error, WorkerFencedError),
        detail=f"{type(error).__name__}: {error}",
    )
