"""The slots and connections of one endpoint, used by its shard's owner only."""

from collections.abc import Callable

from gooseberrydeck_coordination.ids import ShardId
from gooseberrydeck_platform.endpoints import Endpoint
from gooseberrydeck_platform.hosts import Host, HostState

__all__ = ["EndpointFactory", "EndpointSlots"]

EndpointFactory = Callable[[Host], Endpoint]


class EndpointSlots:
    """Count an endpoint's free slots and keep its idle connections.

    ``room`` is how many more requests the endpoint takes now. It is worked out when
    something changes, since every request reads it of every endpoint. Not safe for
    threads: the pool's lock guards it.
    """

    def __init__(self, host: Host, shard: ShardId, connect: EndpointFactory) -> None:
        """Begin with every slot free and no connection."""
        self.host = host
        self.shard = shard
        self.connect = connect
        self.in_use = 0
        self.idle: list[Endpoint] = []
        self.is_gone = False
        self.slots = 0
        self.room = 0
        self.set_host(host)

    def set_host(self, host: Host) -> None:
        """Take in what the host list says of the endpoint now."""
        self.host = host
        bound = host.connections or host.slots
        self.slots = min(host.slots, bound) if self.is_open else 0
        self.update_room()

    @property
    def is_open(self) -> bool:
        """Tell whether the endpoint may get new work at all."""
        return not self.is_gone and self.host.state is HostState.LIVE

    def update_room(self) -> None:
        """Work out the room again."""
        self.room = max(0, self.slots - self.in_use)

    def take(self) -> Endpoint:
        """Take a slot, and a connection to go with it."""
        self.in_use += 1
        self.update_room()
        if self.idle:
            return self.idle.pop()
        return self.connect(self.host)

    def give_back(self, connection: Endpoint, is_reusable: bool) -> None:
        """Free a slot; keep its connection if it is whole."""
        self.in_use -= 1
        self.update_room()
        if is_reusable and self.is_open:
            self.idle.append(connection)
        else:
            connection.close()

    def retire(self) -> None:
        """Take no more work; close what is idle."""
        self.is_gone = True
        self.slots = 0
        self.update_room()
        for connection in self.idle:
            connection.close()
        self.idle.clear()
