"""Exceptions of the coordination package."""

from gooseberrydeck_coordination.outcomes import Outcome

__all__ = [
    "AuthorityLostError",
    "CoordinationError",
    "MemberNameTakenError",
    "RecordUnreadableError",
    "StoreCompactedError",
    "StoreError",
    "StoreLeaseLostError",
    "StoreOutcomeUnknownError",
    "StoreRequestRefusedError",
    "StoreUnavailableError",
]


class CoordinationError(Exception):
    """Base class of the exceptions of this package."""


class AuthorityLostError(CoordinationError):
    """The process must not act as the owner of a shard."""


class MemberNameTakenError(CoordinationError):
    """Another run of this member has a session that has not expired."""


class StoreError(CoordinationError):
    """Base class of failures of calls to the store.

    ``outcome`` says whether the call has had an effect or may still have one.
    """

    outcome = Outcome.UNKNOWN


class StoreUnavailableError(StoreError):
    """The store was not reached: the call had no effect."""

    outcome = Outcome.NOT_RUN


class StoreOutcomeUnknownError(StoreError):
    """The call was sent but not answered: it may or may not take effect."""


class StoreRequestRefusedError(StoreError):
    """The store rejected the call as invalid or too large: it had no effect.

    A retry does not help. For example, etcd rejects transactions of more than 128
    operations.
    """

    outcome = Outcome.NOT_RUN


class RecordUnreadableError(StoreError):
    """A record can't be decoded: another version wrote it, or another writer."""

    outcome = Outcome.NOT_RUN

    def __init__(self, key: str, reason: str) -> None:
        """Name the record's ``key`` and why it can't be decoded."""
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class StoreLeaseLostError(StoreError):
    """The store lease has expired or was revoked."""

    outcome = Outcome.NOT_RUN


class StoreCompactedError(StoreError):
    """The revision requested by a watch or a read has been compacted."""

    outcome = Outcome.NOT_RUN
