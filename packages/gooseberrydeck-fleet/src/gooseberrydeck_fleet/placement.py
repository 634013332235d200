"""Selection of the workers that tasks run on."""

from collections import Counter
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

INTERFERENCE_PENALTY = 5.0
"""Ranks workers last on which best-effort and latency-target tasks would meet."""


ENDANGERED_PENALTY = 8.0
"""Ranks workers last on which a task may be about to cause a crash."""

COLD_PENALTY = 7.0
"""Ranks workers last that are still slow after their start.

It exceeds the penalty of a worker that is ten times as slow, but not that of a crash.
"""


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
        self.reserved: Counter[StepRef] = Counter()
        self.ready: dict[ServiceName, dict[WorkerId, Worker]] = {}
        # Counts the workers that were considered, as a measure of the work done.
        self.checked = 0
        self.now_s = 0.0

    def refresh(self, now_s: float) -> None:
        """Update the time, and the workers that accept runs if that may have changed.

        Workers that accept runs again count as freed.
        """
        self.now_s = now_s
        ledger = self.ledger
        if not (ledger.have_workers_changed or ledger.health.has_changed):
            return
        ledger.have_workers_changed = ledger.health.has_changed = False
        before, self.ready = self.ready, {}
        for worker in ledger.workers.values():
            if not worker.can_start or not ledger.health.is_usable(worker.id, now_s):
                continue
            service = worker.entry.service
            self.ready.setdefault(service, {})[worker.id] = worker
            if worker.id not in before.get(service, ()):
                ledger.freed[worker.id] = worker

    def ready_workers(self, service: ServiceName) -> dict[WorkerId, Worker]:
        """Return the workers of a service that accept runs."""
        return self.ready.get(service, {})

    def usable(self, step: Step) -> list[Worker]:
        """Return the workers that can run a step when they have free capacity."""
        allocation = step.allocation
        ready = self.ready_workers(step.job.queue.service)
        self.checked += len(ready)
        return [
            worker
            for worker in ready.values()
            if self.has_label(worker, step)
            and allocation.fits_in(worker.entry.capacity)
        ]

    def has_label(self, worker: Worker, step: Step) -> bool:
        """Return True if a worker has the label that a step requires."""
        label = step.spec.required_label
        return not label or label in worker.entry.labels

    def permitted(self, step: Step, now_s: float) -> list[Worker]:
        """Return the usable workers, limited to valid tickets if advice is required."""
        if step.job.queue.advice is None:
            return self.usable(step)
        ready = self.ready_workers(step.job.queue.service)
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
        """Return how many tasks of a step fit on a worker now.

        A long-running task may have to start beside a suspect, if ``rank`` finds no
        better worker: that one may take long until it is cleared.
        """
        if not step.spec.is_standing and self.ledger.suspects.is_reserved(worker):
            return 0
        free = self.free_for(worker, step)
        need = step.allocation
        cpu, memory, accelerators = free.cpu_millis, free.memory_mib, free.accelerators
        if cpu < 0 or memory < 0 or accelerators < 0:
            return 0
        count = step.spec.count
        if need.cpu_millis:
            count = min(count, cpu // need.cpu_millis)
        if need.memory_mib:
            count = min(count, memory // need.memory_mib)
        if need.accelerators:
            count = min(count, accelerators // need.accelerators)
        if not count:
            return 0
        if step.spec.uses_leftover:
            count = min(count, self.leftover_slots(worker, step))
        if step.spec.max_per_worker:
            count = min(count, step.spec.max_per_worker - self.count_runs(worker, step))
        return max(0, count)

    def with_room(
        self, workers: Iterable[Worker], step: Step
    ) -> list[tuple[int, Worker]]:
        """Return the workers on which a task of a step fits now, with their slots."""
        cpu_millis = step.allocation.cpu_millis
        found = []
        for worker in workers:
            # Most workers of a full fleet fail this check, which is quick.
            if worker.free.cpu_millis < cpu_millis:
                continue
            slots = self.slots(worker, step)
            if slots >= 1:
                found.append((slots, worker))
        return found

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

    def rank(self, worker: Worker, step: Step) -> float:
        """Return the rank of a worker for a step; the lowest rank is best.

        Tasks are packed tightly, so that large tasks and gangs find empty workers.
        """
        free = worker.free
        capacity = worker.entry.capacity
        rank = (free.cpu_millis - step.allocation.cpu_millis) / max(
            1, capacity.cpu_millis
        )
        slowness = self.ledger.speeds.slowness(worker.id, worker.entry.kind)
        rank += SLOWNESS_WEIGHT * step.speed_preference * slowness
        if self.is_in_other_rack(worker, step):
            rank += OTHER_RACK_PENALTY
        if self.would_interfere(worker, step):
            rank += INTERFERENCE_PENALTY
        if self.ledger.suspects.is_endangered(worker):
            rank += ENDANGERED_PENALTY
        if worker.is_cold(self.now_s):
            rank += COLD_PENALTY
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

    def separate_workers(
        self, step: Step, suspects: Iterable[Task], workers: list[Worker], now_s: float
    ) -> dict[Task, Worker]:
        """Return a separate worker for each of the suspects that can have one.

        They may be on all workers at once, since a gang starts as a whole.
        """
        tracker = self.ledger.suspects
        occupied = set(tracker.occupied_workers())
        max_occupied = len(occupied) + step.spec.count
        free = [worker for worker in workers if self.slots(worker, step) >= 1]
        free.sort(key=lambda worker: len(worker.runs))
        found: dict[Task, Worker] = {}
        for task in suspects:
            for worker in tracker.without_crashed(task, free, now_s):
                if tracker.allows(task, worker, occupied, max_occupied, now_s):
                    found[task] = worker
                    occupied.add(worker.id)
                    free.remove(worker)
                    break
        return found

    def choose_rack(
        self, workers: Iterable[Worker], step: Step, wanted: int
    ) -> list[Worker]:
        """Return candidate workers for ``wanted`` tasks, from one rack if required.

        The rack with the least free processors that fits all tasks is chosen, if
        possible one that needs no cold workers for it, or all workers if none fits.
        Once tasks of the step run, ``rank`` keeps the others in their rack.
        """
        workers = list(workers)
        if not step.spec.same_rack or any(task.runs for task in step.tasks):
            return workers
        by_rack: dict[str, list[Worker]] = {}
        for worker in workers:
            by_rack.setdefault(worker.entry.rack, []).append(worker)
        fitting: list[tuple[bool, int, list[Worker]]] = []
        for rack in by_rack.values():
            slots = {worker: self.slots(worker, step) for worker in rack}
            if sum(slots.values()) < wanted:
                continue
            cold = sum(slots[each] for each in rack if each.is_cold(self.now_s))
            needs_cold = sum(slots.values()) - cold < wanted
            free_cpu_millis = sum(worker.free.cpu_millis for worker in rack)
            fitting.append((needs_cold, free_cpu_millis, rack))
        if not fitting:
            return workers
        return min(fitting, key=lambda each: each[:2])[2]

    def reserve(self, worker: Worker, reservation: Reservation) -> None:
        """Add a reservation on a worker."""
        self.reservations.setdefault(worker.id, []).append(reservation)
        self.reserved[reservation.step] += 1

    def consume_reservation(self, worker: Worker, step: Step) -> None:
        """Remove one reservation of a step after a task of it has started."""
        held = self.reservations.get(worker.id, [])
        for reservation in held:
            if reservation.step == step.ref:
                held.remove(reservation)
                self.release(reservation)
                return

    def cancel_reservations(self, worker: Worker) -> None:
        """Remove all reservations on a worker on which nothing may start any more."""
        for reservation in self.reservations.pop(worker.id, ()):
            self.release(reservation)

    def release(self, reservation: Reservation) -> None:
        """Count a reservation of a step less."""
        self.reserved[reservation.step] -= 1
        if not self.reserved[reservation.step]:
            del self.reserved[reservation.step]

    def expire(self, now_s: float) -> None:
        """Remove expired reservations, whose workers count as freed."""
        for worker_id, held in list(self.reservations.items()):
            kept = [each for each in held if each.until_s > now_s]
            for reservation in held:
                if reservation.until_s <= now_s:
                    self.release(reservation)
            worker = self.ledger.workers.get(worker_id)
            if worker is not None and len(kept) < len(held):
                self.ledger.freed[worker_id] = worker
            if kept:
                self.reservations[worker_id] = kept
            else:
                del self.reservations[worker_id]
