"""Builders of jobs, workers and schedulers for tests."""

from typing import Any

from gooseberrydeck_coordination.ids import (
    DataCentre,
    HostName,
    JobId,
    QueueName,
    Rack,
    TaskId,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling import (
    EndKind,
    JobRecord,
    JobSpec,
    OrderPolicy,
    QueueRules,
    Scheduler,
    SchedulerSettings,
    Start,
    TaskEnd,
    WorkerInfo,
    new_record,
)

QUEUES = tuple(QueueRules(QueueName(policy.value), policy) for policy in OrderPolicy)
TEAMS = ("press", "radio", "print")
CORE = Resources(1_000, 1_024)


def cores(count: float, accelerators: int = 0) -> Resources:
    """Return resources of ``count`` processors with 1 GiB of memory each."""
    return Resources(round(count * 1_000), round(count * 1_024), accelerators)


def worker(
    name: str,
    count: int = 8,
    accelerators: int = 0,
    rack: str = "rack-1",
    centre: str = "lima-1",
) -> WorkerInfo:
    """Return a worker with ``count`` cores."""
    return WorkerInfo(
        HostName(name), cores(count, accelerators), Rack(rack), DataCentre(centre)
    )


def record(
    name: str, team: str = "press", queue: str = "batch", at_s: float = 0.0, **more: Any
) -> JobRecord:
    """Return the record of a job, by default with one task of one core."""
    fields: dict[str, Any] = {"resources": CORE, "max_run_s": 1_000.0, **more}
    spec = JobSpec(JobId(name), TeamName(team), QueueName(queue), **fields)
    return new_record(spec, at_s)


def make_scheduler(
    *workers: WorkerInfo, limit: int = 1_000, **settings: Any
) -> Scheduler:
    """Return a scheduler with these workers and a slice of ``limit`` for each team."""
    scheduler = Scheduler(QUEUES, SchedulerSettings(**settings))
    scheduler.set_slices({TeamName(team): limit for team in TEAMS})
    for info in workers:
        scheduler.worker_added(info, 0.0)
    return scheduler


def starts(scheduler: Scheduler, now_s: float) -> list[Start]:
    """Run a tick and return its start decisions."""
    return [
        decision for decision in scheduler.tick(now_s) if isinstance(decision, Start)
    ]


def end(
    scheduler: Scheduler,
    task: TaskId,
    now_s: float,
    kind: EndKind = EndKind.SUCCEEDED,
    run_s: float = 1.0,
) -> None:
    """Report the end of a task."""
    scheduler.task_ended(TaskEnd(task, kind, run_s), now_s)
