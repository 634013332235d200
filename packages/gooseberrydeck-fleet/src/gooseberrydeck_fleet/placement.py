"""Choosing the worker of a task."""

from collections.abc import Iterable

from gooseberrydeck_coordination.ids import ServiceName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.state import Step, Task, Worker

__all__ = ["Placer", "Reservation"]

OTHER_RACK_PENALTY = 10.0
"""Ranks a worker far from the data, or from siblings, behind nearly every near one."""

SLOWNESS_WEIGHT = 3.0
"""Rank for each e-fold of slowness: a third slower outweighs any packing."""

FAILED_PENALTY = 20.0
"""Ranks a worker on which the task has failed behind all others."""

AVOID_FAILED_S = 3.0
"""How long a task waits for another worker rather than return where it failed."""

INTERFERENCE_PENALTY = 5.0
"""Ranks workers on which tasks that serve and tasks that fill would meet last."""


class Reservation:
    """Room that is being freed for one step, until a time."""

    __slots__ = ("amount", "step", "until_s")

    def __init__(self, step: StepRef, amount: Resources, until_s: float) -> None:
        """Hold ``amount`` for ``step`` until ``until_s``."""
        self.step = step
        self.amount = amount
        self.until_s = until_s


class Placer:
    """Tell which workers could run a step, and which of them is best now."""

    def __init__(self, ledger: Ledger) -> None:
        """Look at one ledger."""
        self.ledger = ledger
        self.reservations: dict[WorkerId, list[Reservation]] = {}
        self.ready: dict[ServiceName, dict[WorkerId, Worker]] = {}

    def begin_pass(self) -> None:
        """Forget which workers were ready at the last decision."""
        self.ready.clear()

    def ready_workers(
        self, service: ServiceName, now_s: float
    ) -> dict[WorkerId, Worker]:
        """Return the workers of a service that take work, computed once a pass."""
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
        """Return the workers that may run a step when they have room."""
        allocation = step.spec.allocation
        label = step.spec.required_label
        return [
            worker
            for worker in self.ready_workers(step.job.queue.service, now_s).values()
            if (not label or label in worker.entry.labels)
            and allocation.fits_in(worker.entry.capacity)
        ]

    def permitted(self, step: Step, now_s: float) -> list[Worker]:
        """Return the workers on which a start of a step would be allowed now."""
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
        """Return a worker's free room, less what is held for other steps."""
        free = worker.free
        for reservation in self.reservations.get(worker.id, ()):
            if reservation.step != step.ref:
                free = free - reservation.amount
        return free

    def slots(self, worker: Worker, step: Step) -> int:
        """Return how many tasks of a step a worker has room for."""
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
        """Return how many tasks could work with the processors left unused."""
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
        """Return how many runs of a step a worker has."""
        return sum(1 for run in worker.runs.values() if run.task.step is step)

    def choose(
        self, workers: Iterable[Worker], task: Task, now_s: float
    ) -> Worker | None:
        """Return the best worker with room for a task, or None."""
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
        """Return how well a worker suits a step; the lowest rank is best.

        Packs tightly, so that large tasks and gangs find whole workers.
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
        """Tell whether a task would be slow for its rack: its data or siblings."""
        rack = worker.entry.rack
        if step.spec.data_rack and step.spec.data_rack != rack:
            return True
        if not step.spec.same_rack:
            return False
        racks = {run.worker.entry.rack for task in step.tasks for run in task.runs}
        return bool(racks) and rack not in racks

    def would_interfere(self, worker: Worker, step: Step) -> bool:
        """Tell whether tasks that fill and tasks with a target would meet."""
        spec = step.spec
        if spec.uses_leftover:
            return any(run.task.step.spec.target_s for run in worker.runs.values())
        if spec.target_s:
            return any(run.task.step.spec.uses_leftover for run in worker.runs.values())
        return False

    def choose_rack(
        self, workers: Iterable[Worker], step: Step, wanted: int
    ) -> list[Worker]:
        """Return workers that have room for ``wanted`` tasks, of one rack if needed.

        Once tasks of the step run, the rank of a worker keeps the others near them.
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
        """Hold room that is being freed on a worker."""
        self.reservations.setdefault(worker.id, []).append(reservation)

    def consume_reservation(self, worker: Worker, step: Step) -> None:
        """Drop a reservation that a start has used."""
        held = self.reservations.get(worker.id, [])
        for reservation in held:
            if reservation.step == step.ref:
                held.remove(reservation)
                return

    def expire(self, now_s: float) -> None:
        """Drop reservations whose time is over."""
        for worker, held in list(self.reservations.items()):
            kept = [each for each in held if each.until_s > now_s]
            if kept:
                self.reservations[worker] = kept
            else:
                del self.reservations[worker]
