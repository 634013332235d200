"""Tests of tasks that a silent worker may start late for a former holder."""

import msgspec
import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.state import LATE_CALL_S
from gooseberrydeck_fleet.work import JobState, StepSpec

WORKER = WorkerId("w0")
OTHER = WorkerId("w1")
LONG_UP_S = 30.0
"""After this time, a deadline on the worker's clock is far ahead of a new process'."""

LEASE_S = 6.1
"""The longest lease of a worker, on a clock that is slow."""

EXPIRY_S = 4.8
"""By then, a successor counts the runs on a silent worker as lost."""

FINISH_S = 15.0
ONE = StepSpec(1, task_resources())


def silence_after_start(
    fleet: Fleet, step: StepSpec = ONE, seconds: float = 3.0
) -> None:
    """Send a start to ``WORKER`` that doesn't arrive, and cut the worker off."""
    fleet.run_for(LONG_UP_S)
    fleet.delayed_starts.add(WORKER)
    fleet.submit("a", step, seconds=seconds)
    fleet.run_for(0.1)
    assert len(fleet.starts_under_way) == step.count
    fleet.add_worker(OTHER)
    fleet.run_for(0.2)
    fleet.unreachable.add(WORKER)


def recorded_starts(fleet: Fleet) -> list[int]:
    """Return how many tasks each worker may start late, as stored."""
    return [len(entry.late_starts) for entry in fleet.workers_record]


def next_start_s(fleet: Fleet, seconds: float) -> float:
    """Return when the task starts on the other worker, in seconds from now."""
    begun_s = fleet.now_s
    fleet.run_for(seconds)
    (_, _, first), (second_s, _, second) = fleet.starts
    assert (first, second) == (WORKER, OTHER)
    return second_s - begun_s


