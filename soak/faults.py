"""Fault schedules, generated from a seed, and the injection of each fault."""

import random
from collections.abc import Callable, Sequence

import msgspec
import structlog

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    MemberProcess,
)
from gooseberrydeck_adapter_standins.worker import HEARTBEAT_S
from gooseberrydeck_platform.http import HttpAddress, HttpError
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.processes import StandinProcess
from soak.crowds import connect_crowd
from soak.proxy import LinkFault, Proxy

__all__ = ["CROWD_KINDS", "Cell", "Fault", "draw_schedule", "source_address"]

log = structlog.get_logger(__name__)

MEMBERS = 3
FIRST_SOURCE = 10
"""Last byte of the loopback address of the first member's connections."""

WORKERS = 5
WORKER_CPUS = 8
WORKER_MEMORY_MIB = 65_536
KINDS = (
    "kill_member",
    "pause_member",
    "stop_member",
    "kill_all_members",
    "store_link",
    "worker_link",
    "store_down",
    "store_frozen",
    "store_answers_lost",
    "store_forgets",
    "kill_worker",
    "pause_worker",
    "advice_down",
)
WORKER_KINDS = (*KINDS, "shrink_worker")
"""The kinds of runs in which tasks crash workers and workers shrink.

The others draw from ``KINDS``, so that seeds that failed before draw the same faults.
"""

CROWD_KINDS = ("crowd", "crowd", "crowd", "kill_member", "kill_all_members")
"""The kinds of runs with clients outside the limits beside kills."""

LINK_FAULTS = [LinkFault.DELAY, LinkFault.SILENT, LinkFault.NO_ANSWERS, LinkFault.RESET]


class Fault(msgspec.Struct, frozen=True):
    """A fault from ``at_s`` on that lasts ``for_s`` seconds; faults may overlap."""

    at_s: float
    for_s: float
    kind: str
    target: int
    link: LinkFault


