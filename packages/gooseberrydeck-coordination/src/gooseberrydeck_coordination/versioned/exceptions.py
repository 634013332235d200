"""Exceptions of publications."""

from gooseberrydeck_coordination.exceptions import CoordinationError
from gooseberrydeck_coordination.versioned.records import (
    PublicationId,
    VersionedRecord,
    VersionNumber,
)

__all__ = [
    "PublicationConflictError",
    "PublicationError",
    "PublicationIdReusedError",
    "PublicationNotMadeError",
    "PublicationOutcomeUnknownError",
]


class PublicationError(CoordinationError):
    """Base class of failures to publish."""


class PublicationConflictError(PublicationError):
    """Another value was published after ``base``; this one certainly was not.

    ``newest`` is the newest record. ``base_record`` is the record of ``base``, if the
    history still has it, so that a caller can show what changed.
    """

    def __init__(
        self,
        base: VersionNumber,
        newest: VersionedRecord | None,
        base_record: VersionedRecord | None,
    ) -> None:
        """Initialize with the newest record and that of the base."""
        self.base = base
        self.newest = newest
        self.base_record = base_record
        number = newest.number if newest else 0
        super().__init__(f"the newest number is {number}, not {base}")


class PublicationIdReusedError(PublicationError):
    """The publication id was already used for different content."""


class PublicationNotMadeError(PublicationError):
    """The store was unreachable: nothing was published."""


class PublicationOutcomeUnknownError(PublicationError):
    """The store did not answer; a retry with the same id resolves the outcome."""

    def __init__(self, publication: PublicationId) -> None:
        """Initialize with the id that a retry must repeat."""
        self.publication = publication
        super().__init__(f"publication {publication} may or may not have been made")
