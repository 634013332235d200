"""Batching of writes into transactions."""

from collections.abc import Sequence

from gooseberrydeck_coordination.group_commit.writes import RecordWrite

__all__ = ["MAX_BATCH_BYTES", "MAX_BATCH_OPERATIONS", "fill_batch"]

MAX_BATCH_OPERATIONS = 120
MAX_BATCH_BYTES = 1_000_000


def fill_batch(
    writes: Sequence[RecordWrite],
    max_operations: int = MAX_BATCH_OPERATIONS,
    max_bytes: int = MAX_BATCH_BYTES,
) -> int:
    """Return how many of the first writes fit into one transaction.

    It is at least one if there are any writes, even if the first is too large. A batch
    ends before a write to a key that the batch already contains, which keeps the order
    of the two writes.
    """
    operations = 0
    size_bytes = 0
    keys: set[str] = set()
    for count, write in enumerate(writes):
        operations += max(len(write.operations), len(write.compares))
        size_bytes += write.size_bytes
        is_full = operations > max_operations or size_bytes > max_bytes
        if count and (is_full or keys & write.keys):
            return count
        keys |= write.keys
    return len(writes)
