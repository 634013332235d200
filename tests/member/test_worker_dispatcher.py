"""Tests of the repetition of start requests."""

from concurrent.futures import Future

import pytest

from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.worker_calls import (
    StartOutcome,
    StartRequest,
    WorkerCallError,
    WorkerReply,
)
from gooseberrydeck_member.worker_dispatcher import StartCompleted, WorkerDispatcher

TOKEN = Epoch(1_000)
WORKER = WorkerId("w1")
TASK = TaskRef(JobId("a"), 0, 0, 0)
OTHER = TaskRef(JobId("a"), 0, 0, 1)
RUN = 1_000_000_010
TIMEOUT_S = 5.0


class SilentOnce:
    """A worker whose first response is lost, after ``meanwhile`` has happened."""

    def __init__(self) -> None:
        self.received: list[int] = []
        self.ended: tuple[TaskRef, int] | None = None
        self.dispatcher: WorkerDispatcher | None = None

    def start(
        self, request: StartRequest, _token: Epoch, _timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        self.received.append(request.run)
        if len(self.received) > 1:
            return StartOutcome.STARTED, WorkerReply(1, 1)
        if self.ended is not None and self.dispatcher is not None:
            self.dispatcher.run_ended(*self.ended)
        raise WorkerCallError("the response was lost")


class TestRepeatedStarts:
    def start(self, ended: tuple[TaskRef, int] | None) -> tuple[SilentOnce, object]:
        """Start a run; ``ended`` ends between the two attempts."""
        result: Future[object] = Future()
        dispatcher = WorkerDispatcher(result.set_result, lambda: True)
        calls = SilentOnce()
        calls.ended, calls.dispatcher = ended, dispatcher
        dispatcher.connect(WORKER, calls)  # type: ignore[arg-type]
        dispatcher.start(StartRun(WORKER, StartRequest(TASK, RUN, "", 1_500)), TOKEN)
        message = result.result(TIMEOUT_S)
        dispatcher.command_executor.shutdown(wait=True)
        return calls, message

    # Guards against a second start of a run that has ended: a process that was started
    # under the worker's id meanwhile doesn't know the run, and would execute it.
    def test_start_of_a_run_that_has_ended_is_not_repeated(self) -> None:
        calls, message = self.start((TASK, RUN))
        assert calls.received == [RUN]
        assert isinstance(message, StartCompleted)
        assert message.has_ended

    @pytest.mark.parametrize("ended", [None, (OTHER, RUN), (TASK, RUN - 10)])
    def test_start_without_a_response_is_repeated(
        self, ended: tuple[TaskRef, int] | None
    ) -> None:
        calls, message = self.start(ended)
        assert calls.received == [RUN, RUN]
        assert isinstance(message, StartCompleted)
        assert message.is_repeat
        assert not message.has_ended