class TestTakeovers:
    # Guards against two runs at once after two changes of the holder: the first
    # successor's record has to name the task as well.
    def test_second_successor_waits_for_the_late_start(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.restart_worker(WORKER)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.deliver_starts()
        fleet.run_for(2 * LATE_CALL_S)
        assert fleet.violations() == []

    # Guards against two runs at once if the restart is known to the first holder only.
    def test_late_start_of_a_long_running_task_after_a_known_restart(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet, StepSpec(1, task_resources(), is_standing=True))
        fleet.restart_worker(WORKER)
        fleet.scheduler.worker_restarting(WORKER)
        fleet.run_for(0.1)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.deliver_starts()
        fleet.run_for(FINISH_S)
        assert fleet.violations() == []

    # Guards against two runs at once if the holder was replaced before it could store
    # that a start had no response.
    def test_late_start_that_is_not_recorded_yet(self) -> None:
        fleet = Fleet(workers=1)
        fleet.is_store_available = False
        silence_after_start(fleet)
        fleet.restart_worker(WORKER)
        fleet.is_store_available = True
        fleet.take_over()
        fleet.run_for(EXPIRY_S + 0.1)
        fleet.deliver_starts()
        fleet.run_for(FINISH_S)
        assert fleet.violations() == []

    def test_wait_ends_when_the_start_can_run_no_more(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.take_over()
        waited_s = next_start_s(fleet, 2 * LATE_CALL_S)
        assert waited_s == pytest.approx(LATE_CALL_S + LEASE_S, abs=0.3)

    def test_wait_ends_when_the_worker_answers(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        assert len(fleet.starts) == 1
        fleet.unreachable.clear()
        fleet.delayed_starts.clear()
        fleet.run_for(0.3)
        assert len(fleet.starts) == 2

    def test_wait_ends_when_another_process_answers(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.scheduler.worker_gone(WORKER, fleet.now_s)
        assert next_start_s(fleet, 0.3) <= 0.2

    def test_task_of_a_worker_without_registration_waits_for_its_lease(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.scheduler.worker_unregistered(WORKER)
        fleet.take_over()
        assert next_start_s(fleet, EXPIRY_S) <= EXPIRY_S

    def test_other_tasks_of_the_job_wait_for_the_lease_only(self) -> None:
        fleet = Fleet(workers=1)
        fleet.run_for(LONG_UP_S)
        fleet.submit("a", StepSpec(2, task_resources()), seconds=60.0)
        fleet.run_for(0.1)
        first, _ = fleet.scheduler.ledger.workers[WORKER].runs.values()
        first.worker.start_unanswered(first)
        fleet.add_worker(OTHER)
        fleet.run_for(0.1)
        fleet.unreachable.add(WORKER)
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        assert [task for _, task, _ in fleet.starts[2:]] == [fleet.starts[1][1]]

    # A task that two workers may start late waits for both of them.
    def test_task_waits_for_each_worker_that_may_start_it(self) -> None:
        fleet = Fleet(workers=3)
        silence_after_start(fleet)
        (entry,) = [each for each in fleet.workers_record if each.late_starts]
        fleet.workers_record = [
            msgspec.structs.replace(each, late_starts=entry.late_starts)
            for each in fleet.workers_record
            if each.worker in (WORKER, "w2")
        ]
        fleet.unreachable.add(WorkerId("w2"))
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.unreachable.discard(WORKER)
        fleet.run_for(0.5)
        assert len(fleet.starts) == 1
        fleet.unreachable.clear()
        fleet.run_for(0.5)
        assert len(fleet.starts) == 2

    def test_job_that_is_announced_again_waits(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        record = fleet.records.pop(next(iter(fleet.records)))
        fleet.take_over()
        fleet.run_for(EXPIRY_S)
        fleet.scheduler.accept(record, 1, predates_takeover=True)
        fleet.run_for(1.0)
        assert len(fleet.starts) == 1


class TestRecord:
    def test_unanswered_start_is_recorded_until_the_worker_answers(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.run_for(1.0)
        assert sorted(recorded_starts(fleet)) == [0, 1]
        fleet.unreachable.clear()
        fleet.delayed_starts.clear()
        fleet.run_for(10.0)
        assert recorded_starts(fleet) == [0, 0]
        assert set(map(fleet.state, fleet.specs)) == {JobState.COMPLETED}

    def test_record_of_a_start_keeps_no_other_task_from_the_worker(self) -> None:
        fleet = Fleet(workers=1)
        fleet.lost_start_replies.add(WORKER)
        fleet.is_store_available = False
        for name in "ab":
            fleet.submit(name, ONE)
            fleet.run_for(0.2)
        assert len(fleet.starts) == 2

    def test_answered_starts_are_not_recorded(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit("a", StepSpec(4, task_resources()), seconds=5.0)
        fleet.run_for(1.0)
        fleet.unreachable.add(WORKER)
        fleet.run_for(1.0)
        assert recorded_starts(fleet) == [0]
        assert fleet.scheduler.changes.workers_to_record() is None

    # The record was written ten times a second for as long as a worker whose leases had
    # expired might start something late.
    def test_record_of_a_lapsed_worker_is_written_once(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet)
        fleet.run_for(EXPIRY_S)
        changes = fleet.scheduler.changes
        for _ in range(5):
            fleet.run_for(0.1)
            assert recorded_starts(fleet) == [1, 0]
            assert changes.workers_to_record() is None

    def test_long_running_task_is_not_recorded_without_a_known_restart(self) -> None:
        fleet = Fleet(workers=1)
        silence_after_start(fleet, StepSpec(1, task_resources(), is_standing=True))
        fleet.run_for(0.2)
        assert sorted(recorded_starts(fleet)) == [0, 0]

    # Guards against a successor that holds back a task because of a start that was sent
    # too long ago to be executed late.
    def test_start_is_not_recorded_once_it_can_run_late_no_more(self) -> None:
        fleet = Fleet(workers=1)
        fleet.lost_start_replies.add(WORKER)
        fleet.submit("a", ONE, seconds=60.0)
        fleet.run_for(2.0)
        assert recorded_starts(fleet) == [1]
        fleet.run_for(LATE_CALL_S + LEASE_S)
        assert recorded_starts(fleet) == [0]
        fleet.add_worker(OTHER)
        fleet.run_for(0.2)
        fleet.unreachable.add(WORKER)
        fleet.take_over()
        assert next_start_s(fleet, 2 * EXPIRY_S) <= EXPIRY_S

    # A rolling release: members of the former version read and write the record too.
    def test_record_without_late_starts_is_read(self) -> None:
        fleet = Fleet(workers=1)
        (entry,) = fleet.workers_record
        fields = msgspec.json.decode(msgspec.json.encode(entry))
        del fields["late_starts"]
        decoded = msgspec.json.decode(msgspec.json.encode(fields), type=Registration)
        assert decoded == entry