def draw_schedule(
    seed: int,
    length_s: float,
    with_crashes: bool = False,
    kinds: Sequence[str] | None = None,
) -> list[Fault]:
    """Return the faults of a run in order of time; deterministic for a seed."""
    kinds = kinds or (WORKER_KINDS if with_crashes else KINDS)
    rng = random.Random(seed)
    faults = [
        Fault(
            rng.uniform(1.0, length_s - 3.0),
            rng.uniform(0.3, 3.0),
            rng.choice(kinds),
            rng.randrange(100),
            rng.choice(LINK_FAULTS),
        )
        for _ in range(rng.randint(3, 7))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def source_address(number: int) -> str:
    """Return the address from which a member calls the store and the advice service."""
    return f"127.0.0.{FIRST_SOURCE + number}"


class Cell:
    """The processes of a run.

    There are proxies to the store and to the advice service, which see a member at each
    of them, and to each worker.
    """

    heartbeat_s = HEARTBEAT_S
    """Interval of the workers' registrations."""

    def __init__(self, platform: LocalPlatform) -> None:
        """Start the workers and members."""
        self.platform = platform
        self.names = [f"m{number}" for number in range(MEMBERS)]
        self.store_links = {
            name: Proxy(platform.store.address, source_address(number))
            for number, name in enumerate(self.names)
        }
        self.advice_links = {
            name: Proxy(platform.advice.address, source_address(number))
            for number, name in enumerate(self.names)
        }
        self.worker_links: list[Proxy] = []
        for _ in range(WORKERS):
            self.add_worker()
        for name in self.names:
            self.start_member(name)

    def add_worker(self) -> None:
        """Start a worker that is reached through a proxy."""
        link = Proxy()
        worker = self.platform.add_workers(
            1, WORKER_CPUS, str(link.address), self.heartbeat_s
        )
        link.target = HttpAddress.parse(worker.announcement()["address"])
        self.worker_links.append(link)

    def start_member(self, name: str) -> None:
        """Start a member that reaches the store and the advice through its proxies."""
        self.platform.add_member(
            name, self.store_links[name].address, self.advice_links[name].address
        )

    def member(self, target: int) -> MemberProcess:
        """Return the member that a random target selects."""
        return self.platform.members[self.names[target % MEMBERS]]

    def worker(self, target: int) -> StandinProcess:
        """Return the worker process that a random target selects."""
        return self.platform.workers[target % len(self.platform.workers)]

    def begin(self, fault: Fault) -> Callable[[], None]:
        """Inject a fault and return a callable that ends it."""
        method = getattr(self, f"begin_{fault.kind}")
        end: Callable[[], None] = method(fault)
        return end

    def begin_kill_member(self, fault: Fault) -> Callable[[], None]:
        """Kill a member and restart it at the end of the fault."""
        return self.kill_member(self.member(fault.target))

    def kill_member(self, member: MemberProcess) -> Callable[[], None]:
        """Kill a member and return a callable that restarts it."""
        if member.is_alive():
            member.kill()
        return lambda: self.start_member(member.name)

    def begin_kill_all_members(self, _fault: Fault) -> Callable[[], None]:
        """Kill all members and restart them at the end of the fault."""
        for member in self.platform.members.values():
            if member.is_alive():
                member.kill()

        def end() -> None:
            for name in self.names:
                if not self.platform.members[name].is_alive():
                    self.start_member(name)

        return end

    def begin_pause_member(self, fault: Fault) -> Callable[[], None]:
        """Suspend a member until the end of the fault."""
        return self.pause_member(self.member(fault.target))

    def pause_member(self, member: MemberProcess) -> Callable[[], None]:
        """Suspend a member and return a callable that resumes it."""
        if not member.is_alive():
            return lambda: None
        member.pause()
        return member.resume

    def begin_stop_member(self, fault: Fault) -> Callable[[], None]:
        """Terminate a member and restart it at the end of the fault."""
        return self.stop_member(self.member(fault.target))

    def stop_member(self, member: MemberProcess) -> Callable[[], None]:
        """Terminate a member and return a callable that restarts it."""
        member.terminate()

        def end() -> None:
            if self.platform.members[member.name] is member:
                self.start_member(member.name)

        return end

    def begin_store_link(self, fault: Fault) -> Callable[[], None]:
        """Inject a link fault between a member and the store."""
        return self.set_link_fault(
            self.store_links[self.names[fault.target % MEMBERS]], fault
        )

    def begin_worker_link(self, fault: Fault) -> Callable[[], None]:
        """Inject a link fault in front of a worker."""
        return self.set_link_fault(self.worker_links[fault.target % WORKERS], fault)

    def set_link_fault(self, link: Proxy, fault: Fault) -> Callable[[], None]:
        """Set the fault of a proxy and return a callable that clears it."""
        link.fault = fault.link

        def clear() -> None:
            link.fault = LinkFault.NONE

        return clear

    def begin_store_down(self, _fault: Fault) -> Callable[[], None]:
        """Make the store reject every request."""
        return self.set_standin_fault(self.platform.store, FaultKind.DOWN)

    def begin_store_frozen(self, _fault: Fault) -> Callable[[], None]:
        """Block requests to the store; they take effect when the fault ends."""
        return self.set_standin_fault(self.platform.store, FaultKind.FROZEN)

    def begin_store_answers_lost(self, _fault: Fault) -> Callable[[], None]:
        """Make the store execute requests without sending responses."""
        return self.set_standin_fault(self.platform.store, FaultKind.ANSWER_LOST)

    def begin_advice_down(self, _fault: Fault) -> Callable[[], None]:
        """Make the advice service reject every request."""
        return self.set_standin_fault(self.platform.advice, FaultKind.DOWN)

    def set_standin_fault(
        self, process: StandinProcess, kind: FaultKind
    ) -> Callable[[], None]:
        """Set the fault of a stand-in and return a callable that clears it."""
        process.set_fault(kind)
        return lambda: process.set_fault(FaultKind.NONE)

    def begin_store_forgets(self, _fault: Fault) -> Callable[[], None]:
        """Compact the whole history of the store."""
        self.platform.store.put("/compact")
        return lambda: None

    def begin_kill_worker(self, fault: Fault) -> Callable[[], None]:
        """Kill a worker and add a new one at the end of the fault."""
        process = self.worker(fault.target)
        if process.is_alive():
            try:
                self.platform.kill_worker(process)
            except HttpError as error:
                log.info("runs of a killed worker not read", reason=str(error))
        return self.add_worker

    def begin_pause_worker(self, fault: Fault) -> Callable[[], None]:
        """Suspend a worker until the end of the fault."""
        process = self.worker(fault.target)
        if not process.is_alive():
            return lambda: None
        process.pause()
        return process.resume

    def begin_shrink_worker(self, fault: Fault) -> Callable[[], None]:
        """Take a part of a worker's capacity away until the end of the fault."""
        process = self.worker(fault.target)
        self.resize(process, fault.target % WORKER_CPUS)
        return lambda: self.resize(process, WORKER_CPUS)

    def resize(self, process: StandinProcess, cpus: int) -> None:
        """Change the capacity of a worker that is alive and not paused."""
        body = {"Cpu": cpus * 1_000, "MemMb": WORKER_MEMORY_MIB}
        try:
            process.put("/capacity", msgspec.json.encode(body))
        except HttpError as error:
            log.info("worker not resized", reason=str(error))

    def begin_crowd(self, fault: Fault) -> Callable[[], None]:
        """Connect clients outside the limits to a member."""
        return connect_crowd(self.member(fault.target).callers_address)

    def recover(self) -> None:
        """Clear all link faults and restart the members that have ended."""
        links = [*self.store_links.values(), *self.advice_links.values()]
        for link in [*links, *self.worker_links]:
            link.fault = LinkFault.NONE
        for name in self.names:
            if not self.platform.members[name].is_alive():
                self.start_member(name)
