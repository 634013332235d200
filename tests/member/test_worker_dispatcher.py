"""Tests of commands that wait for a thread before they are sent."""

from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import ParamSpec, TypeVar

import pytest

from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import StartRun, StopRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.state import StopReason
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartOutcome,
    StartRequest,
    WorkerReply,
    WorkerSilentError,
)
from gooseberrydeck_member.worker_dispatcher import StartCompleted, WorkerDispatcher

P = ParamSpec("P")
T = TypeVar("T")

WORKER = WorkerId("w0")
TOKEN = Epoch(1_000)
TASK = TaskRef(JobId("a"), 0, 0, 0)
OTHER = TaskRef(JobId("a"), 0, 0, 1)
START = StartRun(WORKER, StartRequest(TASK, 7, "", 1_500))


class BusyExecutor(Executor):
    """An executor whose threads are all busy until the test says otherwise."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[Callable[[], object]] = []

    def submit(
        self, function: Callable[P, T], /, *args: P.args, **kwargs: P.kwargs
    ) -> Future[T]:
        """Queue a call."""
        self.calls.append(lambda: function(*args, **kwargs))
        return Future()

    def run(self) -> None:
        """Execute the queued calls in order."""
        while self.calls:
            self.calls.pop(0)()


class RecordingCalls:
    """Calls to a worker, recorded by name; a start may get no response."""

    def __init__(self) -> None:
        """Create a worker that responds."""
        self.sent: list[str] = []
        self.before_response: Callable[[], None] | None = None

    def poll(
        self,
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> PollReply:
        """Report nothing."""
        return PollReply(0, 1, (), ())

    def start(
        self, request: StartRequest, token: Epoch, timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Record a start, whose response is lost if something happens before it."""
        self.sent.append("start")
        if self.before_response is not None:
            self.before_response()
            raise WorkerSilentError("timed out")
        return StartOutcome.STARTED, WorkerReply(0, 1)

    def stop(
        self, task: TaskRef, run: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Record a stop."""
        self.sent.append("stop")
        return WorkerReply(0, 1)

    def throttle(
        self, task: TaskRef, run: int, percent: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Do nothing."""
        return WorkerReply(0, 1)

    def close(self) -> None:
        """Do nothing."""


class DispatcherFixture:
    def setup_method(self) -> None:
        self.posted: list[object] = []
        self.dispatcher = WorkerDispatcher(self.posted.append, lambda: True)
        self.executor = BusyExecutor()
        self.dispatcher.command_executor = self.executor
        self.calls = RecordingCalls()
        self.dispatcher.connect(WORKER, self.calls)

    def stop(self, run: int = 7) -> None:
        """Have a run stopped, for example because another run of its task is done."""
        command = StopRun(WORKER, TASK, run, StopReason.SURPLUS)
        self.dispatcher.stop(command, TOKEN)


class TestWithdrawnStarts(DispatcherFixture):
    # A copy of a task was started over a second after the end of the first run had
    # been acknowledged: its start had waited for a thread, or was sent a second time.
    def test_start_that_waits_is_not_sent_after_its_stop(self) -> None:
        self.dispatcher.start(START, TOKEN)
        self.stop()
        self.executor.run()
        assert self.calls.sent == ["stop"]
        expected = StartCompleted(WORKER, TASK, 7, None, False, is_withdrawn=True)
        assert self.posted == [expected]

    def test_start_is_not_sent_a_second_time_after_its_stop(self) -> None:
        self.calls.before_response = self.stop
        self.dispatcher.start(START, TOKEN)
        self.executor.run()
        assert self.calls.sent == ["start", "stop"]
        expected = StartCompleted(WORKER, TASK, 7, None, True, is_withdrawn=True)
        assert self.posted == [expected]

    @pytest.mark.parametrize("run", [6, 8])
    def test_stop_of_another_run_withdraws_nothing(self, run: int) -> None:
        self.dispatcher.start(START, TOKEN)
        self.stop(run)
        self.executor.run()
        assert self.calls.sent == ["start", "stop"]

    def test_nothing_is_kept_of_commands_that_were_sent(self) -> None:
        self.dispatcher.start(START, TOKEN)
        self.stop()
        self.executor.run()
        self.stop()
        self.executor.run()
        assert not self.dispatcher.unsent_starts

    # Guards against a second start of a run that has ended: a process that was started
    # under the worker's id meanwhile doesn't know the run, and would execute it.
    def test_start_of_a_run_that_has_ended_is_not_repeated(self) -> None:
        self.calls.before_response = lambda: self.dispatcher.run_ended(TASK, 7)
        self.dispatcher.start(START, TOKEN)
        self.executor.run()
        assert self.calls.sent == ["start"]
        expected = StartCompleted(WORKER, TASK, 7, None, True, is_withdrawn=True)
        assert self.posted == [expected]

    @pytest.mark.parametrize("ended", [(OTHER, 7), (TASK, 6)])
    def test_end_of_another_run_withdraws_nothing(
        self, ended: tuple[TaskRef, int]
    ) -> None:
        self.calls.before_response = lambda: self.dispatcher.run_ended(*ended)
        self.dispatcher.start(START, TOKEN)
        self.executor.run()
        assert self.calls.sent == ["start", "start"]


class TestSilentWorkers(DispatcherFixture):
    # Guards against commands to healthy workers that wait for seconds behind those to
    # workers that don't answer: starts were refused as too late.
    def test_queued_commands_to_a_silent_worker_are_not_sent(self) -> None:
        self.dispatcher.start(START, TOKEN)
        self.dispatcher.worker_silent(WORKER)
        self.executor.run()
        self.stop()
        self.executor.run()
        assert self.calls.sent == []
        expected = StartCompleted(WORKER, TASK, 7, None, False, is_withdrawn=True)
        assert self.posted == [expected]

    def test_start_is_not_repeated_at_a_silent_worker(self) -> None:
        self.calls.before_response = lambda: self.dispatcher.worker_silent(WORKER)
        self.dispatcher.start(START, TOKEN)
        self.executor.run()
        assert self.calls.sent == ["start"]

    def test_commands_are_sent_again_once_the_worker_has_answered(self) -> None:
        self.dispatcher.worker_silent(WORKER)
        self.dispatcher.worker_answered(WORKER)
        self.dispatcher.start(START, TOKEN)
        self.stop(6)
        self.executor.run()
        assert self.calls.sent == ["start", "stop"]
