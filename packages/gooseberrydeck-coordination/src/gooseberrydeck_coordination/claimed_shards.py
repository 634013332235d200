"""The shards that this member owns, and what it knows of each claim."""

import msgspec

from gooseberrydeck_coordination.ids import Epoch, Revision, ShardId
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.roster import RosterRecord, Seat
from gooseberrydeck_coordination.shards import ShardRecord
from gooseberrydeck_coordination.timing import Timing

__all__ = ["ClaimedShard", "new_claimed_shard"]


class ClaimedShard(msgspec.Struct):
    """One owned shard.

    ``claim_round`` is the round whose result showed the claim; a roster read in a
    later round holds every change made before the claim. ``release_s`` is from when
    on no call of this owner can have effect any more, once it is to be released.
    """

    epoch: Epoch
    revision: Revision
    claim_round: int
    quarantine: Quarantine
    acknowledged: set[Seat] = msgspec.field(default_factory=set)
    is_settled: bool = False
    release_s: float | None = None

    def update_quorum_blocked(self, roster: RosterRecord, now_s: float) -> None:
        """Note when every majority holds a seat that has acknowledged the claim."""
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
    """Return the holding of a shard whose claim has just been learned of."""
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
    holding: ClaimedShard, shard: ShardId, seen: dict[ShardId, Epoch]
) -> bool:
    """Tell whether a newer epoch of the shard has been seen."""
    return seen.get(shard, Epoch(0)) > holding.epoch
