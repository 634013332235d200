"""Slots and connections of one endpoint."""

from collections.abc import Callable

from gooseberrydeck_coordination.ids import ShardId
from gooseberrydeck_daemon.dispatch.breakers import Breaker, BreakerState, SlowStart
from gooseberrydeck_platform.endpoints import Endpoint
from gooseberrydeck_platform.hosts import Host, HostState

__all__ = ["EndpointFactory", "EndpointSlots"]

FAILURE_WEIGHT = 10_000
RANK_WHEN_FULL = -1_000_000_000

EndpointFactory = Callable[[Host], Endpoint]


class EndpointSlots:
    """Count an endpoint's free slots and keep its idle connections.

    Only the owner of the endpoint's shard uses them. ``free_slots`` is how many more
    requests the endpoint accepts now. It is cached and updated on changes, since each
    request reads it for every endpoint of the pool. Not thread-safe: the pool's lock
    guards it.
    """

    def __init__(self, host: Host, shard: ShardId, connect: EndpointFactory) -> None:
        """Create slots that are all free, without connections."""
        self.host = host
        self.shard = shard
        self.connect = connect
        self.breaker = Breaker()
        self.slow_start = SlowStart()
        self.ignores_breaker = False
        self.in_use = 0
        self.idle: list[Endpoint] = []
        self.is_retired = False
        self.slots = 0
        self.usable_slots = 0
        self.free_slots = 0
        self.rank = RANK_WHEN_FULL
        self.set_host(host, 0.0)

    def set_host(self, host: Host, now_s: float) -> None:
        """Apply the endpoint's entry in a new host list."""
        if self.host.state is not HostState.LIVE and host.state is HostState.LIVE:
            self.slow_start.start(now_s)
        self.host = host
        bound = host.connections or host.slots
        self.slots = min(host.slots, bound) if self.is_open else 0
        self.refresh(now_s)

    @property
    def is_open(self) -> bool:
        """Return True if the endpoint may get new requests at all."""
        return not self.is_retired and self.host.state is HostState.LIVE

    @property
    def is_steady(self) -> bool:
        """Return True if the number of usable slots does not change with time alone."""
        is_closed = self.breaker.state is BreakerState.CLOSED
        return is_closed and self.slow_start.started_s is None

    def refresh(self, now_s: float) -> None:
        """Recompute how many slots may be used."""
        usable = self.slots
        if not self.ignores_breaker:
            usable = self.breaker.allowance(usable, now_s)
        self.usable_slots = self.slow_start.allowance(usable, now_s)
        self.update_free_slots()

    def update_free_slots(self) -> None:
        """Recompute the number of free slots and the rank among endpoints.

        An endpoint whose last call failed ranks after all others. Otherwise an endpoint
        that fails immediately would always have the most free slots.
        """
        self.free_slots = max(0, self.usable_slots - self.in_use)
        rank = self.free_slots - FAILURE_WEIGHT * self.breaker.failures
        self.rank = rank if self.free_slots else RANK_WHEN_FULL

    def acquire(self) -> Endpoint:
        """Acquire a slot and return a connection for it."""
        self.in_use += 1
        self.update_free_slots()
        if self.idle:
            return self.idle.pop()
        return self.connect(self.host)

    def release(self, connection: Endpoint, is_reusable: bool) -> None:
        """Release a slot; keep its connection if it is reusable."""
        self.in_use -= 1
        self.update_free_slots()
        if is_reusable and self.is_open:
            self.idle.append(connection)
        else:
            connection.close()

    def record(self, is_success: bool, now_s: float) -> bool:
        """Record the result of a call; return True if the breaker changed its state."""
        if is_success:
            is_changed = self.breaker.record_success()
            if not is_changed:
                return False
            if not self.ignores_breaker:
                self.slow_start.start(now_s)
        else:
            is_changed = self.breaker.record_failure(now_s)
        self.refresh(now_s)
        return is_changed

    def retire(self) -> None:
        """Accept no more requests, and close idle connections."""
        self.is_retired = True
        self.slots = self.usable_slots = 0
        self.update_free_slots()
        for connection in self.idle:
            connection.close()
        self.idle.clear()
