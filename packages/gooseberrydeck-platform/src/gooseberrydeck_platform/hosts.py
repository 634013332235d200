"""Interface to the platform's list of hosts, which may be out of date."""

from enum import Enum
from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, HostName, Rack, ServiceName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = ["Host", "HostKind", "HostList", "HostState"]


class HostKind(Enum):
    """The role of a host."""

    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(Enum):
    """Whether a host may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(msgspec.Struct, frozen=True):
    """A worker or an endpoint with its address and capacity.

    ``path`` is prepended to the paths of the host's HTTP interface, so that several
    hosts can share a port.
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
    """The platform's list of hosts, which lags behind their actual state."""

    def read(self, timeout_s: float) -> tuple[Host, ...]:
        """Return the hosts as last known, or raise ``HostListUnavailableError``."""
