"""Data centres that crash, are back at once, and are cut off, beside long tasks."""

import random
import time
from collections.abc import Callable

from gooseberrydeck_adapter_standins.local_platform import LocalPlatform
from gooseberrydeck_adapter_standins.worker import ZONES, zone_of
from soak.callers import JobClient
from soak.faults import WORKERS, Fault
from soak.proxy import LinkFault
from soak.series import SeriesCell

__all__ = ["RESTARTS_LENGTH_S", "RestartsCell", "RestartsClient", "draw_restarts"]

RESTARTS_LENGTH_S = 46.0
ROUNDS = 2
ROUND_S = 13.0
"""Time from the crash of one data centre to that of the next."""

FIRST_CRASH_S = (20.0, 22.0)
"""Deadlines on the clocks of the first processes are that far ahead by then."""

DOWN_MS = 600
SILENT_S = 0.65
"""The address of a worker is silent until its next process is certainly up."""

CUT_AFTER_S = (1.6, 2.1)
CUT_S = 9.0
KILLED_S = (1.0, 3.0)
HELD_SHARE = 0.25
"""Share of the crashes during which calls are held up, and not lost."""

LONG_SHARE = 0.4
LONG_S = (6.0, 10.0)

SUBMIT_EVERY_S = 0.08
"""Interval of the jobs of a burst."""

BURST_S = 1.2
"""How long jobs with long tasks are submitted in a burst, after each restart."""

CALM_INTERVALS = 9
"""How many intervals pass between the jobs at other times."""


def draw_restarts(seed: int) -> list[Fault]:
    """Return crashes and cuts of the data centres in turn, in order of time.

    In half of the series, the holder is killed between the two, and once more later.
    """
    rng = random.Random(f"restarts {seed}")
    has_kills = rng.random() < 0.5
    target = rng.randrange(100)
    at_s = rng.uniform(*FIRST_CRASH_S)
    faults: list[Fault] = []
    for _ in range(ROUNDS):
        is_held = rng.random() < HELD_SHARE
        link = LinkFault.HELD if is_held else LinkFault.LOST
        cut_s = at_s + rng.uniform(*CUT_AFTER_S)
        faults += [
            Fault(at_s, SILENT_S, "restart_zone", target, link),
            Fault(cut_s, CUT_S, "cut_zone", target, LinkFault.LOST),
        ]
        if has_kills:
            for from_s, to_s in ((at_s, cut_s), (cut_s, cut_s + CUT_S)):
                for_s = rng.uniform(*KILLED_S)
                kill_s = rng.uniform(from_s, to_s)
                faults.append(
                    Fault(kill_s, for_s, "kill_holder", target, LinkFault.NONE)
                )
        target += 1
        at_s += ROUND_S
    return sorted(faults, key=lambda fault: fault.at_s)


class RestartsCell(SeriesCell):
    """A cell in which all workers of a data centre restart under their ids."""

    heartbeat_s = 1.5

    def __init__(self, platform: LocalPlatform) -> None:
        """Start the workers and members."""
        super().__init__(platform, with_rebirths=False)
        self.burst_until_s = 0.0

    def numbers(self, fault: Fault) -> list[int]:
        """Return the numbers of the workers in the data centre of a fault."""
        zone = zone_of(fault.target % ZONES)
        return [number for number in range(WORKERS) if zone_of(number) == zone]

    def begin_restart_zone(self, fault: Fault) -> Callable[[], None]:
        """Crash the workers of a data centre, which answer nothing until they are up.

        Calls that they have received are not cut either.
        """
        end = self.begin_cut_zone(fault)
        for number in self.numbers(fault):
            path = f"/restart?ForMs={DOWN_MS}"
            self.control(self.platform.workers[number], path)

        def restart() -> None:
            end()
            self.burst_until_s = time.monotonic() + BURST_S

        return restart

    def is_in_burst(self) -> bool:
        """Return True while a burst of jobs is submitted."""
        return time.monotonic() < self.burst_until_s

    def begin_cut_zone(self, fault: Fault) -> Callable[[], None]:
        """Cut off the workers of a data centre, whose tasks run on."""
        links = [self.worker_links[number] for number in self.numbers(fault)]

        def set_fault(kind: LinkFault) -> None:
            for link in links:
                link.fault = kind

        set_fault(fault.link)
        return lambda: set_fault(LinkFault.NONE)


class RestartsClient(JobClient):
    """Client whose jobs have long and short tasks, and long ones in bursts."""

    cpu_millis = (500,)

    def __init__(self, cell: RestartsCell, seed: int) -> None:
        """Create a client whose jobs are generated from a seed."""
        super().__init__(cell, seed, with_crashes=False, with_periodic=False)
        self.is_in_burst = cell.is_in_burst

    def run(self) -> None:
        """Submit jobs until stopped."""
        number = 0
        while not self.stopping.wait(SUBMIT_EVERY_S):
            number += 1
            if self.is_in_burst() or number % CALM_INTERVALS == 0:
                self.submit(f"/urgent/{number:016x}")

    def draw_seconds(self) -> float:
        """Return how long the tasks of a job work."""
        if self.is_in_burst() or self.rng.random() < LONG_SHARE:
            return self.rng.uniform(*LONG_S)
        return super().draw_seconds()
