"""Checks for jobs that can never run."""

from collections.abc import Mapping

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.decisions import Refuse
from gooseberrydeck_scheduling.exceptions import RefusalReason
from gooseberrydeck_scheduling.jobs import JobSpec
from gooseberrydeck_scheduling.reservations import count_fitting
from gooseberrydeck_scheduling.rules import QueueRules, SchedulerSettings

__all__ = ["find_refusal", "find_refusal_by_size"]


def find_refusal(
    spec: JobSpec,
    rules: Mapping[QueueName, QueueRules],
    settings: SchedulerSettings,
    team_limits: Mapping[TeamName, int],
) -> Refuse | None:
    """Check a job against the rules of its queue and the limits.

    Return the reason why no cell with these rules can ever run the job, or None.
    """
    wanted = spec.resources
    queue = rules.get(spec.queue)
    if spec.tasks < 1:
        return Refuse(spec.id, RefusalReason.NO_TASKS, "a job needs a task")
    if min(wanted.cpu_millis, wanted.memory_mib, wanted.accelerators) < 0:
        return Refuse(
            spec.id, RefusalReason.NEGATIVE_RESOURCES, "a resource is negative"
        )
    if queue is None:
        return Refuse(
            spec.id, RefusalReason.UNKNOWN_QUEUE, f"there is no queue {spec.queue}"
        )
    if not spec.is_standing and spec.max_run_s > queue.max_run_s:
        return Refuse(
            spec.id,
            RefusalReason.RUN_TIME_OVER_QUEUE_LIMIT,
            f"queue {queue.name} runs tasks for at most {queue.max_run_s:g} s",
        )
    if not spec.is_gang:
        return None
    if spec.tasks > settings.max_gang_tasks:
        return Refuse(
            spec.id,
            RefusalReason.GANG_TOO_LARGE,
            f"a gang has at most {settings.max_gang_tasks} tasks",
        )
    limit = team_limits.get(spec.team)
    if limit is not None and spec.tasks > limit:
        return Refuse(
            spec.id,
            RefusalReason.GANG_OVER_TEAM_LIMIT,
            f"team {spec.team} runs at most {limit} tasks at once",
        )
    return None


def find_refusal_by_size(spec: JobSpec, cell: Cell) -> Refuse | None:
    """Check whether a job would fit if the cell were empty.

    Return the reason why it does not, or None. A cell without workers refuses nothing,
    since its workers may not have been discovered yet.
    """
    if not cell.workers:
        return None
    slots = 0
    wanted = spec.tasks if spec.is_gang else 1
    for worker in cell:
        slots += count_fitting(worker.info.capacity, spec.resources)
        if slots >= wanted:
            return None
    if not slots:
        detail = f"no host holds {format_resources(spec.resources)}"
        return Refuse(spec.id, RefusalReason.LARGER_THAN_ANY_HOST, detail)
    detail = f"the hosts hold {slots} of its {spec.tasks} tasks at once"
    return Refuse(spec.id, RefusalReason.GANG_LARGER_THAN_CELL, detail)


def format_resources(wanted: Resources) -> str:
    """Format resources for submitters and operators."""
    return (
        f"{wanted.cpu_millis / 1000:g} processors, {wanted.memory_mib} MiB and "
        f"{wanted.accelerators} accelerators"
    )
