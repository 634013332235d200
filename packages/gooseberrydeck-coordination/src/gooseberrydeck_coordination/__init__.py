"""Coordination of equal processes without a consensus group."""

from gooseberrydeck_coordination.adoption import AdoptionState, WorkerAdoption
from gooseberrydeck_coordination.assignments import (
    AssignmentTable,
    HostSpecification,
    assign_hosts,
)
from gooseberrydeck_coordination.attestation import (
    AttestationAnswer,
    AttestationRequest,
    Attestor,
    ShardEpoch,
)
from gooseberrydeck_coordination.authority import Authority
from gooseberrydeck_coordination.clock import Clock, ManualClock, SystemClock
from gooseberrydeck_coordination.coordinator import Coordinator, OutgoingRequest
from gooseberrydeck_coordination.exceptions import (
    AuthorityLostError,
    CoordinationError,
    MemberNameTakenError,
)
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import MemberRecord
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.roster import RosterRecord, Seat
from gooseberrydeck_coordination.rounds import RoundPlan, RoundResult, StoreRounds
from gooseberrydeck_coordination.sessions import Session
from gooseberrydeck_coordination.shards import ShardRecord
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_coordination.timing import Timing

__all__ = [
    "AdoptionState",
    "AssignmentTable",
    "AttestationAnswer",
    "AttestationRequest",
    "Attestor",
    "Authority",
    "AuthorityLostError",
    "Clock",
    "CoordinationError",
    "Coordinator",
    "ShardEpoch",
    "HostSpecification",
    "ManualClock",
    "MemberNameTakenError",
    "MemberRecord",
    "OutgoingRequest",
    "OwnedShard",
    "OwnershipView",
    "Quarantine",
    "RosterRecord",
    "RoundPlan",
    "RoundResult",
    "Seat",
    "Session",
    "ShardRecord",
    "Store",
    "StoreKeys",
    "StoreRounds",
    "SystemClock",
    "Timing",
    "WorkerAdoption",
    "assign_hosts",
]
