"""Requests to the advice service, distributed over the members.

The service handles one request at a time for each calling host, so each member sends
one at a time.
"""

import threading
from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_fleet.advice import Advice, AdviceFailedError, Adviser
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.threads import SYSTEM_CLOCK, SYSTEM_THREADS, Threads

__all__ = ["AdviceCompleted", "AdvicePool"]

log = structlog.get_logger(__name__)

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


class Request:
    """A request in flight; ``is_completed`` once its result has been posted."""

    def __init__(
        self, command: AskAdvice, post: Callable[[object], None], asked_s: float
    ) -> None:
        """Create a request that is sent now."""
        self.command = command
        self.post = post
        self.asked_s = asked_s
        self.is_completed = False


class AdvicePool:
    """Send each request through a member that has none in flight.

    Members whose last request failed are used last, and requests in flight through a
    member that leaves fail at once: a member that is silent, or that can't reach the
    service, mustn't delay steps that others could ask for.
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
        # Members with a call in progress, until it returns.
        self.requests: dict[str, Request] = {}
        # Members whose last request failed, in the order of the failures.
        self.failed: dict[str, None] = {}
        self.executor = threads.executor(MAX_CONCURRENT_REQUESTS, "advice")

    def set_peers(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of the other members to send requests through.

        Requests through members that are no longer among them fail.
        """
        with self.lock:
            self.addresses = addresses[: MAX_CONCURRENT_REQUESTS - 1]
            gone = self.requests.keys() - {"", *self.addresses}
            abandoned = [(each, self.requests[each]) for each in gone]
        for address, request in abandoned:
            self.complete(address, request, None, "the member has left")

    def capacity(self) -> int:
        """Return how many requests can be in flight at once."""
        with self.lock:
            members = ("", *self.addresses)
            return sum(not self.is_blocked(address) for address in members)

    def is_blocked(self, address: str) -> bool:
        """Return True if a call through a member goes on that counts for nothing."""
        request = self.requests.get(address)
        return request is not None and request.is_completed

    def acquire_member(self, request: Request) -> str:
        """Reserve a free member and return its address, empty for this one."""
        with self.lock:
            members = [
                address
                for address in ("", *self.addresses)
                if address not in self.requests
            ]
            others = [address for address in members if address not in self.failed]
            failed = [address for address in self.failed if address in members]
            # If a member was removed while its request was in flight, none may be free:
            # this request waits behind the one of this member.
            address = [*others, *failed, ""][0]
            self.requests[address] = request
            return address

    def ask(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Send a request from the executor and post an ``AdviceCompleted`` message."""
        self.executor.submit(self.run, command, post)

    def run(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Send a request through a free member and post its result."""
        request = Request(command, post, self.clock.monotonic())
        address = self.acquire_member(request)
        try:
            advice = self.send(address, command)
        except AdviceFailedError as error:
            self.complete(address, request, None, str(error))
        except Exception as error:
            # Without a result, the request would count as in flight for good.
            log.exception("advice request crashed", address=address)
            self.complete(address, request, None, repr(error))
        else:
            self.complete(address, request, advice)
        finally:
            with self.lock:
                if self.requests.get(address) is request:
                    del self.requests[address]

    def send(self, address: str, command: AskAdvice) -> Advice:
        """Send a request through a member, or raise ``AdviceFailedError``."""
        arguments = command.step, command.workers, command.timeout_s
        if address:
            return self.peers.advise(address, *arguments)
        if self.adviser is None:
            raise AdviceFailedError("no advice service in the settings")
        return self.adviser.ask(*arguments)

    def complete(
        self, address: str, request: Request, advice: Advice | None, detail: str = ""
    ) -> None:
        """Post the result of a request, unless that has been done."""
        with self.lock:
            self.failed.pop(address, None)
            if advice is None:
                self.failed[address] = None
            if request.is_completed:
                return
            request.is_completed = True
        reason = f"{address}: {detail}" if detail else ""
        step = request.command.step
        request.post(AdviceCompleted(step, advice, request.asked_s, reason))
