"""The workers of one scheduler and the resources committed on them."""

from collections.abc import Iterator
from typing import Protocol

from gooseberrydeck_coordination.ids import DataCentre, HostName, JobId, Rack, TaskId
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.exceptions import (
    OvercommitError,
    UnknownTaskError,
    UnknownWorkerError,
)
from gooseberrydeck_scheduling.workers import (
    RunningTask,
    WorkerInfo,
    WorkerState,
    WorkerStatus,
)

__all__ = ["Cell", "Placer"]


class Placer(Protocol):
    """Strategy that selects a worker for a task and is notified of worker changes."""

    def update(self, worker: WorkerState) -> None:
        """Add or update a worker that accepts tasks."""

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker, if present."""

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return a worker on which ``wanted`` fits, or None."""

    def may_fit(self, wanted: Resources, count: int) -> bool:
        """Return False only if ``count`` tasks of this size certainly do not fit."""


class Cell:
    """The workers of one scheduler, and what is committed on each.

    New tasks are never committed beyond a worker's capacity.
    """

    def __init__(self, placer: Placer) -> None:
        """Create a cell without workers."""
        self.placer = placer
        self.workers: dict[HostName, WorkerState] = {}
        self.tasks: dict[TaskId, RunningTask] = {}
        self.by_rack: dict[tuple[DataCentre, Rack], dict[HostName, WorkerState]] = {}
        self.capacity = Resources()
        self.freed_workers: dict[HostName, WorkerState] = {}

    def __iter__(self) -> Iterator[WorkerState]:
        """Iterate over all workers."""
        return iter(self.workers.values())

    def worker(self, host: HostName) -> WorkerState:
        """Return a worker, or raise ``UnknownWorkerError``."""
        try:
            return self.workers[host]
        except KeyError:
            raise UnknownWorkerError(host) from None

    def task(self, task: TaskId) -> RunningTask:
        """Return a running task, or raise ``UnknownTaskError``."""
        try:
            return self.tasks[task]
        except KeyError:
            raise UnknownTaskError(task) from None

    def add(self, info: WorkerInfo) -> WorkerState:
        """Add a worker, or replace one on which nothing is committed."""
        if info.host in self.workers:
            self.remove(info.host)
        worker = WorkerState(info)
        self.workers[info.host] = worker
        rack = self.by_rack.setdefault((info.data_centre, info.rack), {})
        rack[info.host] = worker
        self.capacity = self.capacity + info.capacity
        self.freed_workers[info.host] = worker
        self.placer.update(worker)
        return worker

    def remove(self, host: HostName) -> tuple[RunningTask, ...]:
        """Remove a worker and return the tasks that were committed on it."""
        worker = self.worker(host)
        tasks = tuple(worker.tasks.values())
        for running in tasks:
            del self.tasks[running.task]
        self.placer.remove(worker)
        self.freed_workers.pop(host, None)
        info = worker.info
        del self.workers[host]
        del self.by_rack[(info.data_centre, info.rack)][host]
        if not self.by_rack[(info.data_centre, info.rack)]:
            del self.by_rack[(info.data_centre, info.rack)]
        self.capacity = self.capacity - info.capacity
        return tasks

    def set_info(self, info: WorkerInfo) -> None:
        """Change a worker's capacity, rack or data centre, keeping its tasks."""
        tasks = self.remove(info.host)
        self.add(info)
        for running in tasks:
            self.adopt(info.host, running)

    def set_status(self, host: HostName, status: WorkerStatus) -> None:
        """Set the status of a worker, which opens or closes it to new tasks."""
        worker = self.worker(host)
        worker.status = status
        if status is WorkerStatus.AVAILABLE:
            self.freed_workers[host] = worker
            self.placer.update(worker)
        else:
            self.placer.remove(worker)

    def commit(self, host: HostName, running: RunningTask) -> None:
        """Commit a task, or raise ``OvercommitError`` without changing anything."""
        worker = self.worker(host)
        if running.task in self.tasks or not worker.has_room(running.resources):
            raise OvercommitError(host, running.task)
        worker.allocate(running.resources)
        worker.tasks[running.task] = running
        running.host = host
        self.tasks[running.task] = running
        self.notify_placer(worker)

    def adopt(self, host: HostName, running: RunningTask) -> None:
        """Commit a task that is already running.

        The free resources of the worker may become negative.
        """
        worker = self.worker(host)
        worker.allocate(running.resources)
        worker.tasks[running.task] = running
        running.host = host
        self.tasks[running.task] = running
        self.notify_placer(worker)

    def release(self, task: TaskId) -> RunningTask:
        """Free the resources of a task, or raise ``UnknownTaskError``."""
        running = self.task(task)
        del self.tasks[task]
        worker = self.workers[running.host]
        del worker.tasks[task]
        worker.deallocate(running.resources)
        self.freed_workers[worker.host] = worker
        self.notify_placer(worker)
        return running

    def hold(self, host: HostName, job: JobId, amount: Resources) -> bool:
        """Hold free resources for a reservation; return False if they are not free."""
        worker = self.worker(host)
        if worker.status is not WorkerStatus.AVAILABLE or not worker.has_room(amount):
            return False
        worker.allocate(amount)
        worker.holds[job] = worker.holds.get(job, NO_RESOURCES) + amount
        self.notify_placer(worker)
        return True

    def release_hold(self, host: HostName, job: JobId, amount: Resources) -> None:
        """Free resources that were held for a reservation."""
        worker = self.worker(host)
        left = worker.holds.pop(job) - amount
        if left != NO_RESOURCES:
            worker.holds[job] = left
        worker.deallocate(amount)
        self.freed_workers[worker.host] = worker
        self.notify_placer(worker)

    def take_freed(self) -> list[WorkerState]:
        """Return the available workers that freed resources since the last call."""
        freed_workers = [
            worker
            for worker in self.freed_workers.values()
            if worker.status is WorkerStatus.AVAILABLE
        ]
        self.freed_workers = {}
        return freed_workers

    def notify_placer(self, worker: WorkerState) -> None:
        """Pass a worker's new free resources to the placer if it is available."""
        if worker.status is WorkerStatus.AVAILABLE:
            self.placer.update(worker)
