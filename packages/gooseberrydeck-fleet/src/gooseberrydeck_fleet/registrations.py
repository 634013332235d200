"""How workers announce themselves."""

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, Rack, ServiceName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["Registration"]


class Registration(msgspec.Struct, frozen=True):
    """A worker's entry; ``remaining_s`` is the least time left while it drains."""

    worker: WorkerId
    service: ServiceName
    address: HttpAddress
    data_centre: DataCentre
    rack: Rack
    labels: frozenset[str]
    kind: str
    capacity: Resources
    is_draining: bool
    remaining_s: float | None = None
    born_ms: int = 0
