"""Tests of placement, ordering, preemption, gangs and refusals."""

import pytest

from gooseberrydeck_coordination.ids import TaskId, TeamName
from gooseberrydeck_scheduling import (
    EndKind,
    JobRefusedError,
    JobState,
    OvercommitError,
    Preempt,
    RefusalReason,
    RunningTask,
    Scheduler,
    Start,
    Stop,
    WaitReason,
)
from scheduling_support import (
    QUEUES,
    cores,
    end,
    make_scheduler,
    record,
    starts,
    worker,
)


class TestPlacement:
    def test_packs_tasks_on_one_host(self) -> None:
        scheduler = make_scheduler(worker("a", 8), worker("b", 8))
        scheduler.submit(record("first", resources=cores(4)), 0.0)
        (first,) = starts(scheduler, 0.1)
        scheduler.submit(record("second", resources=cores(4)), 0.2)
        (second,) = starts(scheduler, 0.3)
        assert second.host == first.host

    def test_prefers_hosts_without_accelerators(self) -> None:
        scheduler = make_scheduler(
            worker("fast", 4, accelerators=4), worker("plain", 8)
        )
        scheduler.submit(record("job", resources=cores(3)), 0.0)
        assert starts(scheduler, 0.1)[0].host == "plain"

    def test_never_commits_beyond_capacity(self) -> None:
        scheduler = make_scheduler(worker("a", 2))
        cell = scheduler.state.cell
        job = record("job", resources=cores(3)).spec
        running = RunningTask(
            TaskId("job/0/0"), job.id, 0, 0, job.team, job.resources, 0.0, 1.0
        )
        with pytest.raises(OvercommitError):
            cell.commit(worker("a").host, running)
        assert cell.worker(worker("a").host).free == cores(2)

    def test_spreads_replicas_over_data_centres_then_racks(self) -> None:
        scheduler = make_scheduler(
            worker("a", rack="r1"),
            worker("b", rack="r2"),
            worker("c", rack="r3", centre="lima-2"),
        )
        watcher = record("watcher", queue="standing", tasks=3, is_standing=True)
        scheduler.submit(watcher, 0.0)
        assert {start.host for start in starts(scheduler, 0.1)} == {"a", "b", "c"}


class TestOrder:
    def test_team_with_the_lower_weighted_share_goes_first(self) -> None:
        scheduler = make_scheduler(worker("a", 9))
        scheduler.set_shares({TeamName("press"): 2.0, TeamName("radio"): 1.0})
        for team in ("press", "radio"):
            scheduler.submit(record(f"job-{team}", team, tasks=9), 0.0)
        teams = [start.team for start in starts(scheduler, 0.1)]
        assert (teams.count(TeamName("press")), teams.count(TeamName("radio"))) == (
            6,
            3,
        )

    @pytest.mark.parametrize(
        ("queue", "first", "second"),
        [
            ("deadline", {"deadline_s": 9.0}, {"deadline_s": 5.0}),
            ("batch", {"plan_order": 2}, {"plan_order": 1}),
            ("batch", {"priority": 0}, {"priority": 1}),
        ],
    )
    def test_queue_policy_overrides_submission_order(
        self, queue: str, first: dict[str, float], second: dict[str, float]
    ) -> None:
        scheduler = make_scheduler(worker("a", 1))
        scheduler.submit(record("first", queue=queue, **first), 0.0)
        scheduler.submit(record("second", queue=queue, **second), 0.0)
        assert starts(scheduler, 0.1)[0].job == "second"

    def test_starts_stop_at_team_slice(self) -> None:
        scheduler = make_scheduler(worker("a", 8), limit=3)
        scheduler.submit(record("job", tasks=8), 0.0)
        assert len(starts(scheduler, 0.1)) == 3
        assert scheduler.why_waiting(record("job").spec.id).reason is (
            WaitReason.TEAM_AT_LIMIT
        )


def fill(scheduler: Scheduler, team: str, tasks: int) -> list[Start]:
    """Submit a job of one-core tasks and return its starts."""
    scheduler.submit(record(f"fill-{team}", team, tasks=tasks), 0.0)
    return starts(scheduler, 0.1)


