"""Messages of reports: burn, share and packing."""

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
    """Requests of one window; ``burn`` is 1 when the budget would just last.

    ``burn`` is the share of bad requests over the share that the objective allows.
    """

    window: str
    window_s: int
    good: int
    late: int
    failed: int
    burn: float


class BurnPoint(msgspec.Struct, frozen=True):
    """The burn in one bucket that begins at ``start_s`` of wall-clock time."""

    start_s: float
    requests: int
    burn: float


class TeamBudgetUse(msgspec.Struct, frozen=True):
    """A team's part in the used budget."""

    team: str
    late: int
    failed: int
    share: float


class ServiceBurn(msgspec.Struct, frozen=True):
    """How a service stands to its objective."""

    service: str
    objective_wait_ms: int
    objective_share: float
    budget_left: float
    windows: tuple[BurnWindow, ...]
    culprits: tuple[TeamBudgetUse, ...] = ()
    points: tuple[BurnPoint, ...] = ()
    wait_ms: dict[str, int] = {}
    """Waiting times of the last one to two hours by percentile, in milliseconds."""


class BurnResponse(msgspec.Struct, frozen=True):
    """The burn report of the cell.

    ``members`` counts the snapshots that went in; ``is_complete`` is false if the
    store did not answer, and only the answering member's counts are here.
    """

    made_s: float
    members: int
    is_complete: bool
    services: tuple[ServiceBurn, ...]


class TeamShare(msgspec.Struct, frozen=True):
    """A team's weight and what it has of the cell; shares are from 0 to 1."""

    team: str
    weight: float
    dominant_share: float
    distance: float
    limit: int
    running: int
    waiting: int


class ShareResponse(msgspec.Struct, frozen=True):
    """How near each team comes to its share."""

    made_s: float
    members: int
    teams: tuple[TeamShare, ...]


class PackingResponse(msgspec.Struct, frozen=True):
    """How full the workers are."""

    made_s: float
    members: int
    hosts: int = 0
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    largest_hole: Resources = NO_RESOURCES
    waiting: int = 0
