"""Tests of faulty workers, failing jobs, retries and takeovers."""

from gooseberrydeck_coordination.ids import HostName, TaskId, TeamName
from gooseberrydeck_scheduling import (
    AdoptedTask,
    EndKind,
    JobState,
    Scheduler,
    Stop,
    WaitReason,
    WorkerStatus,
    decode_record,
    encode_record,
)
from gooseberrydeck_scheduling.limits import TeamSlices
from gooseberrydeck_scheduling.retries import TeamRetryBudgets
from gooseberrydeck_scheduling.rules import SchedulerSettings
from scheduling_support import CORE, end, make_scheduler, record, starts, worker


def simulate_until(
    scheduler: Scheduler, faulty_hosts: set[str], until_s: float, now_s: float = 0.0
) -> int:
    """Fail the tasks on faulty hosts and of bad jobs; count starts on faulty hosts."""
    failed = 0
    while now_s < until_s:
        now_s += 0.5
        for start in starts(scheduler, now_s):
            is_failing = start.host in faulty_hosts or start.job.startswith("bad")
            failed += start.host in faulty_hosts
            kind = EndKind.FAILED if is_failing else EndKind.SUCCEEDED
            end(scheduler, start.task, now_s + 0.1, kind)
    return failed


class TestHealth:
    def test_worker_failing_jobs_that_succeed_elsewhere_is_set_aside(self) -> None:
        scheduler = make_scheduler(*(worker(f"w{n}", 2) for n in range(4)))
        jobs = [record(f"job-{number}") for number in range(200)]
        for job in jobs:
            scheduler.submit(job, 0.0)
        failed = simulate_until(scheduler, {"w0"}, 25.0)
        assert scheduler.state.cell.workers[HostName("w0")].status is (
            WorkerStatus.SET_ASIDE
        )
        assert scheduler.state.health.restricted[HostName("w0")].is_faulty
        assert failed < 10
        assert {job.state for job in jobs} == {JobState.SUCCEEDED}

    def test_job_failing_everywhere_ends_without_setting_workers_aside(self) -> None:
        scheduler = make_scheduler(*(worker(f"w{n}", 2) for n in range(4)))
        jobs = [record(f"bad-{number}") for number in range(8)]
        jobs += [record(f"good-{number}", "radio") for number in range(8)]
        for job in jobs:
            scheduler.submit(job, 0.0)
        simulate_until(scheduler, set(), 60.0)
        assert {job.state for job in jobs[:8]} == {JobState.FAILED}
        assert {job.state for job in jobs[8:]} == {JobState.SUCCEEDED}
        assert "failed 3 times" in jobs[0].reason
        assert not [
            host
            for host, history in scheduler.state.health.restricted.items()
            if history.is_faulty
        ]

    def test_successful_probe_restores_worker(self) -> None:
        scheduler = make_scheduler(*(worker(f"w{n}", 2) for n in range(4)))
        for number in range(200):
            scheduler.submit(record(f"job-{number}"), 0.0)
        simulate_until(scheduler, {"w0"}, 25.0)
        for number in range(800):
            scheduler.submit(record(f"later-{number}"), 25.0)
        simulate_until(scheduler, set(), 120.0, 25.0)
        assert scheduler.state.cell.workers[HostName("w0")].status is (
            WorkerStatus.AVAILABLE
        )


class TestRetryBudget:
    def test_retries_are_limited_to_share_of_first_attempts(self) -> None:
        settings = SchedulerSettings(team_retry_share=0.5, team_retry_burst=1.0)
        retry_budgets = TeamRetryBudgets(settings)
        team = TeamName("press")
        assert [retry_budgets.try_take(team) for _ in range(2)] == [True, False]
        retry_budgets.started(team)
        assert not retry_budgets.try_take(team)
        retry_budgets.started(team)
        assert retry_budgets.try_take(team)


class TestTakeover:
    def test_unconfirmed_task_is_not_started(self) -> None:
        scheduler = make_scheduler(worker("a", 4))
        job = record("job")
        scheduler.recover(job, 0.0)
        assert starts(scheduler, 0.1) == []
        assert scheduler.why_waiting(job.spec.id).reason is WaitReason.MAY_STILL_RUN
        scheduler.resolve_unconfirmed(1.0)
        assert len(starts(scheduler, 1.1)) == 1

    def test_adopted_task_is_not_restarted(self) -> None:
        scheduler = make_scheduler()
        job = record("job")
        scheduler.recover(job, 0.0)
        task = TaskId("job/0/7")
        held = AdoptedTask(task, job.spec.team, CORE)
        scheduler.worker_added(worker("a"), 0.0, [held])
        scheduler.resolve_unconfirmed(0.0)
        assert starts(scheduler, 1.0) == []
        end(scheduler, task, 2.0)
        assert job.state is JobState.SUCCEEDED

    def test_orphan_task_is_stopped(self) -> None:
        scheduler = make_scheduler()
        held = AdoptedTask(TaskId("gone/0/1"), TeamName("press"), CORE)
        scheduler.worker_added(worker("a"), 0.0, [held])
        (stop,) = scheduler.tick(0.1)
        assert isinstance(stop, Stop)

    def test_unconfirmed_tasks_count_against_slice(self) -> None:
        slices = TeamSlices()
        team = TeamName("press")
        slices.set_units({team: 2})
        slices.add_unconfirmed(team, 1)
        slices.started(team)
        assert slices.remaining(team) == 0


class TestRefusedStarts:
    def test_cancelled_job_ends_after_takeover(self) -> None:
        # A start that is refused after the cancellation has to end its task. If the
        # record stays pending, the next owner counts the task twice.
        scheduler = make_scheduler(worker("w0", 4))
        job = record("job", "press", "deadline", tasks=2)
        scheduler.submit(job, 0.0)
        first, second = starts(scheduler, 0.1)
        scheduler.cancel([job.spec.id], 0.2)
        scheduler.start_refused(first.task, False, 0.3)
        job = decode_record(encode_record(job))
        successor = make_scheduler()
        successor.recover(job, 1.0)
        adopted = AdoptedTask(second.task, second.team, second.resources)
        successor.worker_added(worker("w0", 4), 1.0, [adopted])
        successor.start_refused(second.task, False, 1.1)
        successor.resolve_unconfirmed(2.0)
        successor.tick(3.0)
        assert job.state is JobState.CANCELLED
