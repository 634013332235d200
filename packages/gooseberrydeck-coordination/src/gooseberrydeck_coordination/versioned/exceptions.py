"""Failures of publications; each has a type of its own."""

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
    """The base of every failure to publish."""


class PublicationConflictError(PublicationError):
    """Another value was published after ``base``; this one was certainly not.

    ``newest`` is that value and ``base_record`` the one that the author saw, if it
    is still kept, so that a caller can tell what changed.
    """

    def __init__(
        self,
        base: VersionNumber,
        newest: VersionedRecord | None,
        base_record: VersionedRecord | None,
    ) -> None:
        """Keep both records."""
        self.base = base
        self.newest = newest
        self.base_record = base_record
        number = newest.number if newest else 0
        super().__init__(f"the newest number is {number}, not {base}")


class PublicationIdReusedError(PublicationError):
    """The publication's id has been used for another content."""


class PublicationNotMadeError(PublicationError):
    """The store was out of reach: nothing was published."""


class PublicationOutcomeUnknownError(PublicationError):
    """The store gave no answer; publish again under the same id to find out."""

    def __init__(self, publication: PublicationId) -> None:
        """Keep the id to publish again under."""
        self.publication = publication
        super().__init__(f"publication {publication} may or may not have been made")
