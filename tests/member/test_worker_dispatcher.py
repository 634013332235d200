"""Tests of commands that wait for a thread before they are sent."""

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import RunCommand, StartRun, StopRun, ThrottleRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.send_permission import Obstacle, SendObstacle
from gooseberrydeck_fleet.state import StopReason
from gooseberrydeck_fleet.worker_calls import PollReply, StartOutcome, StartRequest
from gooseberrydeck_member.command_lanes import UNANSWERED_LIMIT_S, Order
from gooseberrydeck_member.worker_dispatcher import (
    CallFailed,
    CommandCompleted,
    StartCompleted,
    WorkerDispatcher,
    worker_of,
)
from worker_call_support import BusyExecutor, RecordingCalls

WORKER = WorkerId("w0")
TOKEN = Epoch(1_000)
TASK = TaskRef(JobId("a"), 0, 0, 0)
OTHER = TaskRef(JobId("a"), 0, 0, 1)
START = StartRun(WORKER, StartRequest(TASK, 7, "", 1_500))
START_OF_OTHER = StartRun(WORKER, StartRequest(OTHER, 8, "", 1_500))
STOP_OF_THIRD = StopRun(WORKER, TaskRef(JobId("a"), 0, 0, 2), 9, StopReason.SURPLUS)
THROTTLE = ThrottleRun(WORKER, TASK, 7, 50)


class RecordingGate:
    """A gate that forbids nothing until the test says so."""

    def __init__(self) -> None:
        """Start open."""
        self.obstacle: Obstacle | None = None
        self.waited: list[tuple[RunCommand, float]] = []
        self.reasons: list[Obstacle] = []

    def find_obstacle(
        self, command: RunCommand, is_repeat: bool, now_s: float
    ) -> Obstacle | None:
        """Return what the test has set."""
        return self.obstacle

    def sending(
        self, command: RunCommand, is_repeat: bool, waited_s: float, now_s: float
    ) -> None:
        """Record a command that is handed to a thread."""
        self.waited.append((command, waited_s))

    def withdrawn(
        self, command: RunCommand, is_repeat: bool, obstacle: Obstacle, waited_s: float
    ) -> None:
        """Record why a command is not sent."""
        self.reasons.append(obstacle)


class DispatcherFixture:
    def setup_method(self) -> None:
        self.posted: list[object] = []
        self.has_authority = True
        self.clock = ManualClock()
        self.gate = RecordingGate()
        self.executor = BusyExecutor()
        self.dispatcher = WorkerDispatcher(
            self.posted.append,
            lambda: self.has_authority,
            self.gate,
            self.clock,
            BusyExecutor(),
            self.executor,
        )
        self.calls = RecordingCalls()
        self.dispatcher.connect(WORKER, self.calls)

    def deliver(self) -> list[StartCompleted | CommandCompleted]:
        """Apply the posted results of commands; return those that are final."""
        final = []
        while self.posted:
            message = self.posted.pop(0)
            if isinstance(message, StartCompleted | CommandCompleted):
                if not self.dispatcher.complete(message):
                    final.append(msgspec.structs.replace(message, number=0))
                self.dispatcher.send_due(worker_of(message))
        return final

    def run(self) -> list[StartCompleted | CommandCompleted]:
        """Execute commands until none is left; return their final results."""
        final = self.deliver()
        while self.executor.calls:
            self.executor.run()
            final += self.deliver()
        return final

    def starts(self) -> list[StartCompleted]:
        """Execute commands until none is left; return the final results of starts."""
        return [each for each in self.run() if isinstance(each, StartCompleted)]

    def keep_busy(self) -> None:
        """Send a command that the worker doesn't answer for now."""
        self.dispatcher.stop(StopRun(WORKER, OTHER, 1, StopReason.SURPLUS), TOKEN)
        self.clock.advance(UNANSWERED_LIMIT_S)

    def stop(self, run: int = 7) -> None:
        """Have a run stopped, for example because another run of its task is done."""
        command = StopRun(WORKER, TASK, run, StopReason.SURPLUS)
        self.dispatcher.stop(command, TOKEN)


