"""Reservations for gangs and large tasks, with backfill of what they hold."""

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.ordering import Band, TrackedJob
from gooseberrydeck_scheduling.reservations import Reservation, plan_reservation
from gooseberrydeck_scheduling.state import SchedulerState
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["Reserver"]

LARGE_TASK_SHARE = 0.25
"""Share of the largest host from which a task may get a reservation."""

DEADLINE_FACTOR = 2.0
"""Deadline of a reservation as a multiple of the expected time to its start."""


class Reserver:
    """Create, use and expire the reservations of one scheduler."""

    def __init__(self, state: SchedulerState) -> None:
        """Operate on the shared state of a scheduler."""
        self.state = state
        self.not_before_s: dict[JobId, float] = {}

    def reserve(self, job: TrackedJob, now_s: float) -> None:
        """Create a reservation for a gang or a large task, if permitted."""
        state = self.state
        settings = state.settings
        if job.id in state.reservations.by_job:
            return
        if state.reservations.non_urgent_count >= settings.max_reservations:
            return
        if not job.spec.is_gang and not self.is_large(job.spec.resources):
            return
        if self.not_before_s.get(job.id, now_s) > now_s:
            return
        count = len(job.pending) if job.spec.is_gang else 1
        plan = plan_reservation(state.reservations, job.spec.resources, count, now_s)
        if plan is None:
            return
        deadline_s = now_s + max(
            settings.reservation_s, DEADLINE_FACTOR * (plan.start_s - now_s)
        )
        plan.start_s = min(plan.start_s, now_s + settings.lend_s)
        state.reservations.add(
            Reservation(job.id, job.spec.resources, plan, deadline_s, job.spec.is_gang)
        )

    def is_large(self, wanted: Resources) -> bool:
        """Return whether smaller tasks could starve a task of this size."""
        largest_capacity = self.state.largest_capacity
        return (
            wanted.cpu_millis >= LARGE_TASK_SHARE * largest_capacity.cpu_millis
            or wanted.memory_mib >= LARGE_TASK_SHARE * largest_capacity.memory_mib
            or wanted.accelerators > 0
        )

    def end_expired(self, now_s: float) -> None:
        """Release the reservations that were not used before their deadline."""
        state = self.state
        for reservation in state.reservations.expired(now_s):
            state.reservations.release(reservation.job)
            backoff_s = state.settings.reservation_backoff_s
            self.not_before_s[reservation.job] = now_s + backoff_s
        for job in [job for job in self.not_before_s if job not in state.jobs]:
            del self.not_before_s[job]

    def use(self, now_s: float) -> None:
        """Start tasks on the resources that are held for them."""
        for reservation in tuple(self.state.reservations.by_job.values()):
            job = self.state.jobs[reservation.job]
            if reservation.is_all_or_nothing:
                self.use_all_or_nothing(job, reservation, now_s)
            else:
                self.use_each(job, reservation, now_s)

    def use_all_or_nothing(
        self, job: TrackedJob, reservation: Reservation, now_s: float
    ) -> None:
        """Start a job once its reservation is complete."""
        state = self.state
        if not reservation.is_complete:
            return
        if state.slices.remaining(job.spec.team) < reservation.count:
            return
        hosts = [
            host for host, count in reservation.hosts.items() for _ in range(count)
        ]
        state.reservations.release(job.id)
        indexes = tuple(job.pending)[: len(hosts)]
        for index, host in zip(indexes, hosts, strict=True):
            state.start(job, index, host, now_s)
        if not job.pending:
            state.waiting.discard(job)

    def use_each(self, job: TrackedJob, reservation: Reservation, now_s: float) -> None:
        """Start a task on each slot that is held."""
        state = self.state
        for host in tuple(reservation.held):
            while reservation.slots_held(host) and job.pending:
                if not state.slices.remaining(job.spec.team):
                    return
                state.reservations.use_slot(reservation, host)
                state.start(job, job.pending[0], host, now_s)
        if not job.pending:
            state.reservations.release(job.id)
            state.waiting.discard(job)

    def find_backfill(
        self, job: TrackedJob, excluded: frozenset[HostName], now_s: float
    ) -> WorkerState | None:
        """Return a worker whose held resources a short task may use, or None.

        The task must be expected to end before the reservation needs the resources.
        Urgent tasks may use held resources regardless of their run time.
        """
        state = self.state
        reservations = state.reservations
        if not reservations.by_job:
            return None
        end_s = now_s
        if job.band is not Band.URGENT:
            end_s += state.estimator.long_run_s(job.spec)
        for reservation in reservations.by_job.values():
            if reservation.is_urgent or reservation.start_s < end_s:
                continue
            for host in tuple(reservation.held):
                worker = state.cell.workers[host]
                if host not in excluded and self.release_for_backfill(
                    reservation, worker, job
                ):
                    return worker
        return None

    def release_for_backfill(
        self, reservation: Reservation, worker: WorkerState, job: TrackedJob
    ) -> bool:
        """Release what a task needs on a worker beyond its free resources, if held."""
        lacking = clamp_negative(job.spec.resources - worker.free)
        if not lacking.fits_in(reservation.held[worker.host]):
            return False
        self.state.reservations.release_part(reservation, worker.host, lacking)
        return True


def clamp_negative(amount: Resources) -> Resources:
    """Return resources with negative amounts replaced by zero."""
    return Resources(
        max(0, amount.cpu_millis),
        max(0, amount.memory_mib),
        max(0, amount.accelerators),
    )
