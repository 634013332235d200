"""Requests to the advice service, distributed over the members.

The service handles one request at a time for each calling host, so each member sends
one at a time.
"""

import threading
from collections.abc import Callable

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_fleet.advice import Advice, AdviceFailedError, Adviser
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.threads import SYSTEM_CLOCK, SYSTEM_THREADS, Threads

__all__ = ["AdviceCompleted", "AdvicePool"]

MAX_CONCURRENT_REQUESTS = 64
"""Limit on the members used. More would add threads but no benefit: an urgent request
takes 30 ms."""


class AdviceCompleted(msgspec.Struct, frozen=True):
    """The result of an advice request; ``advice`` is None if it failed.

    ``asked_s`` is the monotonic time of the request. A ticket is valid from then on in
    the worst case.
    """

    step: StepRef
    advice: Advice | None
    asked_s: float
    detail: str = ""


class AdvicePool:
    """Send each request through a member that has none in flight.

    Members whose last request failed are used last: one that is silent, or that can't
    reach the service, mustn't delay steps that others could ask for.
    """

    def __init__(
        self,
        adviser: Adviser | None,
        peers: PeerClient,
        clock: Clock = SYSTEM_CLOCK,
        threads: Threads = SYSTEM_THREADS,
    ) -> None:
        """Start with this member only; without an ``adviser`` its requests fail."""
        self.adviser = adviser
        self.peers = peers
        self.clock = clock
        self.lock = threading.Lock()
        self.addresses: tuple[str, ...] = ()
        self.busy: set[str] = set()
        # Members whose last request failed, in the order of the failures.
        self.failed: dict[str, None] = {}
        self.executor = threads.executor(MAX_CONCURRENT_REQUESTS, "advice")

    def set_peers(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of the other members to send requests through."""
        with self.lock:
            self.addresses = addresses[: MAX_CONCURRENT_REQUESTS - 1]

    def capacity(self) -> int:
        """Return how many requests can be in flight at once."""
        return len(self.addresses) + 1

    def acquire_member(self) -> str:
        """Reserve a free member and return its address, empty for this one."""
        with self.lock:
            free = [each for each in ("", *self.addresses) if each not in self.busy]
            others = [address for address in free if address not in self.failed]
            failed = [address for address in self.failed if address in free]
            # If a member was removed while its request was in flight, none may be free:
            # this request waits behind the one of this member.
            address = [*others, *failed, ""][0]
            self.busy.add(address)
            return address

    def release_member(self, address: str, has_failed: bool) -> None:
        """Make a member free again after a request."""
        with self.lock:
            self.busy.discard(address)
            self.failed.pop(address, None)
            if has_failed:
                self.failed[address] = None

    def ask(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Send a request from the executor and post an ``AdviceCompleted`` message."""
        self.executor.submit(self.run, command, post)

    def run(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Send a request through a free member and post its result."""
        address = self.acquire_member()
        asked_s = self.clock.monotonic()
        has_failed = True
        try:
            if address:
                advice = self.peers.advise(
                    address, command.step, command.workers, command.timeout_s
                )
            elif self.adviser is not None:
                advice = self.adviser.ask(
                    command.step, command.workers, command.timeout_s
                )
            else:
                raise AdviceFailedError("no advice service in the settings")
        except AdviceFailedError as error:
            post(AdviceCompleted(command.step, None, asked_s, f"{address}: {error}"))
        else:
            has_failed = False
            post(AdviceCompleted(command.step, advice, asked_s))
        finally:
            self.release_member(address, has_failed)
