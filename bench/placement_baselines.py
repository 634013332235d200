"""Baseline policies for the placement benchmark; not part of the product."""

from dataclasses import replace

import msgspec

from gooseberrydeck_coordination.ids import HostName, QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling import (
    OrderPolicy,
    Placer,
    QueueRules,
    SchedulerSettings,
    WorkerState,
)
from placement_inputs import Arrival

__all__ = ["FIFO_QUEUE", "FirstFit", "LinearPlacer", "WorstFit", "as_fifo"]

SINGLE_TEAM = TeamName("everyone")
FIFO_QUEUE = QueueRules(QueueName("fifo"), OrderPolicy.GANG)

PLAIN_SETTINGS = SchedulerSettings(max_reservations=0, reclaims_per_tick=0)


class LinearPlacer:
    """Base class of placers that examine every worker."""

    def __init__(self) -> None:
        """Create a placer without workers."""
        self.workers: dict[HostName, WorkerState] = {}

    def update(self, worker: WorkerState) -> None:
        """Add or update a worker."""
        self.workers[worker.host] = worker

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker, if present."""
        self.workers.pop(worker.host, None)

    def may_fit(self, wanted: Resources, count: int) -> bool:
        """Return True unless there are no workers."""
        return bool(self.workers)


class FirstFit(LinearPlacer):
    """Place each task on the first worker on which it fits."""

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return the first worker on which ``wanted`` fits, or None."""
        for worker in self.workers.values():
            if worker.has_room(wanted) and worker.host not in excluded:
                return worker
        return None


class WorstFit(LinearPlacer):
    """Place each task on the fitting worker with the most free processors."""

    def find(
        self, wanted: Resources, excluded: frozenset[HostName]
    ) -> WorkerState | None:
        """Return the emptiest worker on which ``wanted`` fits, or None."""
        fitting = [
            worker
            for worker in self.workers.values()
            if worker.has_room(wanted) and worker.host not in excluded
        ]
        return max(fitting, key=lambda worker: worker.free_cpu, default=None)


def as_fifo(arrival: Arrival) -> Arrival:
    """Return the job moved to the single team and queue of the FIFO policy."""
    spec = arrival.spec
    labels = {**spec.labels, "team": spec.team}
    plain = msgspec.structs.replace(
        spec,
        team=SINGLE_TEAM,
        queue=FIFO_QUEUE.name,
        labels=labels,
        is_preemptible=False,
    )
    return replace(arrival, spec=plain)


def check_placer(placer: Placer) -> Placer:
    """Return the placer; lets the type checker verify that it implements ``Placer``."""
    return placer


check_placer(FirstFit())
check_placer(WorstFit())
