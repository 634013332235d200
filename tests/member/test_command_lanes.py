"""Tests of which commands are in flight together, and which have to wait."""

import pytest

from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import RunCommand, StartRun, StopRun, ThrottleRun
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.state import StopReason
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_member.command_lanes import (
    UNANSWERED_LIMIT_S,
    CommandLanes,
    Order,
)
from gooseberrydeck_member.worker_dispatcher import (
    COMMAND_THREADS,
    MAX_COMMANDS,
    MAX_POLL_THREADS,
)

TOKEN = Epoch(1_000)
WORKER = WorkerId("w0")


def start(worker: WorkerId, run: int) -> StartRun:
    """Return a start of a run of its own task."""
    task = TaskRef(JobId("a"), 0, 0, run)
    return StartRun(worker, StartRequest(task, run, "", 1_500))


def stop(worker: WorkerId, run: int) -> StopRun:
    """Return a stop of the same run."""
    return StopRun(worker, TaskRef(JobId("a"), 0, 0, run), run, StopReason.SURPLUS)


def throttle(worker: WorkerId, run: int, percent: int) -> ThrottleRun:
    """Return a change of the same run's speed."""
    return ThrottleRun(worker, TaskRef(JobId("a"), 0, 0, run), run, percent)


class LanesFixture:
    def setup_method(self) -> None:
        self.lanes = CommandLanes(COMMAND_THREADS, MAX_POLL_THREADS)
        self.now_s = 1_000.0
        self.in_flight: list[Order] = []

    def add(self, *commands: RunCommand) -> list[Order]:
        """Add commands, in order; return those that they replace."""
        orders = [Order(command, TOKEN, self.now_s) for command in commands]
        return [old for each in orders if (old := self.lanes.add(each)) is not None]

    def send(self) -> list[RunCommand]:
        """Hand out all commands that may be sent now and return them."""
        sent = []
        self.lanes.review(self.now_s)
        for worker in self.lanes.waiting_workers():
            while (order := self.lanes.take_next(worker, self.now_s)) is not None:
                self.lanes.sent(order, self.now_s)
                self.in_flight.append(order)
                sent.append(order.command)
        return sent

    def complete(self, command: RunCommand, has_response: bool = True) -> None:
        """Let a command in flight end."""
        (order,) = (each for each in self.in_flight if each.command is command)
        self.in_flight.remove(order)
        worker = command.worker
        self.lanes.completed(worker, order.number, has_response, self.now_s)


class TestSilentWorkers(LanesFixture):
    # Guards against orders to healthy workers that wait behind those to workers which
    # aren't known to be silent yet: starts were refused as too late.
    @pytest.mark.parametrize("silent", [32, 100, 300])
    def test_they_hold_up_no_command_to_another_worker(self, silent: int) -> None:
        for number in range(silent):
            worker = WorkerId(f"silent-{number}")
            self.add(*(start(worker, 10 * number + each) for each in range(4)))
        self.send()
        command = start(WORKER, 9_999)
        self.add(command)
        assert command in self.send()
        assert len(self.in_flight) <= MAX_COMMANDS

    @pytest.mark.parametrize("silent", [1, 32, 300])
    def test_they_share_a_bounded_number_of_threads(self, silent: int) -> None:
        for number in range(silent):
            worker = WorkerId(f"silent-{number}")
            self.add(*(start(worker, 100 * number + each) for each in range(50)))
        self.send()
        assert len(self.in_flight) == silent + COMMAND_THREADS
        self.now_s += UNANSWERED_LIMIT_S
        assert self.send() == []

    # Guards against workers that respond but get one command at a time until the calls
    # to silent ones have timed out.
    def test_threads_that_late_workers_keep_are_replaced_once(self) -> None:
        for number in range(COMMAND_THREADS):
            worker = WorkerId(f"silent-{number}")
            self.add(*(start(worker, 10 * number + each) for each in range(4)))
        self.send()
        commands = [start(WORKER, 9_000 + each) for each in range(3)]
        self.add(*commands)
        assert self.send() == commands[:1]
        self.now_s += UNANSWERED_LIMIT_S
        self.complete(commands[0])
        assert self.send() == commands[1:]

    @pytest.mark.parametrize("waves", [2, 5])
    def test_late_workers_keep_a_bounded_number_of_threads(self, waves: int) -> None:
        for wave in range(waves):
            for number in range(COMMAND_THREADS):
                worker = WorkerId(f"silent-{wave}-{number}")
                first = 1_000 * wave + 10 * number
                self.add(*(start(worker, first + each) for each in range(4)))
            self.send()
            self.now_s += UNANSWERED_LIMIT_S
        assert len(self.in_flight) == (waves + 2) * COMMAND_THREADS

    def test_worker_without_a_response_gets_one_command_at_a_time(self) -> None:
        first = [start(WORKER, run) for run in range(3)]
        self.add(*first)
        self.send()
        for command in first:
            self.complete(command, has_response=False)
        later = [start(WORKER, run) for run in range(3, 6)]
        self.add(*later)
        assert self.send() == later[:1]
        self.complete(later[0], has_response=False)
        assert self.send() == later[1:2]

    @pytest.mark.parametrize("answers_a_poll", [False, True])
    def test_worker_that_answers_again_gets_several(self, answers_a_poll: bool) -> None:
        first, *later = (start(WORKER, run) for run in range(5))
        self.add(first)
        self.send()
        self.complete(first, has_response=False)
        self.add(*later)
        (second,) = self.send()
        if answers_a_poll:
            self.lanes.answered(WORKER, self.now_s)
        else:
            self.complete(second)
        assert self.send() == later[1:]

    def test_worker_gets_nothing_beside_a_command_that_takes_long(self) -> None:
        first, second, third = (start(WORKER, run) for run in range(3))
        self.add(first)
        self.send()
        self.now_s += UNANSWERED_LIMIT_S / 2
        self.add(second)
        assert self.send() == [second]
        self.now_s += UNANSWERED_LIMIT_S / 2
        self.add(third)
        assert self.send() == []
        self.complete(first)
        assert self.send() == [third]

    def test_more_workers_than_threads_leave_none_waiting_in_the_executor(self) -> None:
        for number in range(MAX_POLL_THREADS + 1):
            self.add(start(WorkerId(f"w{number}"), number))
        assert len(self.send()) == MAX_POLL_THREADS
        self.complete(self.in_flight[0].command)
        assert len(self.send()) == 1


