"""The limits of a member's listeners, derived from those of its host."""

import msgspec
import structlog

from gooseberrydeck_fleet.settings import MemberSettings
from gooseberrydeck_service.connection_budget import ConnectionLimits

__all__ = ["ListenerLimits", "derive_limits"]

RESERVED_FDS = 200
"""Descriptors for files and libraries."""

CALLER_FDS_SHARE = 0.4
"""Part of the other descriptors for callers; a third is left for the connections that
the member opens to workers, members and the store."""

PEER_FDS_SHARE = 0.2
"""Part for the other members, of which each opens a few connections."""

READINESS_FDS_SHARE = 0.05
"""Part for the probes of the load balancer."""

CALLER_MEMORY_SHARE = 1 / 8
"""Part of the memory that callers' requests may hold; the interpreter and the scheduler
take about half of the smallest host's, and handling a body takes copies of it."""

PEER_MEMORY_SHARE = 1 / 16
"""Part of the memory that other members' requests may hold, relayed ones included."""

READINESS_HELD_BYTES = 262_144
"""Probes have no body."""

MIN_HELD_BYTES = 2 << 20
"""The largest request must fit into the half that complete requests may hold."""

MIN_CALLERS = 32
"""Smallest useful number of callers' connections; there are 24 threads for them."""

MIN_PEERS = 64
"""Every other member must be able to connect; there are up to 44."""

MIN_PROBES = 8
"""The load balancer has a few probes."""

MAX_HEADER_BYTES = 20_480
"""Header of a request; conforming clients send up to 16,384 bytes."""

MIB = 1 << 20

log = structlog.get_logger(__name__)


class ListenerLimits(msgspec.Struct, frozen=True):
    """The limits of a member's three listeners."""

    callers: ConnectionLimits
    peers: ConnectionLimits
    readiness: ConnectionLimits


def derive_limits(settings: MemberSettings) -> ListenerLimits:
    """Return the limits for a host; too small ones are raised to useful minima."""
    fds = settings.max_fds - RESERVED_FDS
    memory = settings.memory_mib * MIB
    if CALLER_FDS_SHARE * fds < MIN_CALLERS or PEER_FDS_SHARE * fds < MIN_PEERS:
        log.warning("few descriptors", max_fds=settings.max_fds)
    if PEER_MEMORY_SHARE * memory < MIN_HELD_BYTES:
        log.warning("little memory", memory_mib=settings.memory_mib)
    return ListenerLimits(
        callers=ConnectionLimits(
            max(MIN_CALLERS, int(CALLER_FDS_SHARE * fds)),
            max(MIN_HELD_BYTES, int(CALLER_MEMORY_SHARE * memory)),
            MAX_HEADER_BYTES,
        ),
        peers=ConnectionLimits(
            max(MIN_PEERS, int(PEER_FDS_SHARE * fds)),
            max(MIN_HELD_BYTES, int(PEER_MEMORY_SHARE * memory)),
            MAX_HEADER_BYTES,
        ),
        readiness=ConnectionLimits(
            max(MIN_PROBES, int(READINESS_FDS_SHARE * fds)),
            READINESS_HELD_BYTES,
            MAX_HEADER_BYTES,
        ),
    )
