"""Commands to workers, sent from an executor's threads."""

from collections.abc import Callable

import structlog

from gooseberrydeck_fleet.commands import StartRun, StopRun, ThrottleRun
from gooseberrydeck_fleet.send_permission import Obstacle, SendObstacle
from gooseberrydeck_fleet.serving import START_VALID_S
from gooseberrydeck_fleet.worker_calls import (
    StartOutcome,
    WorkerCallError,
    WorkerCalls,
    WorkerFencedError,
    WorkerNotReachedError,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerReply,
)
from gooseberrydeck_member.call_results import (
    CallFailed,
    CommandCompleted,
    StartCompleted,
    to_call_failure,
)
from gooseberrydeck_member.command_lanes import Order

__all__ = ["CommandCaller", "Post", "not_sent"]

log = structlog.get_logger(__name__)

COMMAND_TIMEOUT_S = 0.6
"""Timeout of one command; workers refuse a start that arrives after 1.5 s anyway."""

CLOCK_MARGIN_S = 0.2
"""Allowance for the drift of a worker's clock since its last reply to a poll."""

GRANTING = (StartOutcome.STARTED, StartOutcome.SUPERSEDED, StartOutcome.NO_ROOM)
"""Outcomes of a start whose deadline extends the leases of all runs there."""

Post = Callable[[object], None]


class CommandCaller:
    """Send commands and post their results, one for each command."""

    def __init__(self, post: Post, may_send: Callable[[], bool]) -> None:
        """Send commands while ``may_send()`` is true."""
        self.post = post
        self.may_send = may_send

    def execute(self, order: Order, calls: WorkerCalls) -> None:
        """Send a command and post its result.

        Authority is checked once more, as the process may have been paused since.
        """
        command = order.command
        if not self.may_send():
            self.post(not_sent(order, SendObstacle.NO_AUTHORITY))
        elif isinstance(command, StartRun):
            self.post(self.start(command, order, calls))
        else:
            self.post(self.stop_or_throttle(command, order, calls))

    def start(
        self, command: StartRun, order: Order, calls: WorkerCalls
    ) -> StartCompleted:
        """Send a start command and return the result."""
        outcome = None
        born_ms = other_born_ms = 0
        was_sent, is_fenced = order.is_repeat, False
        try:
            outcome, reply = calls.start(
                command.request, order.token, COMMAND_TIMEOUT_S
            )
            was_sent = True
            if is_of_next_process(command, outcome, reply):
                born_ms, other_born_ms = command.born_ms, reply.born_ms
        except WorkerNotReachedError:
            pass
        except (WorkerRefusedError, WorkerReplacedError, WorkerFencedError) as error:
            failure = to_call_failure(error)
            is_fenced = failure.is_fenced
            self.post(CallFailed(command.worker, False, failure, order.token))
        except WorkerCallError:
            was_sent = True
        except Exception:
            was_sent = True
            self.report_fault(order)
        return StartCompleted(
            command.worker,
            *order.run,
            outcome,
            was_sent,
            order.is_repeat,
            is_fenced,
            number=order.number,
            born_ms=born_ms,
            other_born_ms=other_born_ms,
        )

    def stop_or_throttle(
        self, command: StopRun | ThrottleRun, order: Order, calls: WorkerCalls
    ) -> CommandCompleted:
        """Send a stop or throttle command and return the result."""
        task, run = order.run
        token = order.token
        has_response = True
        try:
            if isinstance(command, StopRun):
                calls.stop(task, run, token, COMMAND_TIMEOUT_S)
            else:
                calls.throttle(task, run, command.percent, token, COMMAND_TIMEOUT_S)
        except WorkerCallError as error:
            failure = to_call_failure(error)
            has_response = failure.is_fenced
            self.post(CallFailed(command.worker, False, failure, token))
        except Exception:
            has_response = False
            self.report_fault(order)
        return CommandCompleted(command, has_response, number=order.number)

    def report_fault(self, order: Order) -> None:
        """Log an unexpected exception; the command counts as unanswered."""
        log.exception("worker call crashed", worker=order.command.worker)


def is_of_next_process(
    command: StartRun, outcome: StartOutcome, reply: WorkerReply
) -> bool:
    """Return True if another process has responded than a start was meant for.

    If the response doesn't name its process, the clock tells: a deadline further ahead
    than starts are valid is one on the clock of an earlier process.
    """
    if not command.born_ms:
        return False
    if reply.born_ms:
        return reply.born_ms != command.born_ms
    left_ms = command.request.lease_until_ms - reply.clock_ms
    max_left_ms = (START_VALID_S + CLOCK_MARGIN_S) * 1000
    return outcome in GRANTING and left_ms > max_left_ms


def not_sent(order: Order, obstacle: Obstacle) -> StartCompleted | CommandCompleted:
    """Return the result of a command that is not sent."""
    command = order.command
    if not isinstance(command, StartRun):
        return CommandCompleted(command, None, obstacle, order.number)
    return StartCompleted(
        command.worker,
        *order.run,
        None,
        was_sent=order.is_repeat,
        is_repeat=order.is_repeat,
        obstacle=obstacle,
        number=order.number,
    )