class TestWithdrawnStarts(DispatcherFixture):
    # A copy of a task was started over a second after the end of the first run had
    # been acknowledged: its start had waited for a thread, or was sent a second time.
    def test_start_that_waits_is_not_sent_after_its_stop(self) -> None:
        self.keep_busy()
        self.dispatcher.start(START, TOKEN)
        self.stop()
        expected = StartCompleted(
            WORKER, TASK, 7, None, False, obstacle=SendObstacle.RUN_STOPPED
        )
        assert self.starts() == [expected]
        assert self.calls.sent == ["stop", "stop"]

    def test_start_is_not_sent_a_second_time_after_its_stop(self) -> None:
        self.calls.before_response = self.stop
        self.dispatcher.start(START, TOKEN)
        expected = StartCompleted(
            WORKER, TASK, 7, None, True, True, obstacle=SendObstacle.RUN_STOPPED
        )
        assert self.starts() == [expected]
        assert self.calls.sent == ["start", "stop"]

    @pytest.mark.parametrize("run", [6, 8])
    def test_stop_of_another_run_withdraws_nothing(self, run: int) -> None:
        self.keep_busy()
        self.dispatcher.start(START, TOKEN)
        self.stop(run)
        self.run()
        assert self.calls.sent == ["stop", "start", "stop"]

    def test_nothing_is_kept_of_commands_that_were_sent(self) -> None:
        self.keep_busy()
        self.dispatcher.start(START, TOKEN)
        self.stop()
        self.run()
        self.stop()
        self.run()
        assert not self.dispatcher.lanes.lanes
        assert self.dispatcher.lanes.in_flight == 0

    # Guards against a second start of a run that has ended: a process that was started
    # under the worker's id meanwhile doesn't know the run, and would execute it.
    def test_start_of_a_run_that_has_ended_is_not_repeated(self) -> None:
        self.calls.before_response = lambda: self.dispatcher.run_ended(WORKER, TASK, 7)
        self.dispatcher.start(START, TOKEN)
        expected = StartCompleted(
            WORKER, TASK, 7, None, True, True, obstacle=SendObstacle.RUN_ENDED
        )
        assert self.starts() == [expected]
        assert self.calls.sent == ["start"]

    @pytest.mark.parametrize("ended", [(OTHER, 7), (TASK, 6)])
    def test_end_of_another_run_withdraws_nothing(
        self, ended: tuple[TaskRef, int]
    ) -> None:
        self.calls.before_response = lambda: self.dispatcher.run_ended(WORKER, *ended)
        self.dispatcher.start(START, TOKEN)
        self.run()
        assert self.calls.sent == ["start", "start"]


class TestSecondAttempts(DispatcherFixture):
    # The second attempt was made without a look at what had changed since the first.
    def test_second_attempt_is_checked_like_the_first(self) -> None:
        self.calls.before_response = self.forbid
        self.dispatcher.start(START, TOKEN)
        expected = StartCompleted(
            WORKER, TASK, 7, None, True, True, obstacle=SendObstacle.LIMIT_EXCEEDED
        )
        assert self.starts() == [expected]
        assert self.calls.sent == ["start"]

    def forbid(self) -> None:
        """Lower the team's limit."""
        self.gate.obstacle = SendObstacle.LIMIT_EXCEEDED

    # The refusal of a second attempt doesn't mean that nothing ran.
    def test_response_to_a_second_attempt_says_so(self) -> None:
        self.calls.before_response = lambda: None
        self.dispatcher.start(START, TOKEN)
        self.executor.run()
        self.calls.before_response = None
        expected = StartCompleted(WORKER, TASK, 7, StartOutcome.STARTED, is_repeat=True)
        assert self.starts() == [expected]

    def test_two_attempts_without_a_response_are_the_last(self) -> None:
        self.calls.before_response = lambda: None
        self.dispatcher.start(START, TOKEN)
        expected = StartCompleted(WORKER, TASK, 7, None, True, is_repeat=True)
        assert self.starts() == [expected]
        assert self.calls.sent == ["start", "start"]

    def test_second_attempts_come_before_other_commands_in_their_order(self) -> None:
        self.calls.before_response = lambda: None
        self.dispatcher.start(START, TOKEN)
        self.dispatcher.start(START_OF_OTHER, TOKEN)
        self.executor.run()
        self.clock.advance(UNANSWERED_LIMIT_S)
        self.dispatcher.lanes.add(Order(STOP_OF_THIRD, TOKEN, self.clock.now_s))
        self.calls.before_response = None
        self.run()
        tasks = [command for command, _ in self.gate.waited]
        assert tasks[2:] == [START, START_OF_OTHER, STOP_OF_THIRD]


