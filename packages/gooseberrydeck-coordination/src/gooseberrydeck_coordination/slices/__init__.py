"""Limits without a counter in the middle.

A team's upper limit is split into slices, one for each shard, which are kept in
one store key for each team. The owner of a shard admits only within the shard's
slice, so no admission needs a message; idle units move between shards in
batches.
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
