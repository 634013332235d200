"""The former holders of the shard that a new holder has to expect."""

from typing import NamedTuple

from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S, LEASE_TIMEOUT_S

__all__ = ["NO_PREDECESSORS", "Predecessors"]


class Predecessors(NamedTuple):
    """The addresses and processes of former holders that may still act.

    ``are_limited`` says that each of them knew the new holder as a member that could
    claim the shard, so that it can't act long without hearing from it.
    """

    addresses: tuple[str, ...]
    incarnations: tuple[str, ...]
    are_limited: bool

    def may_act(self) -> bool:
        """Return True if there is a former holder that may still act."""
        return bool(self.addresses)

    def max_lease_s(self) -> float:
        """Return how long after the claim leases that they have granted may last.

        Workers measure them on clocks that may be slow.
        """
        if not self.addresses:
            lease_s = MAX_TASK_LEASE_S
        elif self.are_limited:
            lease_s = LEASE_TIMEOUT_S
        else:
            return AUTHORITY_TIMEOUT_S + MAX_TASK_LEASE_S / (1 - CLOCK_DRIFT)
        return lease_s / (1 - CLOCK_DRIFT)


NO_PREDECESSORS = Predecessors((), (), are_limited=True)
