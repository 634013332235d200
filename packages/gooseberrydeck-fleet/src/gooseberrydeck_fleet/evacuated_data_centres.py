"""The data centres whose evacuation is requested: nothing more is started there.

Runs that are active there may finish. This is unrelated to single workers that drain,
whose runs move away: see ``Evacuator``.
"""

from collections.abc import Set

from gooseberrydeck_coordination.ids import DataCentre
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.state import Worker

__all__ = ["EvacuatedDataCentres"]


class EvacuatedDataCentres:
    """Mark the workers of evacuated data centres."""

    def __init__(self, ledger: Ledger, placer: Placer) -> None:
        """Start without evacuations."""
        self.ledger = ledger
        self.placer = placer
        # By data centre, when its evacuation became known, in monotonic seconds.
        self.since_s: dict[DataCentre, float] = {}

    def replace(self, data_centres: Set[DataCentre], now_s: float) -> None:
        """Replace the set of evacuated data centres.

        Steps that counted on a worker there are tried again: tickets and reserved
        capacity on it are of no use any more.
        """
        former = self.since_s
        if data_centres == former.keys():
            return
        self.since_s = {each: former.get(each, now_s) for each in data_centres}
        for worker in self.ledger.workers.values():
            self.apply(worker)
        if data_centres - former.keys():
            self.ledger.touch_all()

    def apply(self, worker: Worker) -> None:
        """Mark a worker by its present data centre."""
        is_evacuated = worker.entry.data_centre in self.since_s
        if is_evacuated == worker.is_evacuated:
            return
        worker.is_evacuated = is_evacuated
        self.ledger.have_workers_changed = True
        if is_evacuated:
            self.placer.cancel_reservations(worker)
