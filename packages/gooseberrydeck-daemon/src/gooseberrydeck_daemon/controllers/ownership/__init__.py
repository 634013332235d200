"""Keeping this member's session, shards and authority."""

from gooseberrydeck_daemon.controllers.ownership.component import OwnershipSide
from gooseberrydeck_daemon.controllers.ownership.holder import OwnershipHolder
from gooseberrydeck_daemon.controllers.ownership.messages import (
    AttestationAsk,
    AttestationReply,
    HostsSeen,
    Leaving,
    OwnershipMessage,
    PeerAnswered,
    PeerAsked,
    ShardSettled,
)
from gooseberrydeck_daemon.controllers.ownership.task import OwnershipTask

__all__ = [
    "AttestationAsk",
    "AttestationReply",
    "HostsSeen",
    "Leaving",
    "OwnershipHolder",
    "OwnershipMessage",
    "OwnershipSide",
    "OwnershipTask",
    "PeerAnswered",
    "PeerAsked",
    "ShardSettled",
]
