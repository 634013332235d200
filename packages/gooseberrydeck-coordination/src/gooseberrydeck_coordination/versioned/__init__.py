"""Versioned values, published by compare-and-swap on their newest record.

The version that a member holds never decreases.
"""

from gooseberrydeck_coordination.versioned.exceptions import (
    PublicationConflictError,
    PublicationError,
    PublicationIdReusedError,
    PublicationNotMadeError,
    PublicationOutcomeUnknownError,
)
from gooseberrydeck_coordination.versioned.holder import (
    Follower,
    OfferResult,
    VersionedHolder,
)
from gooseberrydeck_coordination.versioned.publisher import HISTORY_LENGTH, Publisher
from gooseberrydeck_coordination.versioned.records import (
    NO_VERSION,
    Publication,
    PublicationId,
    VersionedKeys,
    VersionedRecord,
    VersionNumber,
    decode_record,
    encode_record,
)

__all__ = [
    "HISTORY_LENGTH",
    "NO_VERSION",
    "Follower",
    "OfferResult",
    "Publication",
    "PublicationConflictError",
    "PublicationError",
    "PublicationId",
    "PublicationIdReusedError",
    "PublicationNotMadeError",
    "PublicationOutcomeUnknownError",
    "Publisher",
    "VersionNumber",
    "VersionedHolder",
    "VersionedKeys",
    "VersionedRecord",
    "decode_record",
    "encode_record",
]
