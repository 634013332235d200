"""Amounts of host resources."""

import msgspec

__all__ = ["NO_RESOURCES", "Resources"]


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

    def fits_in(self, capacity: "Resources") -> bool:
        """Return True if no resource exceeds that of ``capacity``."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = Resources()
