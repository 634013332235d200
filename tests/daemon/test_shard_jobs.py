"""Tests of a shard's jobs across takeovers, lost responses and outages."""

from collections.abc import Callable

import msgspec
import pytest

from gooseberrydeck_scheduling import JobRecord, JobState
from gooseberrydeck_standins.faults import CallFault
from jobs_support import CAPACITY, CrashedError, Effects, Owner, Platform
from scheduling_support import record


def payload(run_s: float = 2.0, fail: bool = False) -> bytes:
    return msgspec.json.encode({"run_s": run_s, "fail": fail})


def mixed_jobs() -> list[JobRecord]:
    return [
        record("batch", tasks=3, payload=payload()),
        record("gang", queue="gang", tasks=4, is_gang=True, payload=payload()),
        record("bad", payload=payload(fail=True)),
        record("cancelled", tasks=2, payload=payload(60.0)),
    ]


def check_invariants(platform: Platform, may_repeat: bool = False) -> None:
    """Check the ledger of all runs after every worker has recorded its ended tasks.

    No task starts twice or overlaps, and no worker exceeds its capacity. No task
    succeeds twice unless ``may_repeat`` is set.
    """
    for worker in platform.workers.values():
        worker.advance()
    ledger = platform.ledger
    assert ledger.started_twice() == []
    assert ledger.overlapping() == []
    assert may_repeat or ledger.succeeded_twice() == []
    assert ledger.over_capacity(dict.fromkeys(platform.workers, CAPACITY)) == []


def run_owner(platform: Platform, effects: Effects) -> None:
    """Run an owner until it crashes or 60 steps have passed."""
    owner = Owner(platform, effects)
    owner.take_over()
    for step in range(60):
        if step == 3:
            owner.jobs.cancel([record("cancelled").spec.id])
        owner.step()


class TestOwnerCrash:
    @pytest.mark.parametrize("is_after", [False, True], ids=["before", "after"])
    @pytest.mark.parametrize("crash_at", range(1, 41))
    def test_no_job_is_lost_or_run_twice(self, crash_at: int, is_after: bool) -> None:
        platform = Platform()
        platform.submit(*mixed_jobs())
        with pytest.raises(CrashedError):
            run_owner(platform, Effects(crash_at, is_after))
        successor = Owner(platform)
        successor.take_over()
        successor.jobs.cancel([record("cancelled").spec.id])
        records = successor.run_until_ended()
        states = {job: found.state for job, found in records.items()}
        assert states == {
            "batch": JobState.SUCCEEDED,
            "gang": JobState.SUCCEEDED,
            "bad": JobState.FAILED,
            "cancelled": JobState.CANCELLED,
        }
        check_invariants(platform)


def lose_store(owner: Owner) -> None:
    owner.store.fault = CallFault.DOWN


def lose_store_answers(owner: Owner) -> None:
    owner.store.next_faults.extend([CallFault.ANSWER_LOST] * 3)


def lose_a_worker(owner: Owner) -> None:
    next(iter(owner.workers.values())).fault = CallFault.DOWN


def lose_worker_answers(owner: Owner) -> None:
    for worker in owner.workers.values():
        worker.next_faults.extend([CallFault.ANSWER_LOST] * 3)


def clear_faults(owner: Owner) -> None:
    owner.store.fault = CallFault.NONE
    for worker in owner.workers.values():
        worker.fault = CallFault.NONE


class TestTakeover:
    def test_waits_for_hosts_that_are_not_linked_yet(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload(5.0)))
        first = Owner(platform)
        first.take_over()
        for _ in range(3):
            first.step()
        (run,) = platform.ledger.snapshot()
        successor = Owner(platform)
        successor.take_over(without=(run.host,))
        for _ in range(8):
            successor.step()
        assert len(platform.ledger.snapshot()) == 1

    def test_task_of_a_lost_worker_runs_again_under_another_id(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload(60.0)))
        first = Owner(platform)
        first.take_over()
        for _ in range(3):
            first.step()
        (run,) = platform.ledger.snapshot()
        successor = Owner(platform)
        successor.take_over()
        successor.workers[run.host].fault = CallFault.DOWN
        successor.run_until_ended()
        check_invariants(platform)
        assert len(platform.ledger.snapshot()) == 2

    def test_superseded_owner_cancels_nothing(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload()))
        old = Owner(platform)
        old.take_over()
        successor = Owner(platform)
        successor.take_over()
        old.jobs.cancel([record("job").spec.id])
        old.step()
        old.step()
        assert old.jobs.is_superseded
        (found,) = successor.run_until_ended().values()
        assert found.state is JobState.SUCCEEDED

    def test_job_bound_before_the_records_are_read_is_kept(self) -> None:
        owner = Owner(Platform())
        owner.jobs.accept(record("job", payload=payload()))
        owner.take_over()
        assert list(owner.jobs.record_table.records) == ["job"]


