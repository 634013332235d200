"""Selection of the waiting tasks to start, and of their workers."""

from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.blocking import UnplaceableSizes
from gooseberrydeck_scheduling.checks import find_refusal_by_size
from gooseberrydeck_scheduling.decisions import Refuse
from gooseberrydeck_scheduling.jobs import JobState
from gooseberrydeck_scheduling.ordering import Band, TeamOrder, TrackedJob
from gooseberrydeck_scheduling.preempting import Preemptor
from gooseberrydeck_scheduling.reserving import Reserver
from gooseberrydeck_scheduling.spreading import find_spread
from gooseberrydeck_scheduling.state import SchedulerState
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["Starter"]

NO_HOSTS: frozenset[HostName] = frozenset()

RETRY_INTERVAL_S = 0.25
"""Interval of placement attempts while no resources of the size were freed."""

GANG_RETRY_INTERVAL_S = 0.1
"""The interval for gangs, whose fit does not depend on the size of one task alone."""

BACKLOG_RETRY_INTERVAL_S = 1.0
"""The interval for jobs beyond the first ``ACTIVE_JOBS_PER_TEAM`` of their team."""

ACTIVE_JOBS_PER_TEAM = 4
"""Number of jobs of each team that are retried at the short intervals."""

EXCLUSION_TIMEOUT_S = 10.0
"""How long a failed task waits for a host on which it has not failed."""

URGENT_MARGIN_S = 5.0
"""How long resources are kept for an urgent task after the grace period."""


