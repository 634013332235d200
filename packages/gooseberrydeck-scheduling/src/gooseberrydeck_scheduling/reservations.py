"""Reservations of resources for gangs, large tasks and urgent tasks."""

from collections.abc import Callable, Iterable

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.workers import RunningTask, WorkerState, WorkerStatus

__all__ = [
    "Reservation",
    "ReservationPlan",
    "ReservationTable",
    "count_fitting",
    "elementwise_min",
    "plan_preemption",
    "plan_reservation",
]


class ReservationPlan:
    """Number of tasks to reserve for on each host, and the expected start time."""

    __slots__ = ("hosts", "start_s")

    def __init__(self, hosts: dict[HostName, int], start_s: float) -> None:
        """Store the number of slots by host and the expected start."""
        self.hosts = hosts
        self.start_s = start_s


class Reservation:
    """Slots for ``count`` tasks of a job, held as resources on their hosts become free.

    A slot is the amount of resources that one task needs on one host.
    """

    __slots__ = (
        "count",
        "deadline_s",
        "held",
        "hosts",
        "is_all_or_nothing",
        "is_urgent",
        "job",
        "start_s",
        "wanted",
    )

    def __init__(
        self,
        job: JobId,
        wanted: Resources,
        plan: ReservationPlan,
        deadline_s: float,
        is_all_or_nothing: bool = False,
        is_urgent: bool = False,
    ) -> None:
        """Create a reservation that holds nothing yet.

        An all-or-nothing reservation is used only when complete. What is held for an
        urgent job is not available for backfill.
        """
        self.job = job
        self.wanted = wanted
        self.hosts = plan.hosts
        self.count = sum(plan.hosts.values())
        self.start_s = plan.start_s
        self.deadline_s = deadline_s
        self.is_all_or_nothing = is_all_or_nothing
        self.is_urgent = is_urgent
        self.held: dict[HostName, Resources] = {}

    def slots_held(self, host: HostName) -> int:
        """Return the number of slots that are completely held on a host."""
        held = self.held.get(host, NO_RESOURCES)
        return min(self.hosts.get(host, 0), count_fitting(held, self.wanted))

    @property
    def held_count(self) -> int:
        """The number of slots that are completely held."""
        return sum(self.slots_held(host) for host in self.held)

    @property
    def is_complete(self) -> bool:
        """Whether every slot is held."""
        return self.held_count >= self.count


class ReservationTable:
    """The reservations of a cell, oldest first."""

    def __init__(self, cell: Cell) -> None:
        """Create a table without reservations."""
        self.cell = cell
        self.by_job: dict[JobId, Reservation] = {}
        self.by_host: dict[HostName, list[Reservation]] = {}

    @property
    def non_urgent_count(self) -> int:
        """The number of reservations that are not urgent."""
        return sum(not reservation.is_urgent for reservation in self.by_job.values())

    def add(self, reservation: Reservation) -> None:
        """Add a reservation and hold what is free on its hosts."""
        self.by_job[reservation.job] = reservation
        for host in reservation.hosts:
            self.by_host.setdefault(host, []).append(reservation)
            self.hold_freed(host)

    def extend(self, reservation: Reservation, host: HostName) -> None:
        """Add one slot to a reservation."""
        reservation.count += 1
        reservation.hosts[host] = reservation.hosts.get(host, 0) + 1
        on_host = self.by_host.setdefault(host, [])
        if reservation not in on_host:
            on_host.append(reservation)
        self.hold_freed(host)

    def hold_freed(self, host: HostName) -> None:
        """Hold what is free on a host, for the oldest reservation first."""
        for reservation in self.by_host.get(host, ()):
            held = reservation.held.get(host, NO_RESOURCES)
            target = multiply(reservation.wanted, reservation.hosts[host])
            amount = elementwise_min(target - held, self.cell.worker(host).free)
            if amount == NO_RESOURCES:
                continue
            if self.cell.hold(host, reservation.job, amount):
                reservation.held[host] = held + amount

    def release_part(
        self, reservation: Reservation, host: HostName, amount: Resources
    ) -> None:
        """Free part of what a reservation holds, without reducing its slots."""
        if amount == NO_RESOURCES:
            return
        left = reservation.held.pop(host) - amount
        if left != NO_RESOURCES:
            reservation.held[host] = left
        self.cell.release_hold(host, reservation.job, amount)

    def use_slot(self, reservation: Reservation, host: HostName) -> None:
        """Free one held slot and remove it from the reservation."""
        self.release_part(reservation, host, reservation.wanted)
        reservation.hosts[host] -= 1
        reservation.count -= 1
        if not reservation.count:
            self.release(reservation.job)

    def release(self, job: JobId) -> None:
        """Remove the reservation of a job and free what it holds."""
        reservation = self.by_job.pop(job, None)
        if reservation is None:
            return
        for host, amount in reservation.held.items():
            self.cell.release_hold(host, job, amount)
        for host in reservation.hosts:
            self.by_host[host].remove(reservation)
            if not self.by_host[host]:
                del self.by_host[host]

    def forget_worker(self, host: HostName) -> None:
        """Remove all reservations that include a worker."""
        for reservation in tuple(self.by_host.get(host, ())):
            self.release(reservation.job)

    def expired(self, now_s: float) -> tuple[Reservation, ...]:
        """Return the reservations whose deadline has passed."""
        return tuple(
            reservation
            for reservation in self.by_job.values()
            if reservation.deadline_s <= now_s
        )


