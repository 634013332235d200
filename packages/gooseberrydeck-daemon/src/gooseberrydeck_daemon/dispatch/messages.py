"""Messages about requests between members."""

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
    """Requests a run on one of the receiver's own endpoints."""

    id: RequestId
    service: ServiceName
    team: TeamName
    content_type: str
    body: bytes
    timeout_ms: int
    is_retry: bool = False


class ForwardAnswer(PeerMessage, frozen=True):
    """The endpoint's complete answer, and the owner's load afterwards."""

    id: RequestId
    status: int
    content_type: str
    body: bytes
    load: PoolLoad
    waited_ms: float = 0.0
    """How long the request waited on the owner before it was sent."""


class ForwardFailure(PeerMessage, frozen=True):
    """The typed error of a forwarded request, and the owner's load afterwards."""

    id: RequestId
    outcome: Outcome
    reason: Reason
    load: PoolLoad
    retry_after_ms: int | None = None


class ForwardCancel(PeerMessage, frozen=True):
    """Cancels a forwarded request whose caller has disconnected."""

    id: RequestId


class LoadSummary(PeerMessage, frozen=True):
    """The load of each service for which the sender owns endpoints."""

    services: dict[ServiceName, PoolLoad]
