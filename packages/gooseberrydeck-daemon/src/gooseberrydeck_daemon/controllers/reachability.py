"""Whether a starting member reaches its peers, before callers are sent to it."""

from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum
from typing import Any

import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.controllers.configuration import AwaitConfiguration
from gooseberrydeck_daemon.peers import Peers
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task

__all__ = ["ReachabilityTask"]

TICK_S = 0.05
ASK_TIMEOUT_S = 1.0
MAX_WAIT_S = 5.0
"""A peer that has not answered for this long is taken for dead, and not waited for."""

ANY_CONFIGURATION = AwaitConfiguration(0)

log = structlog.get_logger(__name__)


class Event(Enum):
    """What the task is told."""

    OWNERS_KNOWN = "owners_known"


class ReachabilityTask(Task[Event]):
    """Call ``reached`` once the owners are known and every live peer has answered.

    A member forwards requests to the owners of shards. Before its connections to them
    are up, it could only refuse what the balancer sends.
    """

    def __init__(
        self,
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
        reached: Callable[[], None],
    ) -> None:
        """Ask through ``peers``."""
        super().__init__("reachability", tick_s=TICK_S)
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.reached = reached
        self.began_s: float | None = None
        self.is_done = False
        self.answered: set[MemberId] = set()
        self.asked: dict[MemberId, Future[Any]] = {}

    def owners_known(self) -> None:
        """Begin to ask; may be called from any thread, and more than once."""
        self.post(Event.OWNERS_KNOWN)

    def handle(self, message: Event) -> None:
        """Begin to ask the peers."""
        if self.began_s is None:
            self.began_s = self.clock.monotonic()
        self.tick()

    def tick(self) -> None:
        """Ask the peers that have not answered, until all have or time is over."""
        if self.began_s is None or self.is_done:
            return
        missing = [
            peer.member
            for peer in self.membership.peers()
            if not self.has_answered(peer.member)
        ]
        waited_s = self.clock.monotonic() - self.began_s
        if missing and waited_s < MAX_WAIT_S:
            return
        self.is_done = True
        log.info("peers reached", missing=missing, waited_s=round(waited_s, 3))
        self.reached()

    def has_answered(self, member: MemberId) -> bool:
        """Tell whether a peer has answered, and ask it again if an ask has failed."""
        if member in self.answered:
            return True
        ask = self.asked.get(member)
        if ask is not None and ask.done() and ask.exception() is None:
            self.answered.add(member)
            return True
        if ask is None or ask.done():
            self.asked[member] = self.peers.ask(
                member, ANY_CONFIGURATION, ASK_TIMEOUT_S
            )
        return False
