"""Calls over a network in virtual time, whose delays and losses are drawn."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Generic, TypeVar

from virtual_time import VirtualFuture, VirtualTime

T = TypeVar("T")

FAST_S = 0.001, 0.01
"""Delay of a message, in each direction."""

LATE_S = 0.3, 5.0
SOON_S = 0.6, 1.6
"""Times after which a call is executed whose response is withheld."""


class Network:
    """The network between the holder and one service, with faults.

    Each service has its own, whose random numbers don't depend on calls to others.
    """

    def __init__(self, loop: VirtualTime, seed: str) -> None:
        """Create a network without faults."""
        self.loop = loop
        self.rng = Random(seed)
        # Nothing arrives any more, in either direction.
        self.is_cut = False
        # Further delay of each request.
        self.extra_s = 0.0
        # Shares of the calls whose response is lost, and of the orders executed late.
        self.lost_share = 0.0
        self.late_share = 0.0

    def heal(self) -> None:
        """End all faults."""
        self.is_cut = False
        self.extra_s = self.lost_share = self.late_share = 0.0

    def call(
        self,
        serve: Callable[["Response[T]"], None],
        timeout_s: float,
        may_be_late: bool,
    ) -> T:
        """Send a request and wait for the response.

        Raises ``TimeoutError`` if none comes in time, or what the service fails
        with. ``may_be_late`` says that the call may be executed late.
        """
        response: Response[T] = Response(self)
        delay_s = self.rng.uniform(*FAST_S) + self.extra_s
        fate = self.rng.random()
        if fate < self.lost_share:
            response.is_lost = True
        elif may_be_late and fate > 1.0 - self.late_share:
            response.is_lost = True
            delay_s += self.rng.uniform(*self.rng.choice((LATE_S, SOON_S)))
        is_sent = not self.is_cut

        def arrive() -> None:
            if is_sent and not self.is_cut:
                serve(response)

        self.loop.call_in(delay_s, arrive)
        return response.future.result(timeout_s)


class Response(Generic[T]):
    """The response to one call, which the service sets once."""

    def __init__(self, network: Network) -> None:
        """Create a response that the caller waits for."""
        self.network = network
        self.future: VirtualFuture[T] = VirtualFuture(network.loop)
        self.is_lost = False

    def send(self, make: Callable[[], T]) -> None:
        """Execute a call now, and send its result or the exception that it raises."""
        try:
            result = make()
        except Exception as error:
            self.deliver(partial(self.future.set_exception, error))
        else:
            self.deliver(partial(self.future.set_result, result))

    def deliver(self, set_outcome: Callable[[], None]) -> None:
        """Let the outcome arrive at the caller, if the network does so."""
        is_sent = not (self.is_lost or self.network.is_cut)

        def arrive() -> None:
            if is_sent and not self.network.is_cut:
                set_outcome()

        delay_s = self.network.rng.uniform(*FAST_S)
        self.network.loop.call_in(delay_s, arrive)


__all__ = ["Network", "Response"]
