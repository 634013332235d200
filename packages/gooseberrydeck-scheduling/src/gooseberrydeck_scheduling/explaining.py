"""Explanations of why jobs are waiting."""

from gooseberrydeck_scheduling.checks import find_refusal_by_size, format_resources
from gooseberrydeck_scheduling.decisions import WaitReason, WaitReport
from gooseberrydeck_scheduling.ordering import TrackedJob
from gooseberrydeck_scheduling.state import SchedulerState

__all__ = ["explain_wait"]


def explain_wait(state: SchedulerState, job: TrackedJob) -> WaitReport:
    """Return the first reason that keeps a job's next task from starting."""
    reason, detail = find_reason(state, job)
    return WaitReport(
        job.id,
        reason,
        detail,
        len(job.pending) + len(job.unconfirmed),
        len(job.running),
    )


def find_reason(state: SchedulerState, job: TrackedJob) -> tuple[WaitReason, str]:
    """Return the reason why a job waits, and an explanation."""
    if job.unconfirmed:
        detail = "a task may still run on a worker that has not been reached"
        return WaitReason.MAY_STILL_RUN, detail
    delayed = [entry for entry in state.delayed if entry[2] == job.id]
    if not job.pending and not delayed:
        return WaitReason.NOT_WAITING, "no task of the job waits"
    if delayed and not job.pending:
        return WaitReason.RETRY_DELAY, f"{len(delayed)} tasks wait for their retry"
    return find_reason_of_pending(state, job)


def find_reason_of_pending(
    state: SchedulerState, job: TrackedJob
) -> tuple[WaitReason, str]:
    """Return the reason why a pending task does not start, and an explanation."""
    spec = job.spec
    wanted_tasks = len(job.pending) if spec.is_gang else 1
    remaining = state.slices.remaining(spec.team)
    if remaining < wanted_tasks:
        detail = f"team {spec.team} may start {remaining} more tasks in this shard"
        return WaitReason.TEAM_AT_LIMIT, detail
    refusal = find_refusal_by_size(spec, state.cell)
    if refusal is not None:
        return WaitReason.NO_HOST_LARGE_ENOUGH, refusal.detail
    reservation = state.reservations.by_job.get(job.id)
    if reservation is not None:
        detail = f"{reservation.held_count} of {reservation.count} rooms are held"
        return WaitReason.RESERVING, detail
    if not state.cell.placer.may_fit(spec.resources, wanted_tasks):
        detail = (
            f"no room for {wanted_tasks} of {format_resources(spec.resources)}; "
            f"team {spec.team} uses {state.shares.dominant_share(spec.team):.1%} "
            "of the cell"
        )
        return WaitReason.NO_ROOM, detail
    return WaitReason.BEHIND_OTHERS, "work with a better place in the order goes first"
