"""Calls from a shard's owner to its workers, and the handling of their results."""

from collections.abc import Callable, Iterable
from concurrent.futures import Future
from typing import Protocol, TypeVar

from gooseberrydeck_coordination.adoption import AdoptionState
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import AuthorityLostError
from gooseberrydeck_coordination.ids import HostName, TaskId
from gooseberrydeck_daemon.jobs.links import WorkerLink
from gooseberrydeck_daemon.jobs.record_table import RecordTable
from gooseberrydeck_daemon.jobs.reports import is_ended, to_task_end
from gooseberrydeck_platform.exceptions import (
    PlatformError,
    StaleFenceError,
    WorkerUnavailableError,
)
from gooseberrydeck_platform.workers import (
    Adoption,
    StartRefusal,
    StartResult,
    TaskReport,
    TaskStart,
)
from gooseberrydeck_scheduling import AdoptedTask, Scheduler, job_of

__all__ = ["Runner", "WorkerCalls"]

T = TypeVar("T")

ADOPT_RETRY_S = 1.0

NOT_STARTED_ERRORS = (AuthorityLostError, StaleFenceError, WorkerUnavailableError)
"""Errors of a start call after which it is certain that nothing was started."""


class Runner(Protocol):
    """Runs blocking calls and passes their results to the owner's thread."""

    def run(self, call: Callable[[], T], done: Callable[["Future[T]"], None]) -> None:
        """Run ``call`` on another thread, then ``done`` on the owner's thread."""


