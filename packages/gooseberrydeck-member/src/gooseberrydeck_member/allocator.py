"""Settings of the C library's allocator."""

import ctypes

import structlog

__all__ = ["return_freed_memory"]

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""Parameters of glibc's ``mallopt``."""

MMAP_THRESHOLD_BYTES = 131_072
"""Blocks from this size on are returned to the system when they are freed; the default
threshold rises with the blocks that were freed, up to 32 MiB."""

MAX_ARENAS = 2
"""Heaps shared by all threads; by default each of many threads keeps one of its own,
with room for the largest body that it has handled."""

log = structlog.get_logger(__name__)


def return_freed_memory() -> None:
    """Keep no memory of large bodies that were handled; call it before serving."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        # Another C library, which has other defaults.
        log.info("allocator not set", reason=str(error))
        return
    is_set = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) and mallopt(
        M_ARENA_MAX, MAX_ARENAS
    )
    if not is_set:
        log.info("allocator not set", reason="mallopt refused")
