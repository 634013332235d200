"""The registrations of workers."""

import msgspec

from gooseberrydeck_coordination.ids import DataCentre, Rack, ServiceName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["Registration"]


class Registration(msgspec.Struct, frozen=True):
    """A worker's entry in the service registry.

    ``remaining_s`` is the minimum time until a draining worker leaves. ``born_ms`` is
    the start of the worker's process, in Unix milliseconds. For ``cold_s`` from now on,
    the worker is slow, since it has started lately. The record of a holder names the
    process that calls were meant for, and says besides whether the worker may hold the
    longest lease that it grants, and which tasks it may start late. ``closed_revision``
    says that no task of a job that was stored at a higher revision has been started
    there, or will be before the record says otherwise. A holder of an earlier release
    leaves it out.
    """

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
    may_hold_longest_lease: bool = False
    late_starts: tuple[TaskRef, ...] = ()
    cold_s: float = 0.0
    closed_revision: int | None = None
