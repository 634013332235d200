"""Cache of task sizes that currently fit on no worker, to avoid repeated searches."""

from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling.workers import WorkerState

__all__ = ["UnplaceableSize", "UnplaceableSizes"]


class UnplaceableSize:
    """A size that fits on no worker while ``is_active`` is set.

    Larger sizes do not fit either.
    """

    __slots__ = ("is_active", "size")

    def __init__(self, size: Resources) -> None:
        """Create an active entry."""
        self.size = size
        self.is_active = True


class UnplaceableSizes:
    """The smallest sizes known to fit on no available worker."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.sizes: list[UnplaceableSize] = []

    def find(self, wanted: Resources) -> UnplaceableSize | None:
        """Return the entry that rules out a size, or None."""
        for blocked in self.sizes:
            if blocked.size.fits_in(wanted):
                return blocked
        return None

    def add(self, wanted: Resources) -> UnplaceableSize:
        """Add a size that was searched for in vain, replacing larger entries."""
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
        """Deactivate the sizes that now fit on a worker."""
        fitting = [blocked for blocked in self.sizes if worker.has_room(blocked.size)]
        for blocked in fitting:
            blocked.is_active = False
            self.sizes.remove(blocked)
