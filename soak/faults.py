"""The schedule of faults, drawn from a seed, and how each is injected."""

import random
from collections.abc import Callable

import msgspec

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    MemberProcess,
)
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.processes import StandinProcess
from soak.proxy import LinkFault, Proxy

__all__ = ["Cell", "Fault", "draw_schedule"]

MEMBERS = 3
WORKERS = 5
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
LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]


class Fault(msgspec.Struct, frozen=True):
    """A fault from ``at_s`` for ``for_s`` seconds; faults may overlap."""

    at_s: float
    for_s: float
    kind: str
    target: int
    link: LinkFault


def draw_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, the same for the same seed."""
    draw = random.Random(seed)
    faults = [
        Fault(
            draw.uniform(1.0, length_s - 3.0),
            draw.uniform(0.3, 3.0),
            draw.choice(KINDS),
            draw.randrange(100),
            draw.choice(LINK_FAULTS),
        )
        for _ in range(draw.randint(3, 7))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


class Cell:
    """The processes of a run with a proxy before the store and each worker."""

    def __init__(self, platform: LocalPlatform) -> None:
        """Start members and workers."""
        self.platform = platform
        self.names = [f"m{number}" for number in range(MEMBERS)]
        self.store_links = {name: Proxy(platform.store.address) for name in self.names}
        self.worker_links: list[Proxy] = []
        for _ in range(WORKERS):
            self.add_worker()
        for name in self.names:
            self.start_member(name)

    def add_worker(self) -> None:
        """Start a worker behind a proxy."""
        link = Proxy()
        worker = self.platform.add_workers(1, 8, advertise=str(link.address))
        link.target = HttpAddress.parse(worker.announcement()["address"])
        self.worker_links.append(link)

    def start_member(self, name: str) -> None:
        """Start a member behind its proxy to the store."""
        self.platform.add_member(name, self.store_links[name].address)

    def member(self, target: int) -> MemberProcess:
        """Return the member that a draw means."""
        return self.platform.members[self.names[target % MEMBERS]]

    def worker(self, target: int) -> StandinProcess:
        """Return the worker's process that a draw means."""
        return self.platform.workers[target % len(self.platform.workers)]

    def begin(self, fault: Fault) -> Callable[[], None]:
        """Inject a fault and return what ends it."""
        method = getattr(self, f"begin_{fault.kind}")
        end: Callable[[], None] = method(fault)
        return end

    def begin_kill_member(self, fault: Fault) -> Callable[[], None]:
        """Kill a member; another run of it starts later."""
        member = self.member(fault.target)
        if member.is_alive():
            member.kill()
        return lambda: self.start_member(member.name)

    def begin_kill_all_members(self, _fault: Fault) -> Callable[[], None]:
        """Kill every member at once."""
        for member in self.platform.members.values():
            if member.is_alive():
                member.kill()

        def end() -> None:
            for name in self.names:
                if not self.platform.members[name].is_alive():
                    self.start_member(name)

        return end

    def begin_pause_member(self, fault: Fault) -> Callable[[], None]:
        """Stop a member where it is."""
        member = self.member(fault.target)
        if not member.is_alive():
            return lambda: None
        member.pause()
        return member.resume

    def begin_stop_member(self, fault: Fault) -> Callable[[], None]:
        """Ask a member to end; another run of it starts when it has."""
        member = self.member(fault.target)
        member.terminate()

        def end() -> None:
            if self.platform.members[member.name] is member:
                self.start_member(member.name)

        return end

    def begin_store_link(self, fault: Fault) -> Callable[[], None]:
        """Harm a member's link to the store."""
        return self.harm(self.store_links[self.names[fault.target % MEMBERS]], fault)

    def begin_worker_link(self, fault: Fault) -> Callable[[], None]:
        """Harm the link to a worker."""
        return self.harm(self.worker_links[fault.target % WORKERS], fault)

    def harm(self, link: Proxy, fault: Fault) -> Callable[[], None]:
        """Let a link misbehave."""
        link.fault = fault.link

        def heal() -> None:
            link.fault = LinkFault.NONE

        return heal

    def begin_store_down(self, _fault: Fault) -> Callable[[], None]:
        """Let the store refuse everything."""
        return self.switch(self.platform.store, FaultKind.DOWN)

    def begin_store_frozen(self, _fault: Fault) -> Callable[[], None]:
        """Let the store answer late: calls have their effect when it thaws."""
        return self.switch(self.platform.store, FaultKind.FROZEN)

    def begin_store_answers_lost(self, _fault: Fault) -> Callable[[], None]:
        """Let the store do what it is asked and not say so."""
        return self.switch(self.platform.store, FaultKind.ANSWER_LOST)

    def begin_advice_down(self, _fault: Fault) -> Callable[[], None]:
        """Let the advice service refuse everything."""
        return self.switch(self.platform.advice, FaultKind.DOWN)

    def switch(self, process: StandinProcess, kind: FaultKind) -> Callable[[], None]:
        """Turn a stand-in's switch."""
        process.set_fault(kind)
        return lambda: process.set_fault(FaultKind.NONE)

    def begin_store_forgets(self, _fault: Fault) -> Callable[[], None]:
        """Let the store drop its history."""
        self.platform.store.put("/compact")
        return lambda: None

    def begin_kill_worker(self, fault: Fault) -> Callable[[], None]:
        """Kill a worker; a new one comes later."""
        process = self.worker(fault.target)
        if process.is_alive():
            process.kill()
        return self.add_worker

    def begin_pause_worker(self, fault: Fault) -> Callable[[], None]:
        """Stop a worker where it is."""
        process = self.worker(fault.target)
        if not process.is_alive():
            return lambda: None
        process.pause()
        return process.resume

    def heal(self) -> None:
        """Let every link work, and every member live."""
        for link in [*self.store_links.values(), *self.worker_links]:
            link.fault = LinkFault.NONE
        for name in self.names:
            if not self.platform.members[name].is_alive():
                self.start_member(name)
