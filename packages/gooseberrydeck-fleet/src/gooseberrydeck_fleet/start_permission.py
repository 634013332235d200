"""Whether a task may start, and what forbids it.

While a job may have unknown runs, those of a predecessor that workers have not reported
yet, only tasks start of which none can be left: the functions named after events keep
track of these.
"""

from enum import Enum

from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Run, Step, Task, Worker

__all__ = [
    "StartObstacle",
    "attempts_may_be_used_up",
    "dependency_ended",
    "find_run_obstacle",
    "find_start_obstacle",
    "find_step_obstacle",
    "has_startable_tasks",
    "may_copy",
    "may_have_unknown_runs",
    "run_adopted",
    "startable_tasks",
    "worker_fenced",
]


class StartObstacle(Enum):
    """What forbids the start of a task."""

    JOB_ENDED = "job_ended"
    QUEUE_NOT_CONFIGURED = "queue_not_configured"
    DEPENDENCIES_OPEN = "dependencies_open"
    TASK_DONE = "task_done"
    RUNS_KNOWN = "runs_known"
    UNKNOWN_RUNS = "unknown_runs"
    MAY_START_LATE = "may_start_late"
    ATTEMPTS_USED_UP = "attempts_used_up"
    CRASH_NOT_STORED = "crash_not_stored"


def find_start_obstacle(task: Task) -> StartObstacle | None:
    """Return what forbids the start of a task, or None if it may start."""
    return find_step_obstacle(task.step) or find_task_obstacle(task)


def startable_tasks(step: Step) -> list[Task]:
    """Return the tasks of a step that may start."""
    if find_step_obstacle(step) is not None:
        return []
    return [task for task in step.tasks if find_task_obstacle(task) is None]


def has_startable_tasks(step: Step) -> bool:
    """Return True if a task of a step may start."""
    if find_step_obstacle(step) is not None:
        return False
    return any(find_task_obstacle(task) is None for task in step.tasks)


def may_copy(task: Task) -> bool:
    """Return True if a second run of a speculative task may start beside the first."""
    is_open = not (task.is_done or task.step.job.state.is_final)
    return is_open and len(task.runs) == 1


def find_step_obstacle(step: Step) -> StartObstacle | None:
    """Return what forbids the start of all tasks of a step."""
    job = step.job
    if job.state.is_final:
        return StartObstacle.JOB_ENDED
    if job.has_unconfigured_queue:
        return StartObstacle.QUEUE_NOT_CONFIGURED
    after, ref = step.spec.after, step.ref
    while step.dependencies_met < len(after):
        earlier = StepRef(ref.job, ref.occurrence, after[step.dependencies_met])
        if not job.steps[earlier].is_done:
            return StartObstacle.DEPENDENCIES_OPEN
        step.dependencies_met += 1
    return None


def find_task_obstacle(task: Task) -> StartObstacle | None:
    """Return what forbids the start of a task besides what concerns its whole step."""
    if task.is_done:
        return StartObstacle.TASK_DONE
    if task.runs:
        return StartObstacle.RUNS_KNOWN
    return find_earlier_runs_obstacle(task)


def find_run_obstacle(run: Run) -> StartObstacle | None:
    """Return what forbids to start a run that is recorded but has not been sent.

    Its task may have another run only if its step permits copies.
    """
    task = run.task
    obstacle = find_step_obstacle(task.step)
    if obstacle is not None:
        return obstacle
    if task.is_done:
        return StartObstacle.TASK_DONE
    if len(task.runs) == 1:
        return find_earlier_runs_obstacle(task)
    return None if task.step.spec.is_speculative else StartObstacle.RUNS_KNOWN


def find_earlier_runs_obstacle(task: Task) -> StartObstacle | None:
    """Return what forbids the start of a task because of runs that ended, or may exist.

    A task that is blamed for a crash waits until that is stored, so that its crashes
    are counted whatever becomes of this scheduler.
    """
    step = task.step
    job = step.job
    if job.may_have_unknown_runs and may_have_unknown_runs(task):
        return StartObstacle.UNKNOWN_RUNS
    if job.late_starts and task.ref in job.late_starts:
        return StartObstacle.MAY_START_LATE
    if (
        task.failures
        and len(task.failures) >= job.queue.max_attempts
        and not step.spec.is_standing
    ):
        return StartObstacle.ATTEMPTS_USED_UP
    if (
        task.crashes
        and job.crashes_stored < job.crashes_counted
        and any(record.is_counted for record in task.crashes.values())
    ):
        return StartObstacle.CRASH_NOT_STORED
    return None


# Tasks without unknown runs, in jobs that may have some.


def may_have_unknown_runs(task: Task) -> bool:
    """Return True if a task of a job with unknown runs may have some.

    Until all workers have reported, a predecessor may have started any task. Exceptions
    are tasks whose run was known here when the predecessor stopped acting, unless
    failures that are not listed yet use up their attempts, and tasks of steps that
    became ready later.
    """
    return not (task.step.is_safe_to_start or task.is_safe_to_start)


def run_adopted(ledger: Ledger, run: Run, now_s: float) -> None:
    """Record that a worker has reported a predecessor's run of a task."""
    is_fenced = now_s >= run.worker.fenced_from_s
    run.task.is_safe_to_start = ledger.is_sole_scheduler and is_fenced


def worker_fenced(ledger: Ledger, worker: Worker) -> None:
    """Record that no predecessor learns any more of the runs on a worker."""
    for run in worker.runs.values():
        run.task.is_safe_to_start = True
        ledger.touch(run.task.step.job)


def attempts_may_be_used_up(task: Task) -> None:
    """Record that workers which have not reported may list a task's last failures."""
    step = task.step
    for member in step.tasks if step.spec.is_gang else [task]:
        member.is_safe_to_start = False


def dependency_ended(ledger: Ledger, run: Run, now_s: float) -> None:
    """Mark the steps that depend on the task of a run as having no unknown runs.

    The run was known here before it ended, and its worker has answered no predecessor
    since, so none can have started the dependent steps. That doesn't hold if an unknown
    run, of another gang member or a copy, may have ended for it.
    """
    task, step = run.task, run.task.step
    if not step.job.may_have_unknown_runs or not ledger.is_sole_scheduler:
        return
    if now_s < run.worker.fenced_from_s:
        return
    others = [each for each in step.tasks if each is not task]
    is_gang_known = all(other.runs for other in others)
    if step.spec.is_speculative or (step.spec.is_gang and not is_gang_known):
        return
    for dependent in step.job.steps.values():
        is_same_occurrence = dependent.ref.occurrence == step.ref.occurrence
        if is_same_occurrence and step.ref.step in dependent.spec.after:
            dependent.is_safe_to_start = True