class TestFaults:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    @pytest.mark.parametrize("steps_before", range(6))
    @pytest.mark.parametrize(
        "fault", [lose_store, lose_store_answers, lose_a_worker, lose_worker_answers]
    )
    def test_jobs_end_after_the_fault_is_cleared(
        self, fault: Callable[[Owner], None], steps_before: int, is_idempotent: bool
    ) -> None:
        platform = Platform()
        fields = {"payload": payload(), "is_idempotent": is_idempotent}
        platform.submit(
            record("batch", tasks=6, **fields),
            record("gang", queue="gang", tasks=4, is_gang=True, **fields),
        )
        owner = Owner(platform)
        owner.take_over()
        for _ in range(steps_before):
            owner.step()
        fault(owner)
        for _ in range(60):
            owner.step()
        clear_faults(owner)
        records = owner.run_until_ended()
        states = {found.state for found in records.values()}
        is_lost = fault in (lose_a_worker, lose_worker_answers)
        if is_idempotent or not is_lost:
            assert states == {JobState.SUCCEEDED}
        check_invariants(platform, may_repeat=is_idempotent and is_lost)

    def test_tasks_start_during_a_store_outage(self) -> None:
        platform = Platform()
        platform.submit(record("batch", tasks=12, payload=payload()))
        owner = Owner(platform)
        owner.take_over()
        owner.step()
        lose_store(owner)
        for _ in range(30):
            owner.step()
        assert len(platform.ledger.snapshot()) == 12

    def test_end_is_acknowledged_only_once_it_is_recorded(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload()))
        owner = Owner(platform)
        owner.take_over()
        owner.step()
        lose_store(owner)
        for _ in range(20):
            owner.step()
        assert sum(len(worker.tasks) for worker in platform.workers.values()) == 1
        clear_faults(owner)
        owner.run_until_ended()
        for _ in range(10):
            owner.step()
        assert sum(len(worker.tasks) for worker in platform.workers.values()) == 0


class TestAuthority:
    def test_owner_without_authority_starts_nothing(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload()))
        owner = Owner(platform)
        owner.take_over()
        owner.lose_authority()
        for _ in range(10):
            owner.step()
        assert platform.ledger.snapshot() == []

    def test_superseded_owner_changes_no_record(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload()))
        old = Owner(platform)
        old.take_over()
        for _ in range(3):
            old.step()
        successor = Owner(platform)
        successor.take_over()
        for _ in range(10):
            old.step()
            successor.step()
        assert old.jobs.is_superseded or old.jobs.record_table.changed == {}
        assert {found.state for found in platform.records().values()} == {
            JobState.SUCCEEDED
        }
        check_invariants(platform)


class TestRetention:
    def test_ended_job_is_deleted_after_an_hour(self) -> None:
        platform = Platform()
        platform.submit(record("job", payload=payload()))
        owner = Owner(platform)
        owner.take_over()
        owner.run_until_ended()
        owner.step(3_000.0)
        assert len(platform.records()) == 1
        owner.step(700.0)
        owner.step()
        assert platform.records() == {}
        assert owner.jobs.record_table.records == {}


class TestCancellation:
    def test_mass_cancellation_is_recorded(self) -> None:
        platform = Platform()
        jobs = [record(f"job-{number}", payload=payload(60.0)) for number in range(300)]
        platform.submit(*jobs)
        owner = Owner(platform)
        owner.take_over()
        for _ in range(3):
            owner.step()
        assert owner.jobs.cancel([job.spec.id for job in jobs]) == 300
        records = owner.run_until_ended()
        assert {found.state for found in records.values()} == {JobState.CANCELLED}
