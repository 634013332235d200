"""Spreading of the replicas of standing jobs over data centres and racks."""

from collections import Counter
from collections.abc import Iterable

from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.cell import Cell
from gooseberrydeck_scheduling.workers import WorkerState, WorkerStatus

__all__ = ["find_spread"]


def find_spread(
    cell: Cell,
    wanted: Resources,
    hosts: Iterable[HostName],
    excluded: frozenset[HostName],
) -> WorkerState | None:
    """Return the fitting worker in the data centre and rack with the fewest replicas.

    ``hosts`` are the hosts of the other replicas. Return None if no worker fits.
    """
    replicas = Counter(hosts)
    centres: Counter[str] = Counter()
    racks: Counter[tuple[str, str]] = Counter()
    for host, count in replicas.items():
        worker = cell.workers.get(host)
        if worker is None:
            continue
        centres[worker.info.data_centre] += count
        racks[(worker.info.data_centre, worker.info.rack)] += count
    order = sorted(cell.by_rack, key=lambda rack: (centres[rack[0]], racks[rack], rack))
    for rack in order:
        worker = tightest_in_rack(
            cell.by_rack[rack].values(), wanted, replicas, excluded
        )
        if worker is not None:
            return worker
    return None


def tightest_in_rack(
    workers: Iterable[WorkerState],
    wanted: Resources,
    replicas: Counter[HostName],
    excluded: frozenset[HostName],
) -> WorkerState | None:
    """Return the fitting worker with the fewest replicas, then the least free."""
    fitting = [
        worker
        for worker in workers
        if worker.status is WorkerStatus.AVAILABLE
        and worker.has_room(wanted)
        and worker.host not in excluded
    ]
    return min(
        fitting,
        default=None,
        key=lambda worker: (
            replicas[worker.host],
            worker.free_accelerators,
            worker.free_cpu,
            worker.host,
        ),
    )
