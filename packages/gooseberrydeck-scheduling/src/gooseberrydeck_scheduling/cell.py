"""The workers of one scheduler and what is committed on them."""

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
    """Find a worker for a task; it is told of each change of a worker."""

    def update(self, worker: WorkerState) -> None:
        """Take notice of a new or changed worker."""

    def remove(self, worker: WorkerState) -> None:
        """Forget a worker."""

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return an open worker with room, or None."""

    def may_fit(self, wanted: Resources, count: int) -> bool:
        """Return False only if ``count`` such tasks certainly do not fit."""


class Cell:
    """The workers of one scheduler; nothing is committed beyond capacity."""

    def __init__(self, placer: Placer) -> None:
        """Begin without workers."""
        self.placer = placer
        self.workers: dict[HostName, WorkerState] = {}
        self.tasks: dict[TaskId, RunningTask] = {}
        self.by_rack: dict[tuple[DataCentre, Rack], dict[HostName, WorkerState]] = {}
        self.capacity = Resources()
        self.fresh: dict[HostName, WorkerState] = {}
        """The workers on which room may have become free since last asked."""

    def __iter__(self) -> Iterator[WorkerState]:
        """Iterate over the workers."""
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
        """Add a worker, or replace one that holds nothing."""
        if info.host in self.workers:
            self.remove(info.host)
        worker = WorkerState(info)
        self.workers[info.host] = worker
        rack = self.by_rack.setdefault((info.data_centre, info.rack), {})
        rack[info.host] = worker
        self.capacity = self.capacity + info.capacity
        self.fresh[info.host] = worker
        self.placer.update(worker)
        return worker

    def remove(self, host: HostName) -> tuple[RunningTask, ...]:
        """Remove a worker and return the tasks that were committed on it."""
        worker = self.worker(host)
        tasks = tuple(worker.tasks.values())
        for running in tasks:
            del self.tasks[running.task]
        self.placer.remove(worker)
        self.fresh.pop(host, None)
        info = worker.info
        del self.workers[host]
        del self.by_rack[(info.data_centre, info.rack)][host]
        if not self.by_rack[(info.data_centre, info.rack)]:
            del self.by_rack[(info.data_centre, info.rack)]
        self.capacity = self.capacity - info.capacity
        return tasks

    def set_info(self, info: WorkerInfo) -> None:
        """Take over a worker's new capacity, rack or data centre."""
        tasks = self.remove(info.host)
        self.add(info)
        for running in tasks:
            self.adopt(info.host, running)

    def set_status(self, host: HostName, status: WorkerStatus) -> None:
        """Open or close a worker to new tasks."""
        worker = self.worker(host)
        worker.status = status
        if status is WorkerStatus.AVAILABLE:
            self.fresh[host] = worker
            self.placer.update(worker)
        else:
            self.placer.remove(worker)

    def commit(self, host: HostName, running: RunningTask) -> None:
        """Commit a task, or raise ``OvercommitError`` and change nothing."""
        worker = self.worker(host)
        if running.task in self.tasks or not worker.has_room(running.resources):
            raise OvercommitError(host, running.task)
        worker.take(running.resources)
        worker.tasks[running.task] = running
        running.host = host
        self.tasks[running.task] = running
        self.changed(worker)

    def adopt(self, host: HostName, running: RunningTask) -> None:
        """Take in a task that runs already; what is free may become negative."""
        worker = self.worker(host)
        worker.take(running.resources)
        worker.tasks[running.task] = running
        running.host = host
        self.tasks[running.task] = running
        self.changed(worker)

    def release(self, task: TaskId) -> RunningTask:
        """Release what a task held, or raise ``UnknownTaskError``."""
        running = self.task(task)
        del self.tasks[task]
        worker = self.workers[running.host]
        del worker.tasks[task]
        worker.give_back(running.resources)
        self.fresh[worker.host] = worker
        self.changed(worker)
        return running

    def hold(self, host: HostName, job: JobId, amount: Resources) -> bool:
        """Keep an amount for a reservation; return False if it is not free."""
        worker = self.worker(host)
        if worker.status is not WorkerStatus.AVAILABLE or not worker.has_room(amount):
            return False
        worker.take(amount)
        worker.holds[job] = worker.holds.get(job, NO_RESOURCES) + amount
        self.changed(worker)
        return True

    def drop_hold(self, host: HostName, job: JobId, amount: Resources) -> None:
        """Give back an amount that was held."""
        worker = self.worker(host)
        left = worker.holds.pop(job) - amount
        if left != NO_RESOURCES:
            worker.holds[job] = left
        worker.give_back(amount)
        self.fresh[worker.host] = worker
        self.changed(worker)

    def take_fresh(self) -> list[WorkerState]:
        """Return the open workers with new room since the last call."""
        fresh = [
            worker
            for worker in self.fresh.values()
            if worker.status is WorkerStatus.AVAILABLE
        ]
        self.fresh = {}
        return fresh

    def changed(self, worker: WorkerState) -> None:
        """Tell the placer of a worker's new free amounts."""
        if worker.status is WorkerStatus.AVAILABLE:
            self.placer.update(worker)