def plan_reservation(
    reservations: ReservationTable,
    wanted: Resources,
    count: int,
    now_s: float,
) -> ReservationPlan | None:
    """Choose the slots that are expected to be free first.

    Return None if there are too few. Hosts of other reservations are excluded.
    """
    candidates: list[tuple[float, HostName]] = []
    for worker in reservations.cell:
        if worker.status is not WorkerStatus.AVAILABLE:
            continue
        if worker.host in reservations.by_host:
            continue
        if wanted.fits_in(worker.info.capacity):
            candidates.extend(slot_times(worker, wanted, now_s))
    if len(candidates) < count:
        return None
    candidates.sort()
    hosts: dict[HostName, int] = {}
    for _, host in candidates[:count]:
        hosts[host] = hosts.get(host, 0) + 1
    return ReservationPlan(hosts, candidates[count - 1][0])


def plan_preemption(
    reservations: ReservationTable,
    wanted: Resources,
    count: int,
    may_preempt: Callable[[RunningTask], bool],
    ready_s: float,
    offset: int,
) -> ReservationPlan | None:
    """Choose slots that are free, or would be after preemption.

    Return None if there are too few. The search begins at worker number ``offset``.
    """
    names = list(reservations.cell.workers)
    start = offset % len(names) if names else 0
    hosts: dict[HostName, int] = {}
    for host in names[start:] + names[:start]:
        worker = reservations.cell.workers[host]
        if worker.status is not WorkerStatus.AVAILABLE or host in reservations.by_host:
            continue
        slots = min(count, count_fitting(reclaimable(worker, may_preempt), wanted))
        if slots:
            hosts[host] = slots
            count -= slots
        if not count:
            return ReservationPlan(hosts, ready_s)
    return None


def reclaimable(
    worker: WorkerState, may_preempt: Callable[[RunningTask], bool]
) -> Resources:
    """Return what would be free on a worker if all eligible tasks were preempted."""
    free = worker.free
    for running in worker.tasks.values():
        if (
            running.is_preemptible
            and running.stop_reason is None
            and may_preempt(running)
        ):
            free = free + running.resources
    return free


def slot_times(
    worker: WorkerState, wanted: Resources, now_s: float
) -> list[tuple[float, HostName]]:
    """Return the expected time at which each further slot of a worker is free."""
    free = worker.free
    free_at: list[tuple[float, HostName]] = []
    for at_s, amount in expected_releases(worker.tasks.values(), now_s):
        free = free + amount
        slots = count_fitting(free, wanted)
        free_at.extend((at_s, worker.host) for _ in range(slots - len(free_at)))
    return free_at


def expected_releases(
    tasks: Iterable[RunningTask], now_s: float
) -> list[tuple[float, Resources]]:
    """Return when running tasks are expected to free their resources, in order.

    A task that has exceeded its estimate is expected to run for half as long again.
    """
    events = [(now_s, NO_RESOURCES)]
    for running in tasks:
        end_s = running.expected_end_s
        if end_s <= now_s:
            end_s = now_s + 0.5 * (now_s - running.started_s)
        events.append((end_s, running.resources))
    events.sort(key=lambda event: event[0])
    return events


def multiply(amount: Resources, count: int) -> Resources:
    """Return ``count`` times the given resources."""
    return Resources(
        amount.cpu_millis * count,
        amount.memory_mib * count,
        amount.accelerators * count,
    )


def elementwise_min(one: Resources, other: Resources) -> Resources:
    """Return the minimum of each resource, but at least zero."""
    return Resources(
        max(0, min(one.cpu_millis, other.cpu_millis)),
        max(0, min(one.memory_mib, other.memory_mib)),
        max(0, min(one.accelerators, other.accelerators)),
    )


def count_fitting(free: Resources, wanted: Resources) -> int:
    """Return how many tasks of size ``wanted`` fit in ``free``."""
    slots = free.cpu_millis // max(1, wanted.cpu_millis)
    slots = min(slots, free.memory_mib // max(1, wanted.memory_mib))
    if wanted.accelerators:
        slots = min(slots, free.accelerators // wanted.accelerators)
    return max(0, slots)
