"""Rules for how long a member may treat its configuration as the newest."""

from typing import Protocol

from gooseberrydeck_coordination.ids import ConfigurationNumber
from gooseberrydeck_coordination.timing import Timing

__all__ = ["FreshnessRule", "StoreFreshness"]


class FreshnessRule(Protocol):
    """Interface for freshness rules; ``Authority`` of the coordination is one."""

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return the monotonic time until which ``number`` counts as fresh.

        ``read_sent_s`` is the time at which the last read was sent that showed no newer
        number.
        """


class StoreFreshness:
    """Freshness by contact with the store only, for a member without coordination."""

    def __init__(self, timing: Timing) -> None:
        """Use the session's time to live as the longest time without contact."""
        self.timing = timing

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return the monotonic time until which ``number`` counts as fresh."""
        return read_sent_s + self.timing.shorten_for_drift(self.timing.session_ttl_s)