class TestOrder(LanesFixture):
    def test_commands_to_one_worker_keep_their_order(self) -> None:
        commands = [start(WORKER, 1), stop(WORKER, 2), throttle(WORKER, 3, 50)]
        self.add(*commands)
        assert self.send() == commands

    # Two changes of a run's speed could overtake each other.
    def test_commands_of_one_run_are_not_in_flight_together(self) -> None:
        slow, fast = throttle(WORKER, 1, 25), throttle(WORKER, 1, 50)
        self.add(slow)
        self.send()
        self.add(fast, start(WORKER, 2))
        assert self.send() == []
        self.complete(slow)
        assert self.send() == [fast, start(WORKER, 2)]

    def test_stop_waits_for_a_throttle_in_flight(self) -> None:
        slow = throttle(WORKER, 1, 25)
        self.add(slow)
        self.send()
        self.add(stop(WORKER, 1))
        assert self.send() == []

    # A worker refuses a start that arrives after the stop of its run.
    def test_stop_does_not_wait_for_the_start_in_flight(self) -> None:
        self.add(start(WORKER, 1))
        self.send()
        self.add(stop(WORKER, 1))
        assert self.send() == [stop(WORKER, 1)]

    def test_newer_speed_replaces_one_that_waits(self) -> None:
        self.add(start(WORKER, 9))
        self.send()
        self.now_s += UNANSWERED_LIMIT_S
        older, newer = throttle(WORKER, 1, 50), throttle(WORKER, 1, 25)
        assert self.add(older, throttle(WORKER, 2, 50)) == []
        (replaced,) = self.add(newer)
        assert replaced.command is older
        self.complete(self.in_flight[0].command)
        assert self.send() == [newer, throttle(WORKER, 2, 50)]

    def test_stop_that_waits_is_not_added_twice(self) -> None:
        self.add(start(WORKER, 9))
        self.send()
        self.now_s += UNANSWERED_LIMIT_S
        self.add(stop(WORKER, 1), stop(WORKER, 1))
        self.complete(self.in_flight[0].command)
        assert self.send() == [stop(WORKER, 1)]

    # Guards against a stop that a restarted worker refuses: the one that waited since
    # before the restart was sent with its former token, and the repeated one dropped.
    def test_stop_that_waits_is_sent_with_the_newest_token(self) -> None:
        self.add(start(WORKER, 9))
        self.send()
        self.now_s += UNANSWERED_LIMIT_S
        self.add(stop(WORKER, 1))
        newest = Epoch(TOKEN + 1)
        self.lanes.add(Order(stop(WORKER, 1), newest, self.now_s))
        self.complete(self.in_flight[0].command)
        assert self.send() == [stop(WORKER, 1)]
        assert self.in_flight[0].token == newest

    def test_nothing_is_kept_of_commands_that_have_ended(self) -> None:
        commands = [start(WORKER, 1), stop(WORKER, 1), throttle(WORKER, 2, 50)]
        self.add(*commands)
        self.send()
        for command in commands:
            self.complete(command)
        assert not self.lanes.lanes
        assert self.lanes.in_flight == self.lanes.busy_workers == 0
