"""Tests of tasks and their supervisor."""

import pytest

from gooseberrydeck_service.exceptions import TaskCrashedError
from gooseberrydeck_service.tasks import Supervisor, Task


class Adder(Task[int]):
    def __init__(self, inbox_size: int = 4) -> None:
        super().__init__("adder", inbox_size, tick_s=0.01)
        self.total = 0
        self.has_ended = False

    def handle(self, message: int) -> None:
        self.total += 10 // message

    def end(self) -> None:
        self.has_ended = True


class TestTask:
    def test_full_inbox_rejects_messages(self) -> None:
        task = Adder(inbox_size=2)
        assert [task.post(1) for _ in range(3)] == [True, True, False]


class TestSupervisor:
    def test_crash_ends_the_wait_and_is_raised_on_close(self) -> None:
        supervisor, task = Supervisor(2), Adder()
        supervisor.start(task)
        task.post(0)
        supervisor.wait()
        with pytest.raises(TaskCrashedError) as caught:
            supervisor.close()
        assert caught.value.task_name == "adder"
        assert isinstance(caught.value.__cause__, ZeroDivisionError)
        assert task.has_ended

    def test_stop_is_idempotent(self) -> None:
        supervisor, task = Supervisor(2), Adder()
        supervisor.start(task)
        supervisor.request_end()
        supervisor.request_end()
        supervisor.wait()
        supervisor.close()
        supervisor.close()
        assert task.has_ended
