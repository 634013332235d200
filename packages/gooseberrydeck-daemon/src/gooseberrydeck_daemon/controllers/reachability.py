"""Startup probe of the peers, which delays the readiness of a member."""

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
REQUEST_TIMEOUT_S = 1.0
MAX_WAIT_S = 5.0
"""Peers that have not replied after this time are assumed to be dead."""

ANY_CONFIGURATION = AwaitConfiguration(0)

log = structlog.get_logger(__name__)


class Event(Enum):
    """Messages of the reachability task."""

    OWNERS_KNOWN = "owners_known"


class ReachabilityTask(Task[Event]):
    """Call ``on_reachable`` once owners are known and every live peer has replied.

    A member forwards requests to the owners of shards. If it became ready before it
    has connections to them, it would have to refuse requests from the load balancer.
    """

    def __init__(
        self,
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
        on_reachable: Callable[[], None],
    ) -> None:
        """Create a task that probes the peers of ``membership``."""
        super().__init__("reachability", tick_s=TICK_S)
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.on_reachable = on_reachable
        self.started_s: float | None = None
        self.is_done = False
        self.reached_peers: set[MemberId] = set()
        self.pending: dict[MemberId, Future[Any]] = {}

    def start_probing(self) -> None:
        """Start probing; thread-safe, and without effect after the first call."""
        self.post(Event.OWNERS_KNOWN)

    def handle(self, message: Event) -> None:
        """Record the start of the probe and send the first requests."""
        if self.started_s is None:
            self.started_s = self.clock.monotonic()
        self.tick()

    def tick(self) -> None:
        """Probe the remaining peers; finish after all replied or ``MAX_WAIT_S``."""
        if self.started_s is None or self.is_done:
            return
        missing = [
            peer.member
            for peer in self.membership.peers()
            if not self.is_reachable(peer.member)
        ]
        waited_s = self.clock.monotonic() - self.started_s
        if missing and waited_s < MAX_WAIT_S:
            return
        self.is_done = True
        log.info(
            "peer reachability checked", missing=missing, waited_s=round(waited_s, 3)
        )
        self.on_reachable()

    def is_reachable(self, member: MemberId) -> bool:
        """Return True if a peer has replied; send another request if one failed."""
        if member in self.reached_peers:
            return True
        request = self.pending.get(member)
        if request is not None and request.done() and request.exception() is None:
            self.reached_peers.add(member)
            return True
        if request is None or request.done():
            self.pending[member] = self.peers.request(
                member, ANY_CONFIGURATION, REQUEST_TIMEOUT_S
            )
        return False
