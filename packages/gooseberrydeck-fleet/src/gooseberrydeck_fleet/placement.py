"""Selection of the workers that tasks run on."""

from collections.abc import Iterable

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Step, Task, Worker

__all__ = ["Placer", "Reservation"]

OTHER_RACK_PENALTY = 10.0
"""Ranks workers away from the rack of the data or siblings behind nearly all others."""

SLOWNESS_WEIGHT = 3.0
"""Rank penalty for each e-fold of slowness.

A worker that is a third slower ranks behind any difference in packing.
"""

FAILED_PENALTY = 20.0
"""Ranks workers on which the task has failed behind all others."""

AVOID_FAILED_S = 3.0
"""How long a task waits for another worker before it returns to one it failed on."""

INTERFERENCE_PENALTY = 5.0
"""Ranks workers last on which best-effort and latency-target tasks would meet."""


class Reservation:
    """Capacity that is being freed for one step, held until a deadline."""

    __slots__ = ("amount", "step", "until_s")

    def __init__(self, step: StepRef, amount: Resources, until_s: float) -> None:
        """Reserve ``amount`` for ``step`` until ``until_s``."""
        self.step = step
        self.amount = amount
        self.until_s = until_s


class Placer:
    """Select the workers that can run a step and rank them."""

    def __init__(self, ledger: Ledger) -> None:
        """Place the tasks of one ledger."""
        self.ledger = ledger
        self.reservations: dict[WorkerId, list[Reservation]] = {}
        self.ready: dict[ServiceName, dict[WorkerId, Worker]] = {}

    def begin_pass(self) -> None:
        """Clear the workers that were cached during the last scheduling pass."""
        self.ready.clear()

    def ready_workers(
        self, service: ServiceName, now_s: float
    ) -> dict[WorkerId, Worker]:
        """Return the workers of a service that accept runs, cached for the pass."""
        ready = self.ready.get(service)
        if ready is None:
            health = self.ledger.health
            ready = self.ready[service] = {
                worker.id: worker
                for worker in self.ledger.workers.values()
                if worker.can_start
                and worker.entry.service == service
                and health.is_usable(worker.id, now_s)
            }
        return ready

    def usable(self, step: Step, now_s: float) -> list[Worker]:
        """Return the workers that can run a step when they have free capacity."""
        allocation = step.spec.allocation
        label = step.spec.required_label
        return [
            worker
            for worker in self.ready_workers(step.job.queue.service, now_s).values()
            if (not label or label in worker.entry.labels)
            and allocation.fits_in(worker.entry.capacity)
        ]

    def permitted(self, step: Step, now_s: float) -> list[Worker]:
        """Return the usable workers, limited to valid tickets if advice is required."""
        if step.job.queue.advice is None:
            return self.usable(step, now_s)
        ready = self.ready_workers(step.job.queue.service, now_s)
        return [
            ready[worker]
            for worker in step.advice.tickets
            if worker in ready
            and step.advice.ticket(worker, ready[worker].born_ms, now_s) is not None
        ]

    def free_for(self, worker: Worker, step: Step) -> Resources:
        """Return a worker's free capacity less the reservations of other steps."""
        free = worker.free
        for reservation in self.reservations.get(worker.id, ()):
            if reservation.step != step.ref:
                free = free - reservation.amount
        return free

    def slots(self, worker: Worker, step: Step) -> int:
        """Return how many tasks of a step fit on a worker now."""
        free = self.free_for(worker, step)
        need = step.spec.allocation
        count = step.spec.count
        for left, each in (
            (free.cpu_millis, need.cpu_millis),
            (free.memory_mib, need.memory_mib),
            (free.accelerators, need.accelerators),
        ):
            if left < 0:
                return 0
            if each:
                count = min(count, left // each)
        if step.spec.uses_leftover:
            count = min(count, self.leftover_slots(worker, step))
        if step.spec.max_per_worker:
            count = min(count, step.spec.max_per_worker - self.count_runs(worker, step))
        return max(0, count)

    def leftover_slots(self, worker: Worker, step: Step) -> int:
        """Return how many best-effort tasks the unused processors can serve."""
        cpu = step.spec.resources.cpu_millis
        if not cpu:
            return step.spec.count
        used = sum(
            run.quota_usage.cpu_millis
            for run in worker.runs.values()
            if run.task.step.spec.uses_leftover
        )
        return max(0, worker.free.cpu_millis - used) // cpu

    def count_runs(self, worker: Worker, step: Step) -> int:
        """Return the number of runs of a step on a worker."""
        return sum(1 for run in worker.runs.values() if run.task.step is step)

    def choose(
        self, workers: Iterable[Worker], task: Task, now_s: float
    ) -> Worker | None:
        """Return the best worker with free capacity for a task, or None."""
        best: Worker | None = None
        best_rank = 0.0
        step = task.step
        for worker in workers:
            if self.slots(worker, step) < 1:
                continue
            rank = self.rank(worker, step)
            failed_s = task.failed_on.get(worker.id)
            if failed_s is not None:
                if now_s - failed_s < AVOID_FAILED_S:
                    continue
                rank += FAILED_PENALTY
            if best is None or rank < best_rank:
                best, best_rank = worker, rank
        return best

    def rank(self, worker: Worker, step: Step) -> float:
        """Return the rank of a worker for a step; the lowest rank is best.

        Tasks are packed tightly, so that large tasks and gangs find empty workers.
        """
        free = worker.free
        capacity = worker.entry.capacity
        rank = (free.cpu_millis - step.spec.allocation.cpu_millis) / max(
            1, capacity.cpu_millis
        )
        slowness = self.ledger.speeds.slowness(worker.id, worker.entry.kind)
        rank += SLOWNESS_WEIGHT * slowness
        if self.is_in_other_rack(worker, step):
            rank += OTHER_RACK_PENALTY
        if self.would_interfere(worker, step):
            rank += INTERFERENCE_PENALTY
        return rank

    def is_in_other_rack(self, worker: Worker, step: Step) -> bool:
        """Return True if a worker is in another rack than a step's data or siblings."""
        rack = worker.entry.rack
        if step.spec.data_rack and step.spec.data_rack != rack:
            return True
        if not step.spec.same_rack:
            return False
        racks = {run.worker.entry.rack for task in step.tasks for run in task.runs}
        return bool(racks) and rack not in racks

    def would_interfere(self, worker: Worker, step: Step) -> bool:
        """Return True if best-effort and latency-target tasks would share a worker."""
        spec = step.spec
        if spec.uses_leftover:
            return any(run.task.step.spec.target_s for run in worker.runs.values())
        if spec.target_s:
            return any(run.task.step.spec.uses_leftover for run in worker.runs.values())
        return False

    def choose_rack(
        self, workers: Iterable[Worker], step: Step, wanted: int
    ) -> list[Worker]:
        """Return candidate workers for ``wanted`` tasks, from one rack if required.

        The rack with the least free processors that fits all tasks is chosen, or all
        workers if none does. Once tasks of the step run, ``rank`` keeps the others in
        their rack.
        """
        workers = list(workers)
        if not step.spec.same_rack or any(task.runs for task in step.tasks):
            return workers
        by_rack: dict[str, list[Worker]] = {}
        for worker in workers:
            by_rack.setdefault(worker.entry.rack, []).append(worker)
        fitting = [
            rack
            for rack in by_rack.values()
            if sum(self.slots(worker, step) for worker in rack) >= wanted
        ]
        if not fitting:
            return workers
        return min(
            fitting, key=lambda rack: sum(worker.free.cpu_millis for worker in rack)
        )

    def reserve(self, worker: Worker, reservation: Reservation) -> None:
        """Add a reservation on a worker."""
        self.reservations.setdefault(worker.id, []).append(reservation)

    def consume_reservation(self, worker: Worker, step: Step) -> None:
        """Remove one reservation of a step after a task of it has started."""
        held = self.reservations.get(worker.id, [])
        for reservation in held:
            if reservation.step == step.ref:
                held.remove(reservation)
                return

    def expire(self, now_s: float) -> None:
        """Remove expired reservations."""
        for worker, held in list(self.reservations.items()):
            kept = [each for each in held if each.until_s > now_s]
            if kept:
                self.reservations[worker] = kept
            else:
                del self.reservations[worker]
