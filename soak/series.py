"""Series of faults that overlap changes of the shard's holder."""

import random
from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_adapter_standins.local_platform import LocalPlatform, MemberProcess
from gooseberrydeck_platform.http import HttpError
from gooseberrydeck_standins.faults import FaultKind, FaultSettings
from gooseberrydeck_standins.processes import StandinProcess
from soak.faults import (
    LINK_FAULTS,
    MEMBERS,
    WORKERS,
    Cell,
    Fault,
    source_address,
)
from soak.proxy import LinkFault

__all__ = ["PAGE_ITEMS", "SERIES_LENGTH_S", "SeriesCell", "draw_series"]

log = structlog.get_logger(__name__)

SERIES_LENGTH_S = 16.0
PAGE_ITEMS = 3
"""Items on a page of the store, so that most ranges take several pages."""

HOLDER_KINDS = ("kill_holder", "pause_holder", "stop_holder", "reload_holder")
SERIES_KINDS = (
    "late_writes",
    "lost_responses",
    "refused_holder",
    "refused_member",
    "late_orders",
    "store_link",
    "worker_link",
    "store_forgets",
    "pause_worker",
    "kill_worker",
    "forgotten_worker",
)
REBIRTH_KINDS = (*SERIES_KINDS, "restart_worker")

CHANGES = (2, 4)
FAULTS_BESIDE_A_CHANGE = (2, 4)
LATE_WRITE_S = (1.0, 6.0)
LATE_ORDER_S = ((0.3, 2.0), (2.0, 12.0))
"""Delays of late calls to workers, which refuse starts more than 1.5 s old."""

WRITES = "/faults/writes"
ORDERS = "/faults/orders"
CONTROL_TIMEOUT_S = 0.5
"""Time limit of a change of faults; a paused process would hold up other faults."""


def draw_series(seed: int, length_s: float, with_rebirths: bool = False) -> list[Fault]:
    """Return changes of the holder with faults around each of them, in order of time.

    With ``with_rebirths``, workers also start again under their ids.
    """
    rng = random.Random(seed)
    kinds = REBIRTH_KINDS if with_rebirths else SERIES_KINDS
    faults: list[Fault] = []

    def draw(at_s: float, kind: str) -> None:
        for_s = rng.uniform(0.5, 4.0)
        if kind == "forgotten_worker":
            for_s *= 2
        target, link = rng.randrange(100), rng.choice(LINK_FAULTS)
        faults.append(Fault(max(0.5, at_s), for_s, kind, target, link))

    for _ in range(rng.randint(*CHANGES)):
        at_s = rng.uniform(2.0, length_s - 4.0)
        draw(at_s, rng.choice(HOLDER_KINDS))
        for _ in range(rng.randint(*FAULTS_BESIDE_A_CHANGE)):
            draw(at_s + rng.uniform(-2.0, 1.0), rng.choice(kinds))
    return sorted(faults, key=lambda fault: fault.at_s)


