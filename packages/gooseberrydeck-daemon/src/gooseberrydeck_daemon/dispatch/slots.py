"""The slots and connections of one endpoint, used by its shard's owner only."""

from collections.abc import Callable

from gooseberrydeck_coordination.ids import ShardId
from gooseberrydeck_platform.endpoints import Endpoint
from gooseberrydeck_platform.hosts import Host, HostState

__all__ = ["EndpointFactory", "EndpointSlots"]

EndpointFactory = Callable[[Host], Endpoint]


class EndpointSlots:
    """Count an endpoint's free slots and keep its idle connections.

    Not safe for threads: the pool's lock guards it.
    """

    def __init__(self, host: Host, shard: ShardId, connect: EndpointFactory) -> None:
        """Begin with every slot free and no connection."""
        self.host = host
        self.shard = shard
        self.connect = connect
        self.in_use = 0
        self.idle: list[Endpoint] = []
        self.is_gone = False

    @property
    def slots(self) -> int:
        """Return how many requests the endpoint takes at once."""
        if self.host.connections:
            return min(self.host.slots, self.host.connections)
        return self.host.slots

    @property
    def is_open(self) -> bool:
        """Tell whether the endpoint may get new work at all."""
        return not self.is_gone and self.host.state is HostState.LIVE

    def free(self) -> int:
        """Return how many more requests the endpoint takes now."""
        if not self.is_open:
            return 0
        return max(0, self.slots - self.in_use)

    def take(self) -> Endpoint:
        """Take a slot, and a connection to go with it."""
        self.in_use += 1
        if self.idle:
            return self.idle.pop()
        return self.connect(self.host)

    def give_back(self, connection: Endpoint, is_reusable: bool) -> None:
        """Free a slot; keep its connection if it is whole."""
        self.in_use -= 1
        if is_reusable and self.is_open:
            self.idle.append(connection)
        else:
            connection.close()

    def retire(self) -> None:
        """Take no more work; close what is idle."""
        self.is_gone = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()