class WorkerCalls:
    """Make the calls to workers, at most one per worker at a time."""

    def __init__(
        self,
        scheduler: Scheduler,
        record_table: RecordTable,
        runner: Runner,
        clock: Clock,
        lease_s: float,
        now_s: Callable[[], float],
    ) -> None:
        """Apply the results of calls to ``scheduler`` and ``record_table``."""
        self.scheduler = scheduler
        self.record_table = record_table
        self.runner = runner
        self.clock = clock
        self.lease_s = lease_s
        self.now_s = now_s
        self.links: dict[HostName, WorkerLink] = {}
        self.pending_acks: set[TaskId] = set()
        """Ended tasks known to the scheduler whose end is not stored yet."""

    def call_next(self, link: WorkerLink) -> None:
        """Make the next due call to a worker."""
        if link.adoption.state is not AdoptionState.ADOPTED:
            self.adopt(link)
        elif link.stops or link.checkpoints or link.acknowledged:
            self.end_tasks(link)
        elif link.starts:
            self.start_tasks(link)
        elif link.is_renewal_due(self.lease_s):
            self.renew(link)

    def adopt(self, link: WorkerLink) -> None:
        """Adopt a worker if it needs adoption and no retry delay is running."""
        if not link.adoption.needs_adopting or self.clock.monotonic() < link.retry_s:
            return
        sent_s = self.clock.monotonic()
        link.adoption.begin_adopting()

        def done(future: "Future[Adoption]") -> None:
            if not self.finish_call(link, future):
                return
            adoption = future.result()
            if link.adoption.record_answer(sent_s, adoption.has_fencing):
                link.renewed_s = float("-inf")
                self.apply_adoption(link, adoption)

        self.run(link, link.call_adopt, done)

    def apply_adoption(self, link: WorkerLink, adoption: Adoption) -> None:
        """Apply the list of tasks that an adopted worker holds.

        Tasks of the scheduler that the worker does not hold are marked as changed.
        """
        now_s = self.now_s()
        held = [
            AdoptedTask(report.task, report.team, report.resources, report.run_s)
            for report in adoption.tasks
            if report.task not in self.pending_acks
        ]
        self.discard_unsent(link)
        before = set(self.tasks_on(link.host))
        self.scheduler.worker_added(link.info, now_s, held)
        for task in before - {item.task for item in held}:
            if job_of(task) in self.record_table.records:
                self.record_table.mark_changed(job_of(task))
        self.apply_reports(link, adoption.tasks)

    def tasks_on(self, host: HostName) -> list[TaskId]:
        """Return the tasks that are assigned to a worker."""
        worker = self.scheduler.state.cell.workers.get(host)
        return list(worker.tasks) if worker is not None else []

    def discard_unsent(self, link: WorkerLink) -> None:
        """Discard the unsent commands for a worker, and requeue its starts."""
        starts, link.starts = link.starts, []
        self.requeue_tasks(starts)
        link.stops.clear()
        link.checkpoints.clear()

    def apply_reports(self, link: WorkerLink, reports: Iterable[TaskReport]) -> None:
        """Update the usage of running tasks and record the ends of others.

        Ends of tasks that are unknown or need no record are acknowledged immediately.
        """
        now_s = self.now_s()
        for report in reports:
            if not is_ended(report):
                self.scheduler.usage_reported(report.task, report.usage)
            elif report.task in self.pending_acks:
                continue
            elif report.task in self.scheduler.state.cell.tasks:
                self.pending_acks.add(report.task)
                job = self.scheduler.task_ended(to_task_end(report), now_s)
                if job is None:
                    self.acknowledge(link.host, report.task)
                else:
                    self.record_table.mark_changed(job, [(link.host, report.task)])
            else:
                self.acknowledge(link.host, report.task)

    def acknowledge(self, host: HostName, task: TaskId) -> None:
        """Queue an acknowledgement, after which the worker drops an ended task."""
        self.pending_acks.discard(task)
        link = self.links.get(host)
        if link is not None:
            link.acknowledged.add(task)

    def start_tasks(self, link: WorkerLink) -> None:
        """Send the pending starts to a worker."""
        starts, link.starts = link.starts, []

        def done(future: "Future[tuple[StartResult, ...]]") -> None:
            if self.finish_call(link, future):
                self.handle_start_results(future.result())
            elif isinstance(future.exception(), NOT_STARTED_ERRORS):
                self.requeue_tasks(starts)

        self.run(link, lambda: link.call_start(starts), done)

    def end_tasks(self, link: WorkerLink) -> None:
        """Send the pending stops, checkpoints and acknowledgements to a worker."""
        stops, checkpoints = link.stops, link.checkpoints
        acknowledged = list(link.acknowledged)
        link.stops, link.checkpoints = [], []

        def done(future: "Future[None]") -> None:
            if self.finish_call(link, future):
                link.acknowledged.difference_update(acknowledged)
                link.renewed_s = float("-inf")

        self.run(link, lambda: link.call_end(stops, checkpoints, acknowledged), done)

    def renew(self, link: WorkerLink) -> None:
        """Renew the leases of a worker's tasks and apply its reports."""
        tasks = self.tasks_on(link.host)
        link.renewed_s = self.clock.monotonic()

        def done(future: "Future[tuple[TaskReport, ...]]") -> None:
            if self.finish_call(link, future):
                self.apply_renewal(link, tasks, future.result())

        self.run(link, lambda: link.call_renew(tasks, self.lease_s), done)

    def handle_start_results(self, results: Iterable[StartResult]) -> None:
        """Requeue the tasks whose start the worker refused."""
        for result in results:
            if result.refusal is not None:
                is_broken = result.refusal is StartRefusal.BROKEN
                self.requeue_task(result.task, is_broken)

    def requeue_tasks(self, starts: Iterable[TaskStart]) -> None:
        """Hand tasks that were certainly not started back to the scheduler."""
        for start in starts:
            self.requeue_task(start.task, is_broken=False)

    def requeue_task(self, task: TaskId, is_broken: bool) -> None:
        """Hand a task that was certainly not started back to the scheduler."""
        if task in self.scheduler.state.cell.tasks:
            self.scheduler.start_refused(task, is_broken, self.now_s())

    def apply_renewal(
        self, link: WorkerLink, asked: list[TaskId], reports: tuple[TaskReport, ...]
    ) -> None:
        """Apply task reports; adopt the worker again if it lacks an expected task."""
        self.apply_reports(link, reports)
        listed = {report.task for report in reports}
        if any(task not in listed for task in asked):
            self.mark_unreachable(link)

    def mark_unreachable(self, link: WorkerLink) -> None:
        """Start no tasks on a worker until it has been adopted again."""
        link.adoption.record_no_answer()
        if link.host in self.scheduler.state.cell.workers:
            self.scheduler.worker_quarantined(link.host)

    def run(
        self,
        link: WorkerLink,
        call: Callable[[], T],
        done: Callable[["Future[T]"], None],
    ) -> None:
        """Run a call to a worker and mark the link as busy."""
        link.is_busy = True
        self.runner.run(call, done)

    def finish_call(self, link: WorkerLink, future: "Future[T]") -> bool:
        """Mark a link as idle after a call, and return True if the call succeeded.

        On failure, the worker is marked as unreachable and retried later. Errors other
        than ``AuthorityLostError`` and ``PlatformError`` are raised.
        """
        link.is_busy = False
        error = future.exception()
        if error is None:
            return True
        if not isinstance(error, (AuthorityLostError, PlatformError)):
            raise error
        self.mark_unreachable(link)
        if isinstance(error, StaleFenceError):
            link.adoption.record_superseded()
        link.retry_s = self.clock.monotonic() + ADOPT_RETRY_S
        return False
