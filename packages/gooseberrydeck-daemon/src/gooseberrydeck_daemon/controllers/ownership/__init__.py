"""Controller of this member's session, shards and authority."""

from gooseberrydeck_daemon.controllers.ownership.component import OwnershipComponent
from gooseberrydeck_daemon.controllers.ownership.holder import OwnershipHolder
from gooseberrydeck_daemon.controllers.ownership.messages import (
    AttestationAsk,
    AttestationReceived,
    AttestationReply,
    AttestationRequested,
    HostListRead,
    LeaveRequested,
    OwnershipMessage,
    ShardSettled,
)
from gooseberrydeck_daemon.controllers.ownership.task import OwnershipTask

__all__ = [
    "AttestationAsk",
    "AttestationReply",
    "HostListRead",
    "LeaveRequested",
    "OwnershipHolder",
    "OwnershipMessage",
    "OwnershipComponent",
    "OwnershipTask",
    "AttestationReceived",
    "AttestationRequested",
    "ShardSettled",
]
