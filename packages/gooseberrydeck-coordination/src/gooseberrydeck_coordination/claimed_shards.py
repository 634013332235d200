"""The state that a member keeps for each shard that it owns."""

import msgspec

from gooseberrydeck_coordination.ids import Epoch, Revision, ShardId
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.roster import RosterRecord, Seat
from gooseberrydeck_coordination.shards import ShardRecord
from gooseberrydeck_coordination.timing import Timing

__all__ = ["ClaimedShard", "new_claimed_shard"]


class ClaimedShard(msgspec.Struct):
    """An owned shard and the state of its claim.

    ``claim_round`` is the round whose result showed the claim. A roster that is read in
    a later round contains every change made before the claim. ``acknowledged`` has the
    seats that know of the claim. ``release_s`` is set once the shard is to be released:
    the time from which no call of this owner can take effect.
    """

    epoch: Epoch
    revision: Revision
    claim_round: int
    quarantine: Quarantine
    acknowledged: set[Seat] = msgspec.field(default_factory=set)
    is_settled: bool = False
    release_s: float | None = None

    def update_quorum_blocked(self, roster: RosterRecord, now_s: float) -> None:
        """Record when every majority contains a seat that acknowledged the claim."""
        if self.quarantine.quorum_blocked_s is not None:
            return
        if roster.is_blocked_by(self.acknowledged):
            self.quarantine = msgspec.structs.replace(
                self.quarantine, quorum_blocked_s=now_s
            )


def new_claimed_shard(
    record: ShardRecord,
    revision: Revision,
    timing: Timing,
    now_s: float,
    claim_round: int,
) -> ClaimedShard:
    """Return the state of a shard whose claim was read at ``now_s``."""
    quarantine = Quarantine(
        timing=timing,
        claimed_s=now_s,
        is_clean=record.follows_clean,
        has_predecessor=record.has_predecessor,
        session_ttl_s=record.wait_session_ttl_s,
        task_lease_s=record.wait_task_lease_s,
    )
    return ClaimedShard(record.epoch, revision, claim_round, quarantine)


def is_superseded(
    claimed: ClaimedShard, shard: ShardId, seen: dict[ShardId, Epoch]
) -> bool:
    """Return True if a newer epoch of the shard has been seen."""
    return seen.get(shard, Epoch(0)) > claimed.epoch
