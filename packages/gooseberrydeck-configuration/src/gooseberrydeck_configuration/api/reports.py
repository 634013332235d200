"""Response bodies of the burn, share and packing reports."""

import msgspec

from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources

__all__ = [
    "BurnPoint",
    "BurnResponse",
    "BurnWindow",
    "PackingResponse",
    "ServiceBurn",
    "ShareResponse",
    "TeamBudgetUse",
    "TeamShare",
]


class BurnWindow(msgspec.Struct, frozen=True):
    """Request counts and error budget burn rate of a time window.

    ``burn`` is the fraction of bad requests divided by the fraction that the objective
    allows; at a rate of 1 the error budget is used up exactly.
    """

    window: str
    window_s: int
    good: int
    late: int
    failed: int
    burn: float


class BurnPoint(msgspec.Struct, frozen=True):
    """The burn rate of one time bucket, which starts at Unix time ``start_s``."""

    start_s: float
    requests: int
    burn: float


class TeamBudgetUse(msgspec.Struct, frozen=True):
    """The bad requests of a team; ``share`` is its fraction of the budget used."""

    team: str
    late: int
    failed: int
    share: float


class ServiceBurn(msgspec.Struct, frozen=True):
    """The state of a service relative to its objective."""

    service: str
    objective_wait_ms: int
    objective_share: float
    budget_left: float
    windows: tuple[BurnWindow, ...]
    culprits: tuple[TeamBudgetUse, ...] = ()
    points: tuple[BurnPoint, ...] = ()
    wait_ms: dict[str, int] = {}
    """Percentiles of the waiting time in ms, over the last one to two hours."""


class BurnResponse(msgspec.Struct, frozen=True):
    """Error budget burn of all services.

    ``members`` is the number of member snapshots included. ``is_complete`` is False if
    the store was unavailable, in which case the report covers only the member that
    answered the request.
    """

    made_s: float
    members: int
    is_complete: bool
    services: tuple[ServiceBurn, ...]


class TeamShare(msgspec.Struct, frozen=True):
    """The configured weight of a team and its current use of the cell.

    Shares are fractions of the cell from 0 to 1.
    """

    team: str
    weight: float
    dominant_share: float
    distance: float
    limit: int
    running: int
    waiting: int


class ShareResponse(msgspec.Struct, frozen=True):
    """The current use of the cell by each team, compared with its share."""

    made_s: float
    members: int
    teams: tuple[TeamShare, ...]


class PackingResponse(msgspec.Struct, frozen=True):
    """The utilization of the workers."""

    made_s: float
    members: int
    hosts: int = 0
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    largest_hole: Resources = NO_RESOURCES
    waiting: int = 0
