"""Remember which sizes fit nowhere, so that they are not searched for again."""

from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["UnplaceableSizes", "UnplaceableSize"]


class UnplaceableSize:
    """A size that fits nowhere, while ``is_active``; larger ones do not fit either."""

    __slots__ = ("is_active", "size")

    def __init__(self, size: Resources) -> None:
        """Begin to block a size."""
        self.size = size
        self.is_active = True


class UnplaceableSizes:
    """The smallest sizes that fit on no open worker."""

    def __init__(self) -> None:
        """Begin with nothing blocked."""
        self.sizes: list[UnplaceableSize] = []

    def find(self, wanted: Resources) -> UnplaceableSize | None:
        """Return what blocks a size, or None if it has to be searched for."""
        for blocked in self.sizes:
            if blocked.size.fits_in(wanted):
                return blocked
        return None

    def add(self, wanted: Resources) -> UnplaceableSize:
        """Block a size for which a search has found nothing."""
        kept: list[UnplaceableSize] = []
        for blocked in self.sizes:
            if wanted.fits_in(blocked.size):
                blocked.is_active = False
            else:
                kept.append(blocked)
        added = UnplaceableSize(wanted)
        kept.append(added)
        self.sizes = kept
        return added

    def open(self, worker: WorkerState) -> None:
        """Unblock the sizes that fit on a worker with new room."""
        fitting = [blocked for blocked in self.sizes if worker.has_room(blocked.size)]
        for blocked in fitting:
            blocked.is_active = False
            self.sizes.remove(blocked)
