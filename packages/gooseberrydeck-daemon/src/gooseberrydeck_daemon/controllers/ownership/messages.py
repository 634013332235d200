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
    """Ask a peer to attest the epochs that this member holds."""

    request: AttestationRequest


class AttestationReply(PeerMessage, frozen=True):
    """Tell the asker what this member has seen."""

    answer: AttestationAnswer


class AttestationRequested(msgspec.Struct, frozen=True):
    """A peer has asked; ``inbound`` takes the answer."""

    inbound: Inbound


class AttestationReceived(msgspec.Struct, frozen=True):
    """A peer has answered."""

    reply: AttestationReply


class HostListRead(msgspec.Struct, frozen=True):
    """The platform's list of hosts was read."""

    hosts: tuple[HostSpecification, ...]


class ShardSettled(msgspec.Struct, frozen=True):
    """Every worker of an owned shard has been adopted, or one is not any more."""

    shard: ShardId
    epoch: Epoch
    is_settled: bool


class LeaveRequested(msgspec.Struct, frozen=True):
    """The member is to release its shards and leave the roster."""


OwnershipMessage = (
    AttestationRequested
    | AttestationReceived
    | HostListRead
    | ShardSettled
    | LeaveRequested
)
