"""Reservations: rooms kept for a gang, a large task or an urgent one."""

from collections.abc import Callable, Iterable

from gooseberrydeck_coordination.ids import HostName, JobId
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.workers import RunningTask, WorkerState, WorkerStatus

__all__ = [
    "Reservation",
    "ReservationBook",
    "ReservationPlan",
    "plan_preemption",
    "plan_reservation",
    "rooms_in",
    "smaller",
]


class ReservationPlan:
    """How many tasks each host is to hold, and when the last room is likely free."""

    __slots__ = ("hosts", "start_s")

    def __init__(self, hosts: dict[HostName, int], start_s: float) -> None:
        """Keep the number of tasks by host and the expected start."""
        self.hosts = hosts
        self.start_s = start_s


class Reservation:
    """Rooms for ``count`` tasks of a job, held piece by piece as hosts free up."""

    __slots__ = (
        "count",
        "deadline_s",
        "held",
        "hosts",
        "is_urgent",
        "is_whole",
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
        is_whole: bool = False,
        is_urgent: bool = False,
    ) -> None:
        """Reserve by a plan; a whole reservation is used in one piece or not at all.

        What is held for an urgent job is not lent.
        """
        self.job = job
        self.wanted = wanted
        self.hosts = plan.hosts
        self.count = sum(plan.hosts.values())
        self.start_s = plan.start_s
        self.deadline_s = deadline_s
        self.is_whole = is_whole
        self.is_urgent = is_urgent
        self.held: dict[HostName, Resources] = {}

    def rooms_held(self, host: HostName) -> int:
        """Return how many tasks what is held on a host suffices for."""
        held = self.held.get(host, NO_RESOURCES)
        return min(self.hosts.get(host, 0), rooms_in(held, self.wanted))

    @property
    def held_count(self) -> int:
        """Return how many rooms are held."""
        return sum(self.rooms_held(host) for host in self.held)

    @property
    def is_complete(self) -> bool:
        """Tell whether every room is held."""
        return self.held_count >= self.count


class ReservationBook:
    """The reservations of a cell, oldest first."""

    def __init__(self, cell: Cell) -> None:
        """Begin without reservations."""
        self.cell = cell
        self.by_job: dict[JobId, Reservation] = {}
        self.by_host: dict[HostName, list[Reservation]] = {}

    @property
    def lasting_count(self) -> int:
        """Return the number of reservations that are not urgent."""
        return sum(not reservation.is_urgent for reservation in self.by_job.values())

    def add(self, reservation: Reservation) -> None:
        """Begin to hold rooms for a reservation."""
        self.by_job[reservation.job] = reservation
        for host in reservation.hosts:
            self.by_host.setdefault(host, []).append(reservation)
            self.regain(host)

    def extend(self, reservation: Reservation, host: HostName) -> None:
        """Let a reservation want one more room."""
        reservation.count += 1
        reservation.hosts[host] = reservation.hosts.get(host, 0) + 1
        book = self.by_host.setdefault(host, [])
        if reservation not in book:
            book.append(reservation)
        self.regain(host)

    def regain(self, host: HostName) -> None:
        """Hold what has become free on a host, for the oldest reservation first."""
        for reservation in self.by_host.get(host, ()):
            held = reservation.held.get(host, NO_RESOURCES)
            target = times(reservation.wanted, reservation.hosts[host])
            amount = smaller(target - held, self.cell.worker(host).free)
            if amount == NO_RESOURCES:
                continue
            if self.cell.hold(host, reservation.job, amount):
                reservation.held[host] = held + amount

    def give_back(
        self, reservation: Reservation, host: HostName, amount: Resources
    ) -> None:
        """Give back an amount that is held; the reservation still wants it."""
        if amount == NO_RESOURCES:
            return
        left = reservation.held.pop(host) - amount
        if left != NO_RESOURCES:
            reservation.held[host] = left
        self.cell.drop_hold(host, reservation.job, amount)

    def use(self, reservation: Reservation, host: HostName) -> None:
        """Give back one held room and want it no more."""
        self.give_back(reservation, host, reservation.wanted)
        reservation.hosts[host] -= 1
        reservation.count -= 1
        if not reservation.count:
            self.release(reservation.job)

    def release(self, job: JobId) -> None:
        """Give back everything that is held for a job."""
        reservation = self.by_job.pop(job, None)
        if reservation is None:
            return
        for host, amount in reservation.held.items():
            self.cell.drop_hold(host, job, amount)
        for host in reservation.hosts:
            self.by_host[host].remove(reservation)
            if not self.by_host[host]:
                del self.by_host[host]

    def forget_worker(self, host: HostName) -> None:
        """Release every reservation that counts on a worker."""
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
    book: ReservationBook,
    wanted: Resources,
    count: int,
    now_s: float,
) -> ReservationPlan | None:
    """Choose the rooms that are likely free first, or None if there are too few.

    Hosts that another reservation counts on are left out.
    """
    offers: list[tuple[float, HostName]] = []
    for worker in book.cell:
        if worker.status is not WorkerStatus.AVAILABLE:
            continue
        if worker.host in book.by_host:
            continue
        if wanted.fits_in(worker.info.capacity):
            offers.extend(room_times(worker, wanted, now_s))
    if len(offers) < count:
        return None
    offers.sort()
    hosts: dict[HostName, int] = {}
    for _, host in offers[:count]:
        hosts[host] = hosts.get(host, 0) + 1
    return ReservationPlan(hosts, offers[count - 1][0])


