"""Amounts of host resources."""

import msgspec

__all__ = ["NO_RESOURCES", "Resources"]

ANY_NUMBER = 1 << 50
"""How often nothing fits in any amount; more than any count of tasks."""


class Resources(msgspec.Struct, frozen=True, order=False):
    """Millicores of CPU, MiB of memory and whole accelerators."""

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of each resource."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference of each resource, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def largest(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
        )

    def times(self, count: int) -> "Resources":
        """Return ``count`` times the amount of each resource."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mib * count,
            self.accelerators * count,
        )

    def count_in(self, free: "Resources") -> int:
        """Return how often this amount fits in ``free``, by the resources it needs.

        An amount without any resource fits ``ANY_NUMBER`` of times.
        """
        counts = [
            available // needed
            for needed, available in (
                (self.cpu_millis, free.cpu_millis),
                (self.memory_mib, free.memory_mib),
                (self.accelerators, free.accelerators),
            )
            if needed
        ]
        return max(0, min(counts, default=ANY_NUMBER))

    def fits_in(self, capacity: "Resources") -> bool:
        """Return True if no resource exceeds that of ``capacity``."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = Resources()
