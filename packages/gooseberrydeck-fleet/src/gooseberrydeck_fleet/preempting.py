"""Making room for urgent work by stopping work that resumes where it was.

Answers a full fleet in which urgent jobs arrive: long tasks hold all the room.
"""

from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ends import EndHandler
from gooseberrydeck_fleet.placement import Placer, Reservation
from gooseberrydeck_fleet.state import Run, RunState, Step, StopReason, Worker

__all__ = ["Preempter"]

RESERVATION_MARGIN_S = 0.6
"""How long room stays held after the longest stop; covers one more hold and a start."""


class Preempter:
    """Stop the least work of lower priority that makes room for a step."""

    def __init__(self, placer: Placer, ends: EndHandler, stop_s: float) -> None:
        """Stops take up to ``stop_s`` seconds."""
        self.placer = placer
        self.ends = ends
        self.hold_s = stop_s + RESERVATION_MARGIN_S

    def make_room(
        self, step: Step, workers: list[Worker], wanted: int, now_s: float
    ) -> int:
        """Stop victims for up to ``wanted`` tasks; return how many will fit."""
        held = sum(
            1
            for reservations in self.placer.reservations.values()
            for reservation in reservations
            if reservation.step == step.ref
        )
        made = 0
        for _ in range(wanted - held):
            found = self.find_victims(step, workers)
            if found is None:
                break
            worker, victims = found
            for run in victims:
                self.ends.request_stop(run, StopReason.PREEMPTED)
            room = step.spec.room
            self.placer.reserve(
                worker, Reservation(step.ref, room, now_s + self.hold_s)
            )
            made += 1
        return made

    def find_victims(
        self, step: Step, workers: list[Worker]
    ) -> tuple[Worker, list[Run]] | None:
        """Return the worker with the cheapest victims for one task, and these."""
        best: tuple[int, Worker, list[Run]] | None = None
        for worker in workers:
            victims = self.victims_on(worker, step)
            if victims is None:
                continue
            cost = sum(run.usage.cpu_millis for run in victims)
            if best is None or cost < best[0]:
                best = (cost, worker, victims)
        return None if best is None else (best[1], best[2])

    def victims_on(self, worker: Worker, step: Step) -> list[Run] | None:
        """Return the runs to stop so that a task fits, or None if it cannot."""
        if step.spec.max_per_worker:
            if self.placer.running_of(worker, step) >= step.spec.max_per_worker:
                return None
        # Room that is being stopped counts as free: it will be before the start.
        free = worker.free
        for run in worker.runs.values():
            if run.state is RunState.STOPPING:
                free = free + run.room
        for reservation in self.placer.reservations.get(worker.id, ()):
            free = free - reservation.amount
        return choose_victims(free, step, list(worker.runs.values()))


def choose_victims(free: Resources, step: Step, runs: list[Run]) -> list[Run] | None:
    """Return some runs of lower priority that free enough room, or None.

    The largest go first, so that as few as possible are stopped; then those are spared
    that turn out not to be needed.
    """
    need = step.spec.room
    chosen: list[Run] = []
    candidates = [run for run in runs if may_preempt(run, step)]
    for run in sorted(candidates, key=lambda run: -run.room.cpu_millis):
        if need.fits_in(free):
            break
        chosen.append(run)
        free = free + run.room
    if not need.fits_in(free):
        return None
    for run in sorted(chosen, key=lambda run: run.room.cpu_millis):
        if need.fits_in(free - run.room):
            chosen.remove(run)
            free = free - run.room
    return chosen


def may_preempt(run: Run, step: Step) -> bool:
    """Tell whether a run may be stopped for a step."""
    spec = run.task.step.spec
    return (
        run.state is RunState.RUNNING
        and spec.saves_progress
        and not spec.is_gang
        and not spec.is_standing
        and run.task.step.job.queue.priority > step.job.queue.priority
    )
