"""Remember which sizes fit nowhere, so that they are not searched for again."""

from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["BlockedSizes", "Blocker"]


class Blocker:
    """A size that fits nowhere, while ``is_live``; larger ones do not fit either."""

    __slots__ = ("is_live", "size")

    def __init__(self, size: Resources) -> None:
        """Begin to block a size."""
        self.size = size
        self.is_live = True


class BlockedSizes:
    """The smallest sizes that fit on no open worker."""

    def __init__(self) -> None:
        """Begin with nothing blocked."""
        self.blockers: list[Blocker] = []

    def find(self, wanted: Resources) -> Blocker | None:
        """Return what blocks a size, or None if it has to be searched for."""
        for blocker in self.blockers:
            if blocker.size.fits_in(wanted):
                return blocker
        return None

    def add(self, wanted: Resources) -> Blocker:
        """Block a size for which a search has found nothing."""
        kept: list[Blocker] = []
        for blocker in self.blockers:
            if wanted.fits_in(blocker.size):
                blocker.is_live = False
            else:
                kept.append(blocker)
        added = Blocker(wanted)
        kept.append(added)
        self.blockers = kept
        return added

    def open(self, worker: WorkerState) -> None:
        """Unblock the sizes that fit on a worker with new room."""
        fitting = [
            blocker for blocker in self.blockers if worker.has_room(blocker.size)
        ]
        for blocker in fitting:
            blocker.is_live = False
            self.blockers.remove(blocker)
