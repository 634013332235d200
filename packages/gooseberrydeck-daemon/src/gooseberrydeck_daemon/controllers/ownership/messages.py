"""Messages of the ownership controller, to peers and to its own inbox."""

import msgspec

from gooseberrydeck_coordination import (
    AttestationAnswer,
    AttestationRequest,
    HostSpecification,
)
from gooseberrydeck_coordination.ids import Epoch, ShardId
from gooseberrydeck_daemon.peers import Inbound, PeerMessage

__all__ = [
    "AttestationAsk",
    "AttestationReply",
    "HostListRead",
    "LeaveRequested",
    "OwnershipMessage",
    "AttestationReceived",
    "AttestationRequested",
    "ShardSettled",
]


class AttestationAsk(PeerMessage, frozen=True):
    """Request that a peer attests the epochs of this member's shards."""

    request: AttestationRequest


class AttestationReply(PeerMessage, frozen=True):
    """Reply with the newest epochs that this member has seen."""

    answer: AttestationAnswer


class AttestationRequested(msgspec.Struct, frozen=True):
    """A peer requested an attestation; the reply goes to ``inbound``."""

    inbound: Inbound


class AttestationReceived(msgspec.Struct, frozen=True):
    """A peer replied to an attestation request."""

    reply: AttestationReply


class HostListRead(msgspec.Struct, frozen=True):
    """The platform's list of hosts was read."""

    hosts: tuple[HostSpecification, ...]


class ShardSettled(msgspec.Struct, frozen=True):
    """The adoption state of an owned shard changed.

    ``is_settled`` is True if all its workers are adopted.
    """

    shard: ShardId
    epoch: Epoch
    is_settled: bool


class LeaveRequested(msgspec.Struct, frozen=True):
    """A shutdown requested that this member leaves the roster."""


OwnershipMessage = (
    AttestationRequested
    | AttestationReceived
    | HostListRead
    | ShardSettled
    | LeaveRequested
)
