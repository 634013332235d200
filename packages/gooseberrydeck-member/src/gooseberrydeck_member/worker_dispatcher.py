"""Calls to workers, made in executors and reported back as messages."""

from collections.abc import Callable, Iterable
from concurrent.futures import Executor, ThreadPoolExecutor
from typing import Protocol

import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import (
    RunCommand,
    StartRun,
    StopRun,
    ThrottleRun,
)
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.send_permission import Obstacle, SendObstacle
from gooseberrydeck_fleet.worker_calls import WorkerCallError, WorkerCalls
from gooseberrydeck_member.call_results import (
    CallFailed,
    CallFailure,
    CommandCompleted,
    PollSucceeded,
    StartCompleted,
    to_call_failure,
)
from gooseberrydeck_member.command_calls import CommandCaller, Post, not_sent
from gooseberrydeck_member.command_lanes import CommandLanes, Order
from gooseberrydeck_member.threads import SYSTEM_CLOCK

__all__ = [
    "COMMAND_THREADS",
    "MAX_COMMANDS",
    "MAX_POLL_THREADS",
    "CallFailed",
    "CallFailure",
    "CommandCompleted",
    "CommandGate",
    "PollSucceeded",
    "StartCompleted",
    "WorkerDispatcher",
]

log = structlog.get_logger(__name__)

MAX_POLL_THREADS = 400
"""One long poll per worker, up to the largest fleet that one scheduler is meant for."""

COMMAND_THREADS = 32
"""Concurrent commands to workers beyond one for each worker; the tasks of a step are
sent together."""

MAX_COMMANDS = MAX_POLL_THREADS + 2 * COMMAND_THREADS
"""Commands that may be in flight at once; a thread is created only if it is needed."""

POLL_TIMEOUT_S = 0.7
"""Timeout of a poll beyond the time that the worker may hold it; allows for several
round trips and a busy host."""

TIMER_SLACK_S = 0.05
"""A poll that fails this much before its timeout counts as timed out, too."""


class CommandGate(Protocol):
    """What decides at the moment of sending whether a command is still to be sent."""

    def find_obstacle(
        self, command: RunCommand, is_repeat: bool, now_s: float
    ) -> Obstacle | None:
        """Return what forbids to send a command now, or None.

        ``is_repeat`` is as in ``StartCompleted``.
        """

    def sending(
        self, command: RunCommand, is_repeat: bool, waited_s: float, now_s: float
    ) -> None:
        """Take note of a command that is handed to a thread."""

    def withdrawn(
        self, command: RunCommand, is_repeat: bool, obstacle: Obstacle, waited_s: float
    ) -> None:
        """Take note of a command that is not sent."""


