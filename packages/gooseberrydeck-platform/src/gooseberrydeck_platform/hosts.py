"""The interface to the platform's lagging list of hosts."""

from enum import Enum
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, HostName, Rack, ServiceName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Host", "HostKind", "HostList", "HostState"]


class HostKind(Enum):
    """What a host does."""

    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(Enum):
    """Whether a host may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """A worker or an endpoint, its address and what it offers.

    ``path`` comes before the paths of its interface, so that several hosts can
    answer on one port.
    """

    name: HostName
    kind: HostKind
    state: HostState
    address: str
    port: int
    data_centre: DataCentre
    rack: Rack
    path: str = ""
    capacity: Resources = NO_RESOURCES
    service: ServiceName = ServiceName("")
    slots: int = 0
    connections: int = 0


class HostList(Protocol):
    """The platform's list of hosts; it lags behind the truth."""

    def read(self, timeout_s: float) -> tuple[Host, ...]:
        """Return the hosts as last known, or raise ``HostListUnavailableError``."""