class TestAuthority(DispatcherFixture):
    # Throttles were sent without authority.
    @pytest.mark.parametrize("command", [START, THROTTLE, STOP_OF_THIRD])
    @pytest.mark.parametrize("is_in_thread", [False, True])
    def test_nothing_is_sent_without_authority(
        self, command: RunCommand, is_in_thread: bool
    ) -> None:
        self.has_authority = is_in_thread
        match command:
            case StartRun():
                self.dispatcher.start(command, TOKEN)
            case StopRun():
                self.dispatcher.stop(command, TOKEN)
            case ThrottleRun():
                self.dispatcher.throttle(command, TOKEN)
        assert len(self.executor.calls) == is_in_thread
        self.has_authority = False
        (result,) = self.run()
        assert result.obstacle is SendObstacle.NO_AUTHORITY
        assert self.gate.reasons == [SendObstacle.NO_AUTHORITY]
        assert self.calls.sent == []


class TestSilentWorkers(DispatcherFixture):
    # Guards against commands to healthy workers that wait for seconds behind those to
    # workers that don't answer: starts were refused as too late.
    def test_waiting_commands_to_a_silent_worker_are_not_sent(self) -> None:
        self.keep_busy()
        self.dispatcher.start(START, TOKEN)
        self.dispatcher.worker_silent(WORKER)
        expected = StartCompleted(
            WORKER, TASK, 7, None, False, obstacle=SendObstacle.WORKER_SILENT
        )
        assert self.starts() == [expected]
        self.stop()
        self.run()
        assert self.calls.sent == ["stop"]
        assert self.gate.reasons == 2 * [SendObstacle.WORKER_SILENT]

    def test_start_is_not_repeated_at_a_silent_worker(self) -> None:
        self.calls.before_response = lambda: self.dispatcher.worker_silent(WORKER)
        self.dispatcher.start(START, TOKEN)
        (result,) = self.starts()
        assert self.calls.sent == ["start"]
        assert result.was_sent

    def test_commands_are_sent_again_once_the_worker_has_answered(self) -> None:
        self.dispatcher.worker_silent(WORKER)
        self.dispatcher.worker_answered(WORKER)
        self.dispatcher.start(START, TOKEN)
        self.stop(6)
        self.run()
        assert self.calls.sent == ["start", "stop"]

    @pytest.mark.parametrize("has_response", [False, True])
    def test_forgotten_worker_leaves_nothing_behind(self, has_response: bool) -> None:
        if not has_response:
            self.calls.before_response = lambda: None
        self.dispatcher.start(START_OF_OTHER, TOKEN)
        self.clock.advance(UNANSWERED_LIMIT_S)
        self.dispatcher.start(START, TOKEN)
        self.dispatcher.worker_forgotten(WORKER)
        (start,) = self.deliver()
        assert start.obstacle is SendObstacle.WORKER_FORGOTTEN
        self.run()
        self.dispatcher.worker_silent(WORKER)
        lanes = self.dispatcher.lanes
        assert not lanes.lanes
        assert not lanes.unresponsive
        assert lanes.in_flight == 0
        assert not self.dispatcher.calls
        assert not self.dispatcher.silent_workers

    def test_crashed_call_frees_the_lane(self) -> None:
        def crash() -> None:
            raise ZeroDivisionError

        self.calls.before_response = crash
        self.dispatcher.start(START, TOKEN)
        (result,) = self.starts()
        assert result.outcome is None
        assert result.was_sent
        assert not self.dispatcher.lanes.lanes


class TestPolls(DispatcherFixture):
    # Guards against a worker that is not polled any more, and loses all its runs,
    # since an unexpected error in one poll left no result.
    def test_crashed_poll_counts_as_failed(self) -> None:
        def crash(*_arguments: object) -> PollReply:
            raise ZeroDivisionError

        self.calls.poll = crash  # type: ignore[method-assign]
        self.dispatcher.execute_poll(WORKER, TOKEN, 0, None, 0.0)
        (failed,) = self.posted
        assert isinstance(failed, CallFailed)
        assert failed.is_poll
        assert failed.worker == WORKER