class TestPreemption:
    def test_urgent_job_starts_within_grace_period(self) -> None:
        scheduler = make_scheduler(worker("a", 4))
        fill(scheduler, "press", 4)
        scheduler.submit(record("now", "radio", "deadline", resources=cores(2)), 1.0)
        victims = [d.task for d in scheduler.tick(1.0) if isinstance(d, Preempt)]
        assert len(victims) == 2
        for task in victims:
            end(scheduler, task, 1.5, EndKind.CHECKPOINTED)
        assert [start.job for start in starts(scheduler, 1.5)] == ["now"]

    def test_victim_that_does_not_checkpoint_is_stopped(self) -> None:
        scheduler = make_scheduler(worker("a", 1))
        fill(scheduler, "press", 1)
        scheduler.submit(record("now", "radio", "deadline"), 1.0)
        scheduler.tick(1.0)
        (stop,) = scheduler.tick(1.9)
        assert isinstance(stop, Stop)

    def test_team_below_share_reclaims_resources(self) -> None:
        scheduler = make_scheduler(worker("a", 8))
        fill(scheduler, "press", 16)
        scheduler.submit(record("late", "radio", tasks=8), 1.0)
        preempted = 0
        for step in range(40):
            now_s = 1.0 + step * 0.5
            for decision in scheduler.tick(now_s):
                if isinstance(decision, Preempt):
                    preempted += 1
                    end(scheduler, decision.task, now_s, EndKind.CHECKPOINTED)
        running = scheduler.state.slices.running
        assert running == {"press": 4, "radio": 4}
        assert preempted == 4


class TestGangs:
    def test_gang_starts_all_tasks_or_none(self) -> None:
        scheduler = make_scheduler(worker("a", 4))
        (small,) = fill(scheduler, "press", 1)
        scheduler.submit(record("gang", queue="gang", tasks=4, is_gang=True), 0.2)
        assert starts(scheduler, 0.3) == []
        end(scheduler, small.task, 0.4)
        assert len(starts(scheduler, 0.5)) == 4

    def test_small_jobs_do_not_starve_a_gang(self) -> None:
        scheduler = make_scheduler(worker("a", 4), reserve_after_s=2.0)
        running = fill(scheduler, "press", 4)
        scheduler.submit(record("gang", queue="gang", tasks=4, is_gang=True), 0.5)
        started: list[str] = []
        for step in range(120):
            now_s = 1.0 + step * 0.5
            scheduler.submit(record(f"small-{step}", at_s=now_s), now_s)
            if running and step % 2:
                end(scheduler, running.pop(0).task, now_s)
            new = starts(scheduler, now_s)
            running.extend(new)
            started.extend(start.job for start in new)
            if "gang" in started:
                return
        raise AssertionError("the gang did not start")

    def test_failed_task_restarts_the_whole_gang(self) -> None:
        scheduler = make_scheduler(worker("a", 4), worker("b", 4))
        scheduler.submit(record("gang", queue="gang", tasks=2, is_gang=True), 0.0)
        first, second = starts(scheduler, 0.1)
        end(scheduler, first.task, 1.0, EndKind.FAILED)
        (stop,) = scheduler.tick(1.0)
        assert isinstance(stop, Stop)
        assert stop.task == second.task
        end(scheduler, second.task, 1.1, EndKind.STOPPED)
        assert len(starts(scheduler, 5.0)) == 2


class TestRefusals:
    @pytest.mark.parametrize(
        ("fields", "reason"),
        [
            ({"resources": cores(9)}, RefusalReason.LARGER_THAN_ANY_HOST),
            ({"resources": cores(1, 1)}, RefusalReason.LARGER_THAN_ANY_HOST),
            ({"resources": cores(-1)}, RefusalReason.NEGATIVE_RESOURCES),
            ({"queue": "none"}, RefusalReason.UNKNOWN_QUEUE),
            ({"tasks": 9, "is_gang": True}, RefusalReason.GANG_LARGER_THAN_CELL),
            ({"tasks": 600, "is_gang": True}, RefusalReason.GANG_TOO_LARGE),
            ({"max_run_s": 1e6}, RefusalReason.RUN_TIME_OVER_QUEUE_LIMIT),
        ],
    )
    def test_refuses_job_that_can_never_run(
        self, fields: dict[str, object], reason: RefusalReason
    ) -> None:
        scheduler = make_scheduler(worker("a", 8))
        with pytest.raises(JobRefusedError) as refused:
            scheduler.submit(record("job", **fields), 0.0)  # type: ignore[arg-type]
        assert refused.value.reason is reason


class TestCancellation:
    def test_cancels_thousands_of_jobs_at_once(self) -> None:
        scheduler = make_scheduler(worker("a", 1))
        records = [record(f"job-{number}") for number in range(2_000)]
        for job in records:
            scheduler.submit(job, 0.0)
        (started,) = starts(scheduler, 0.1)
        assert scheduler.cancel([job.spec.id for job in records], 0.2) == 2_000
        end(scheduler, started.task, 0.3, EndKind.STOPPED)
        assert {job.state for job in records} == {JobState.CANCELLED}
        assert not scheduler.has_waiting


def test_queues_cover_every_policy() -> None:
    assert len(QUEUES) == 4
