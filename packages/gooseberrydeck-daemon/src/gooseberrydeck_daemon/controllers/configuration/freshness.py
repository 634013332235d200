"""Until when a member may rely on its configuration being the newest."""

from typing import Protocol

from gooseberrydeck_coordination.ids import ConfigurationNumber
from gooseberrydeck_coordination.timing import Timing

__all__ = ["FreshnessRule", "StoreFreshness"]


class FreshnessRule(Protocol):
    """Judge freshness; the coordination part's ``Authority`` is one."""

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return until when ``number`` counts as fresh, on the monotonic clock.

        ``read_sent_s`` is when the last read was sent that showed no newer number.
        """


class StoreFreshness:
    """Rely on contact with the store only; for a member without coordination."""

    def __init__(self, timing: Timing) -> None:
        """Use the session's time to live as the bound."""
        self.timing = timing

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return until when ``number`` counts as fresh."""
        return read_sent_s + self.timing.shorten_for_drift(self.timing.session_ttl_s)
