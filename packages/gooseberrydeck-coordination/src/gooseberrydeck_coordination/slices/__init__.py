"""Cell-wide limits of teams without a central counter.

The upper limit of a team is divided into slices, one per shard, which are stored in
one key per team. The owner of a shard admits work only within the shard's slice, so an
admission needs no message. Idle units move between shards in batches.
"""

from gooseberrydeck_coordination.slices.controller import SliceController
from gooseberrydeck_coordination.slices.ledger import SliceLedger
from gooseberrydeck_coordination.slices.messages import SliceOffer, SliceRequest
from gooseberrydeck_coordination.slices.records import (
    SliceRecord,
    TeamLimit,
    move_units,
    rewrite_for_limit,
    split_evenly,
)

__all__ = [
    "SliceController",
    "SliceLedger",
    "SliceOffer",
    "SliceRecord",
    "SliceRequest",
    "TeamLimit",
    "move_units",
    "rewrite_for_limit",
    "split_evenly",
]