class Starter:
    """Start waiting tasks in fair order, each on the worker that fits best."""

    def __init__(self, state: SchedulerState) -> None:
        """Operate on the shared state of a scheduler."""
        self.state = state
        self.blocked = UnplaceableSizes()
        self.reserver = Reserver(state)
        self.preemptor = Preemptor(state)
        self.unsatisfiable: list[tuple[TrackedJob, Refuse]] = []

    def run(self, now_s: float) -> None:
        """Start all tasks that can start, up to the maximum number per tick."""
        self.reserver.end_expired(now_s)
        self.preemptor.update_fair_rank()
        for worker in self.state.cell.take_freed():
            self.blocked.open(worker)
        self.reserver.use(now_s)
        left = self.state.settings.decisions_per_tick
        for band in Band:
            left = self.run_band(band, left, now_s)
        self.refuse_unsatisfiable(now_s)

    def run_band(self, band: Band, left: int, now_s: float) -> int:
        """Start tasks of one band and return how many more may start."""
        state = self.state
        if not state.waiting.bands[band]:
            return left
        order = TeamOrder(
            state.shares, state.waiting, band, state.settings.scan_per_team
        )
        emptied: list[TrackedJob] = []
        while left > 0 and (job := order.next()) is not None:
            if job.is_blocked(now_s):
                order.skip(job)
                continue
            if not state.slices.remaining(job.spec.team):
                order.drop_team(job.spec.team)
                continue
            started = self.try_job(job, now_s)
            if not started:
                order.skip(job)
                is_near_front = order.skipped[job.spec.team] <= ACTIVE_JOBS_PER_TEAM
                job.next_attempt_s = now_s + retry_interval_s(job, is_near_front)
                continue
            left -= started
            if not job.pending:
                emptied.append(job)
            order.started(job)
        for job in emptied:
            state.waiting.discard(job)
        return left

    def try_job(self, job: TrackedJob, now_s: float) -> int:
        """Start the next task of a job, or its whole gang.

        Return the number of started tasks.
        """
        if not job.pending:
            return 0
        if job.spec.is_gang:
            return self.try_gang(job, now_s)
        index = job.pending[0]
        worker = self.find_worker(job, index, now_s)
        if worker is None:
            self.make_room(job, now_s)
            return 0
        self.state.start(job, index, worker.host, now_s)
        return 1

    def find_worker(
        self, job: TrackedJob, index: int, now_s: float
    ) -> WorkerState | None:
        """Return a worker for one task, or None."""
        state = self.state
        excluded = job.excluded.get(index, NO_HOSTS)
        if now_s - job.pending_since_s > EXCLUSION_TIMEOUT_S:
            excluded = NO_HOSTS
        wanted = job.spec.resources
        if job.spec.is_standing:
            hosts = [state.cell.tasks[task].host for task in job.running.values()]
            return find_spread(state.cell, wanted, hosts, excluded)
        worker = self.find_probe(job, excluded)
        if worker is None:
            worker = self.find_open(job, wanted, excluded)
        return worker or self.reserver.find_backfill(job, excluded, now_s)

    def find_open(
        self, job: TrackedJob, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return the best-fitting worker, unless the size is known not to fit."""
        job.blocked_by = self.blocked.find(wanted)
        if job.blocked_by is not None:
            return None
        worker = self.state.cell.placer.find(wanted, excluded)
        if worker is None and not excluded:
            job.blocked_by = self.blocked.add(wanted)
        return worker

    def find_probe(
        self, job: TrackedJob, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return a restricted worker that is due for a probe, or None."""
        state = self.state
        if not state.probing or job.band is Band.URGENT:
            return None
        for host in state.probing:
            worker = state.cell.workers[host]
            if worker.has_room(job.spec.resources) and host not in excluded:
                state.probing.discard(host)
                return worker
        return None

    def try_gang(self, job: TrackedJob, now_s: float) -> int:
        """Start all tasks of a gang or none; return the number of started tasks."""
        state = self.state
        count = len(job.pending)
        if job.running or state.slices.remaining(job.spec.team) < count:
            return 0
        if job.id in state.reservations.by_job:
            self.make_room(job, now_s)
            return 0
        hosts = self.find_gang_hosts(job, count, now_s)
        if hosts is None:
            self.make_room(job, now_s)
            return 0
        self.start_gang(job, hosts, now_s)
        return count

    def find_gang_hosts(
        self, job: TrackedJob, count: int, now_s: float
    ) -> list[HostName] | None:
        """Return a host for each of ``count`` tasks, or None if they do not all fit."""
        cell = self.state.cell
        wanted = job.spec.resources
        job.blocked_by = self.blocked.find(wanted)
        if job.blocked_by is not None or not cell.placer.may_fit(wanted, count):
            return None
        excluded = NO_HOSTS
        if now_s - job.pending_since_s <= EXCLUSION_TIMEOUT_S:
            excluded = NO_HOSTS.union(*job.excluded.values())
        hosts: list[HostName] = []
        while len(hosts) < count:
            worker = cell.placer.find(wanted, excluded)
            if worker is None or not cell.hold(worker.host, job.id, wanted):
                break
            hosts.append(worker.host)
        for host in hosts:
            cell.release_hold(host, job.id, wanted)
        return hosts if len(hosts) == count else None

    def start_gang(self, job: TrackedJob, hosts: list[HostName], now_s: float) -> None:
        """Start the pending tasks of a gang on the given hosts."""
        for index, host in zip(tuple(job.pending), hosts, strict=True):
            self.state.start(job, index, host, now_s)

    def make_room(self, job: TrackedJob, now_s: float) -> None:
        """Preempt or reserve for a job that does not fit."""
        if job.unplaced_since_s is None:
            job.unplaced_since_s = now_s
        if now_s - job.size_checked_s >= self.state.settings.size_check_s:
            self.check_size(job, now_s)
        if job.band is Band.URGENT and not job.spec.is_gang:
            self.preemptor.preempt_for_urgent(job, now_s)
            return
        if self.preemptor.reclaim(job, now_s):
            return
        if now_s - job.unplaced_since_s >= self.state.settings.reserve_after_s:
            self.reserver.reserve(job, now_s)

    def check_size(self, job: TrackedJob, now_s: float) -> None:
        """Check whether a waiting job still fits the workers of the cell."""
        job.size_checked_s = now_s
        refusal = find_refusal_by_size(job.spec, self.state.cell)
        if refusal is not None and not job.running:
            self.unsatisfiable.append((job, refusal))

    def refuse_unsatisfiable(self, now_s: float) -> None:
        """Refuse the jobs that would not fit even if nothing else were running."""
        for job, refusal in self.unsatisfiable:
            job.record.state = JobState.REFUSED
            job.record.reason = refusal.detail
            job.record.ended_s = now_s
            self.state.remove_job(job)
            self.state.decisions.append(refusal)
        self.unsatisfiable.clear()


def retry_interval_s(job: TrackedJob, is_near_front: bool) -> float:
    """Return the time in seconds before a job is tried again."""
    if not is_near_front:
        return BACKLOG_RETRY_INTERVAL_S
    return GANG_RETRY_INTERVAL_S if job.spec.is_gang else RETRY_INTERVAL_S
