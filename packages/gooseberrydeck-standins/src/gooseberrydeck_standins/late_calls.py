"""Calls to a stand-in that get no response and are carried out later."""

import random
import threading
import time
from collections.abc import Callable

from gooseberrydeck_standins.faults import FaultSettings
from gooseberrydeck_standins.http_service import Reply

__all__ = ["LateCalls"]

MAX_SILENCE_S = 1.0
"""The longest time for which a connection stays open without the response."""


class LateCalls:
    """Carry out calls some time after their receipt, past newer ones. Thread-safe."""

    def __init__(self, seed: int = 0) -> None:
        """Create an instance that draws the delays from a seed."""
        self.rng = random.Random(seed)

    def defer(self, settings: FaultSettings, carry_out: Callable[[], object]) -> Reply:
        """Carry a call out later, and return the reply that withholds the response.

        Half of the connections end at once, and half after a silence.
        """
        delay_s = self.rng.uniform(*settings.late_s)
        timer = threading.Timer(delay_s, carry_out)
        timer.daemon = True
        timer.start()
        if self.rng.random() < 0.5:
            time.sleep(min(delay_s, MAX_SILENCE_S))
        return Reply(cuts_connection=True)
