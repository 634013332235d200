"""Questions about advice, spread over the members.

The service answers one question at a time for each calling host, so every member
carries one at a time.
"""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from gooseberrydeck_fleet.advice import Advice, AdviceFailedError, Adviser
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_member.peers import PeerClient

__all__ = ["AdviceCompleted", "AdvicePool"]

MAX_CONCURRENT_REQUESTS = 64
"""More members than this add threads and no benefit: urgent questions take 30 ms."""


class AdviceCompleted(msgspec.Struct, frozen=True):
    """An answer about a step; None if there was none.

    ``asked_s`` is monotonic: a ticket holds from then on, at worst.
    """

    step: StepRef
    advice: Advice | None
    asked_s: float
    detail: str = ""


class AdvicePool:
    """Give each question to a member that has none at the moment."""

    def __init__(self, adviser: Adviser | None, peers: PeerClient) -> None:
        """Begin with this member's own lane."""
        self.adviser = adviser
        self.peers = peers
        self.lock = threading.Lock()
        self.addresses: tuple[str, ...] = ()
        self.busy: set[str] = set()
        self.executor = ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS, "advice")

    def set_peers(self, addresses: tuple[str, ...]) -> None:
        """Use the members at the given addresses besides this one."""
        with self.lock:
            self.addresses = addresses[: MAX_CONCURRENT_REQUESTS - 1]

    def capacity(self) -> int:
        """Return how many questions can be asked at once."""
        return len(self.addresses) + 1

    def acquire_member(self) -> str:
        """Return the address of a free member; empty for this one."""
        with self.lock:
            for address in ("", *self.addresses):
                if address not in self.busy:
                    self.busy.add(address)
                    return address
        # A lane was closed while its question was out: wait behind one's own.
        return ""

    def ask(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Ask in an executor and post the answer."""
        self.executor.submit(self.run, command, post)

    def run(self, command: AskAdvice, post: Callable[[object], None]) -> None:
        """Ask through a free lane."""
        address = self.acquire_member()
        asked_s = time.monotonic()
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
            post(AdviceCompleted(command.step, advice, asked_s))
        finally:
            with self.lock:
                self.busy.discard(address)
