"""What members say to each other about requests."""

from gooseberrydeck_coordination.ids import RequestId, ServiceName, TeamName
from gooseberrydeck_daemon.dispatch.exceptions import Outcome, Reason
from gooseberrydeck_daemon.dispatch.pools import PoolLoad
from gooseberrydeck_daemon.peers import PeerMessage

__all__ = [
    "ForwardAnswer",
    "ForwardCancel",
    "ForwardFailure",
    "ForwardRequest",
    "LoadSummary",
]


class ForwardRequest(PeerMessage, frozen=True):
    """Run a request on one of the receiver's own endpoints."""

    id: RequestId
    service: ServiceName
    team: TeamName
    content_type: str
    body: bytes
    timeout_ms: int
    is_retry: bool = False


class ForwardAnswer(PeerMessage, frozen=True):
    """The endpoint's whole answer, and the owner's load after it."""

    id: RequestId
    status: int
    content_type: str
    body: bytes
    load: PoolLoad
    waited_ms: float = 0.0
    """How long the request waited at the owner before it was sent."""


class ForwardFailure(PeerMessage, frozen=True):
    """The typed failure of a forwarded request, and the owner's load after it."""

    id: RequestId
    outcome: Outcome
    reason: Reason
    load: PoolLoad
    retry_after_ms: int | None = None


class ForwardCancel(PeerMessage, frozen=True):
    """Give up a forwarded request, since its caller has gone."""

    id: RequestId


class LoadSummary(PeerMessage, frozen=True):
    """The load of each service that the sender owns endpoints of."""

    services: dict[ServiceName, PoolLoad]