def plan_preemption(
    book: ReservationBook,
    wanted: Resources,
    count: int,
    may_end: Callable[[RunningTask], bool],
    ready_s: float,
    offset: int,
) -> ReservationPlan | None:
    """Choose rooms that are free or can be made so by preemption, or return None.

    ``offset`` says with which worker to begin.
    """
    names = list(book.cell.workers)
    start = offset % len(names) if names else 0
    hosts: dict[HostName, int] = {}
    for host in names[start:] + names[:start]:
        worker = book.cell.workers[host]
        if worker.status is not WorkerStatus.AVAILABLE or host in book.by_host:
            continue
        rooms = min(count, rooms_in(reclaimable(worker, may_end), wanted))
        if rooms:
            hosts[host] = rooms
            count -= rooms
        if not count:
            return ReservationPlan(hosts, ready_s)
    return None


def reclaimable(
    worker: WorkerState, may_end: Callable[[RunningTask], bool]
) -> Resources:
    """Return what would be free on a worker if all that may end did."""
    free = worker.free
    for running in worker.tasks.values():
        if running.is_preemptible and running.ending is None and may_end(running):
            free = free + running.resources
    return free


def room_times(
    worker: WorkerState, wanted: Resources, now_s: float
) -> list[tuple[float, HostName]]:
    """Return when each further room on a worker is likely free."""
    free = worker.free
    times: list[tuple[float, HostName]] = []
    for at_s, amount in releases(worker.tasks.values(), now_s):
        free = free + amount
        rooms = rooms_in(free, wanted)
        times.extend((at_s, worker.host) for _ in range(rooms - len(times)))
    return times


def releases(
    tasks: Iterable[RunningTask], now_s: float
) -> list[tuple[float, Resources]]:
    """Return what running tasks are likely to give back, in order of time.

    A task that has outrun its estimate is taken to go on for half as long again.
    """
    events = [(now_s, NO_RESOURCES)]
    for running in tasks:
        end_s = running.expected_end_s
        if end_s <= now_s:
            end_s = now_s + 0.5 * (now_s - running.started_s)
        events.append((end_s, running.resources))
    events.sort(key=lambda event: event[0])
    return events


def times(amount: Resources, count: int) -> Resources:
    """Return an amount ``count`` times."""
    return Resources(
        amount.cpu_millis * count,
        amount.memory_mib * count,
        amount.accelerators * count,
    )


def smaller(one: Resources, other: Resources) -> Resources:
    """Return the smaller amount of each resource, but not less than zero."""
    return Resources(
        max(0, min(one.cpu_millis, other.cpu_millis)),
        max(0, min(one.memory_mib, other.memory_mib)),
        max(0, min(one.accelerators, other.accelerators)),
    )


def rooms_in(free: Resources, wanted: Resources) -> int:
    """Return how many tasks of one size fit in what is free."""
    rooms = free.cpu_millis // max(1, wanted.cpu_millis)
    rooms = min(rooms, free.memory_mib // max(1, wanted.memory_mib))
    if wanted.accelerators:
        rooms = min(rooms, free.accelerators // wanted.accelerators)
    return max(0, rooms)