class WorkerDispatcher:
    """Call workers from executors, so that the scheduler thread never blocks.

    Commands wait in lanes that the scheduler thread owns, and are checked again when
    they leave these. All methods but ``execute_poll`` are for the scheduler thread.
    """

    def __init__(
        self,
        post: Post,
        may_send: Callable[[], bool],
        gate: CommandGate,
        clock: Clock = SYSTEM_CLOCK,
        poll_executor: Executor | None = None,
        command_executor: Executor | None = None,
    ) -> None:
        """Create the executors; ``post`` receives the results.

        Commands are sent, and leases extended, only while ``may_send()`` is true. Each
        call carries the fencing token with which it was submitted.
        """
        self.post = post
        self.may_send = may_send
        self.gate = gate
        self.clock = clock
        self.caller = CommandCaller(post, may_send)
        self.calls: dict[WorkerId, WorkerCalls] = {}
        self.lanes = CommandLanes(COMMAND_THREADS, MAX_POLL_THREADS)
        # Commands to these are dropped until they answer a poll.
        self.silent_workers: set[WorkerId] = set()
        self.poll_executor: Executor = poll_executor or ThreadPoolExecutor(
            MAX_POLL_THREADS, "hold"
        )
        self.command_executor: Executor = command_executor or ThreadPoolExecutor(
            MAX_COMMANDS, "order"
        )

    def connect(self, worker: WorkerId, calls: WorkerCalls) -> None:
        """Set the client of a worker, closing its previous one."""
        previous = self.calls.get(worker)
        self.calls[worker] = calls
        if previous is not None:
            previous.close()

    # Polls.

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
        except Exception as error:
            log.exception("worker call crashed", worker=worker)
            self.post(CallFailed(worker, True, to_call_failure(error), token, sent_s))
        else:
            self.post(PollSucceeded(worker, reply, sent_s, token))

    # What the scheduler thread learns of workers and runs.

    def worker_silent(self, worker: WorkerId) -> None:
        """Send no more commands to a worker until it answers a poll."""
        if worker not in self.calls:
            return
        self.silent_workers.add(worker)
        self.withdraw(self.lanes.take_waiting(worker), SendObstacle.WORKER_SILENT)

    def worker_answered(self, worker: WorkerId) -> None:
        """Send commands to a worker again that has answered a poll."""
        self.silent_workers.discard(worker)
        self.lanes.answered(worker, self.clock.monotonic())

    def worker_forgotten(self, worker: WorkerId) -> None:
        """Drop what is known of a worker that is not polled any more."""
        self.silent_workers.discard(worker)
        self.lanes.forget(worker)
        self.withdraw(self.lanes.take_waiting(worker), SendObstacle.WORKER_FORGOTTEN)
        calls = self.calls.pop(worker, None)
        if calls is not None:
            calls.close()

    def run_ended(self, worker: WorkerId, task: TaskRef, run: int) -> None:
        """Record that a worker has listed the end of a run: its start isn't sent."""
        obstacle = SendObstacle.RUN_ENDED
        orders = self.lanes.withdraw_start(worker, task, run, obstacle)
        self.withdraw(orders, obstacle)

    # Commands.

    def start(self, command: StartRun, token: Epoch) -> None:
        """Send a start command once its worker has a thread, if it is still to be."""
        self.add(command, token)

    def stop(self, command: StopRun, token: Epoch) -> None:
        """Send a stop command; the scheduler repeats it until the end is reported.

        A start of the run that waits, also for its second attempt, is withdrawn.
        """
        obstacle = SendObstacle.RUN_STOPPED
        orders = self.lanes.withdraw_start(
            command.worker, command.task, command.run, obstacle
        )
        self.withdraw(orders, obstacle)
        self.add(command, token)

    def throttle(self, command: ThrottleRun, token: Epoch) -> None:
        """Set the speed at which a run may work, in percent."""
        self.add(command, token)

    def add(self, command: RunCommand, token: Epoch) -> None:
        """Add a command to its worker's lane, and send what is due there."""
        replaced = self.lanes.add(Order(command, token, self.clock.monotonic()))
        if replaced is not None:
            self.withdraw([replaced], SendObstacle.SUPERSEDED)
        self.send_due(command.worker)

    def send_all_due(self) -> None:
        """Send the commands that have waited and that threads are free for now."""
        self.lanes.review(self.clock.monotonic())
        for worker in self.lanes.waiting_workers():
            self.send_due(worker)

    def send_due(self, worker: WorkerId) -> None:
        """Send the commands to a worker that threads are free for now."""
        now_s = self.clock.monotonic()
        while (order := self.lanes.take_next(worker, now_s)) is not None:
            obstacle = self.find_obstacle(order, now_s)
            if obstacle is not None:
                self.withdraw([order], obstacle)
                continue
            command = order.command
            self.lanes.sent(order, now_s)
            self.gate.sending(command, order.is_repeat, now_s - order.decided_s, now_s)
            self.command_executor.submit(self.caller.execute, order, self.calls[worker])

    def find_obstacle(self, order: Order, now_s: float) -> Obstacle | None:
        """Return what forbids to send a command now, or None."""
        worker = order.command.worker
        if worker not in self.calls:
            return SendObstacle.WORKER_FORGOTTEN
        if worker in self.silent_workers:
            return SendObstacle.WORKER_SILENT
        if not self.may_send():
            return SendObstacle.NO_AUTHORITY
        return self.gate.find_obstacle(order.command, order.is_repeat, now_s)

    def withdraw(self, orders: Iterable[Order], obstacle: Obstacle) -> None:
        """Report commands that are not sent."""
        for order in orders:
            self.report_withdrawn(order, obstacle)
            self.post(not_sent(order, obstacle))

    def report_withdrawn(self, order: Order, obstacle: Obstacle) -> None:
        """Have a command logged and counted that is not sent."""
        waited_s = self.clock.monotonic() - order.decided_s
        self.gate.withdrawn(order.command, order.is_repeat, obstacle, waited_s)

    def complete(self, message: StartCompleted | CommandCompleted) -> bool:
        """Free the thread of a command; return True if it is to be sent once more.

        The second attempt of a start without a response waits like other commands, and
        the result of the first one is not the last word. The caller calls ``send_due``
        when it has applied the result.
        """
        worker = worker_of(message)
        order = self.lanes.completed(
            worker, message.number, message.has_response, self.clock.monotonic()
        )
        if order is None:
            return False
        if message.obstacle is not None:
            self.report_withdrawn(order, message.obstacle)
            return False
        if not (isinstance(message, StartCompleted) and message.may_be_repeated):
            return False
        repeat = Order(order.command, order.token, self.clock.monotonic(), True)
        if order.repeat_obstacle is None:
            self.lanes.add_repeat(repeat)
        else:
            self.withdraw([repeat], order.repeat_obstacle)
        return True

    def close(self) -> None:
        """Drop waiting calls; calls in flight run to their end."""
        self.poll_executor.shutdown(wait=False, cancel_futures=True)
        self.command_executor.shutdown(wait=False, cancel_futures=True)


def worker_of(message: StartCompleted | CommandCompleted) -> WorkerId:
    """Return the worker that a command was for."""
    if isinstance(message, StartCompleted):
        return message.worker
    return message.command.worker
