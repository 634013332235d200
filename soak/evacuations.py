"""Evacuations of a data centre beside the faults of a series."""

import random
import time
from collections.abc import Callable

import msgspec

from gooseberrydeck_adapter_standins.local_platform import LocalPlatform
from gooseberrydeck_adapter_standins.worker import zone_of
from gooseberrydeck_standins.fleet_worker import RunSpan
from soak.faults import Fault
from soak.proxy import LinkFault
from soak.series import SeriesCell, draw_series

__all__ = ["EVACUATION_LENGTH_S", "EvacuationCell", "draw_evacuations"]

EVACUATION_LENGTH_S = 24.0

EVACUATED_S = (17.0, 20.0)

IN_EFFECT_S = 13.0
"""From then on nothing may start: ``EvacMs`` (5 s) and, as the store is unstable,
``MaxSkewMs`` (6 s). A worker executes a start up to 1.5 s after it was sent."""


class Evacuation(msgspec.Struct):
    """An evacuation of a data centre, in Unix time."""

    zone: str
    from_s: float
    until_s: float


def draw_evacuations(seed: int, length_s: float) -> list[Fault]:
    """Return a series of faults with an evacuation beside it, in order of time."""
    rng = random.Random(f"evacuation {seed}")
    at_s, for_s = rng.uniform(0.5, 3.0), rng.uniform(*EVACUATED_S)
    target = rng.randrange(100)
    evacuation = Fault(at_s, for_s, "evacuation", target, LinkFault.NONE)
    faults = [evacuation, *draw_series(seed, length_s)]
    return sorted(faults, key=lambda fault: fault.at_s)


class EvacuationCell(SeriesCell):
    """A cell whose data centres are evacuated."""

    def __init__(self, platform: LocalPlatform) -> None:
        """Start the workers and members."""
        super().__init__(platform, with_rebirths=False)
        self.evacuations: list[Evacuation] = []

    def begin_evacuation(self, fault: Fault) -> Callable[[], None]:
        """Request an evacuation, and withdraw the request at the end."""
        zone = zone_of(fault.target)
        key = f"op/evacuate/{zone}"
        self.platform.write(key, b"{}")
        evacuation = Evacuation(zone, time.time(), 0.0)
        self.evacuations.append(evacuation)

        def end() -> None:
            evacuation.until_s = time.time()
            self.platform.remove(key)

        return end

    def find_starts(self) -> list[RunSpan]:
        """Return the runs that began in a data centre while that was forbidden."""
        return [
            span
            for ledger in self.platform.ledgers()
            for span in ledger.spans
            for each in self.evacuations
            if zone_of(int(ledger.worker.removeprefix("w"))) == each.zone
            and each.from_s + IN_EFFECT_S < span.began_s < each.until_s
        ]