class SeriesCell(Cell):
    """A cell that can also be disturbed in the ways that the series need.

    With ``with_rebirths``, calls to a worker's process may be executed by the next one
    under its id.
    """

    def __init__(self, platform: LocalPlatform, with_rebirths: bool) -> None:
        """Start the workers and members."""
        super().__init__(platform)
        self.with_rebirths = with_rebirths

    def holder(self, fault: Fault) -> MemberProcess:
        """Return the holder of the shard, or else a random member."""
        try:
            holder = self.platform.holder()
        except HttpError as error:
            log.info("holder not read", reason=str(error))
            holder = None
        return holder or self.member(fault.target)

    def begin_kill_holder(self, fault: Fault) -> Callable[[], None]:
        """Kill the holder and restart it at the end of the fault."""
        return self.kill_member(self.holder(fault))

    def begin_pause_holder(self, fault: Fault) -> Callable[[], None]:
        """Suspend the holder until the end of the fault."""
        return self.pause_member(self.holder(fault))

    def begin_stop_holder(self, fault: Fault) -> Callable[[], None]:
        """Terminate the holder and restart it at the end of the fault."""
        return self.stop_member(self.holder(fault))

    def begin_reload_holder(self, fault: Fault) -> Callable[[], None]:
        """Send SIGHUP to the holder, and again at the end of the fault."""
        holder = self.holder(fault)
        holder.reload()
        return holder.reload

    def begin_late_writes(self, fault: Fault) -> Callable[[], None]:
        """Make the store apply a share of the writes late, without a response."""
        settings = FaultSettings(
            FaultKind.LATE, share=share(fault), late_s=LATE_WRITE_S
        )
        return self.disturb(self.platform.store, settings, WRITES)

    def begin_lost_responses(self, fault: Fault) -> Callable[[], None]:
        """Make the store execute a share of the calls without a response."""
        settings = FaultSettings(FaultKind.ANSWER_LOST, share=share(fault))
        return self.disturb(self.platform.store, settings)

    def begin_refused_holder(self, fault: Fault) -> Callable[[], None]:
        """Make the store refuse the holder while it serves the others."""
        return self.refuse(self.names.index(self.holder(fault).name), fault)

    def begin_refused_member(self, fault: Fault) -> Callable[[], None]:
        """Make the store refuse a member while it serves the others."""
        return self.refuse(fault.target % MEMBERS, fault)

    def refuse(self, number: int, fault: Fault) -> Callable[[], None]:
        """Make the store refuse the member numbered ``number``."""
        kind = FaultKind.BUSY if fault.target % 2 else FaultKind.DOWN
        path = f"/faults?Caller={source_address(number)}"
        return self.disturb(self.platform.store, FaultSettings(kind), path)

    def begin_late_orders(self, fault: Fault) -> Callable[[], None]:
        """Make all workers execute a share of the calls late, without a response.

        Half of these faults affect starts and stops only, so that the workers go on
        answering polls and get more of them.
        """
        is_for_orders = fault.target % 2 == 0
        settings = FaultSettings(
            FaultKind.LATE,
            share=share(fault) + (0.4 if is_for_orders else 0.0),
            late_s=LATE_ORDER_S[fault.target % 2],
            outlives_process=self.with_rebirths,
        )
        path = ORDERS if is_for_orders else "/faults"
        ends = [self.disturb(each, settings, path) for each in self.platform.workers]

        def end() -> None:
            for each in ends:
                each()

        return end

    def begin_forgotten_worker(self, fault: Fault) -> Callable[[], None]:
        """Silence a worker and remove its entry, until the end of the fault.

        If its leases lapse meanwhile, the scheduler forgets it until it is back.
        """
        number = fault.target % WORKERS
        link = self.worker_links[number]
        link.fault = LinkFault.SILENT
        self.lapse_entry(number, fault.for_s)

        def end() -> None:
            link.fault = LinkFault.NONE

        return end

    def begin_kill_worker(self, fault: Fault) -> Callable[[], None]:
        """Kill a worker; at the end, its entry lapses and a new worker is added."""
        number = fault.target % len(self.platform.workers)
        add_worker = super().begin_kill_worker(fault)

        def end() -> None:
            self.lapse_entry(number, 0.0)
            add_worker()

        return end

    def lapse_entry(self, number: int, for_s: float) -> None:
        """Remove the entry of the worker numbered ``number`` for a time."""
        query = f"Key=servers/w{number}&ForMs={int(for_s * 1000)}"
        self.control(self.platform.store, f"/lapse?{query}")

    def begin_restart_worker(self, fault: Fault) -> Callable[[], None]:
        """Replace a worker's process by another one under its id."""
        self.control(self.worker(fault.target), "/restart")
        return lambda: None

    def disturb(
        self, process: StandinProcess, settings: FaultSettings, path: str = "/faults"
    ) -> Callable[[], None]:
        """Set faults of a stand-in and return a callable that clears them."""
        self.control(process, path, msgspec.json.encode(settings))
        none = msgspec.json.encode(FaultSettings())
        return lambda: self.control(process, path, none)

    def control(self, process: StandinProcess, path: str, body: bytes = b"") -> None:
        """Send a test request to a stand-in, which may be paused or gone."""
        try:
            process.put(path, body, CONTROL_TIMEOUT_S)
        except HttpError as error:
            log.info("stand-in not reached", path=path, reason=str(error))

    def recover(self) -> None:
        """Clear the faults of the links and stand-ins, and restart ended members."""
        super().recover()
        paths = [
            f"/faults?Caller={source_address(number)}" for number in range(MEMBERS)
        ]
        for path in ("/faults", WRITES, *paths):
            self.platform.store.apply_faults(FaultSettings(), path)
        for process in self.platform.workers:
            if process.is_alive():
                process.apply_faults(FaultSettings())
                process.apply_faults(FaultSettings(), ORDERS)


def share(fault: Fault) -> float:
    """Return the share of the calls that a fault affects, from 0.1 to 0.5."""
    return 0.1 + 0.1 * (fault.target % 5)
