"""Stored records of requests with an Idempotency-Key header."""

import hashlib

import msgspec

from gooseberrydeck_coordination.ids import (
    MemberId,
    RequestId,
    ServiceName,
    TeamName,
)

__all__ = ["KeyedRequest", "RequestRecord", "StoredAnswer"]


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer to the first use of a key."""

    status: int
    content_type: str
    body: bytes


class RequestRecord(msgspec.Struct, frozen=True):
    """The claim of a key by a request; without an answer, the request may have run."""

    request: RequestId
    member: MemberId
    fingerprint: str
    answer: StoredAnswer | None = None


class KeyedRequest(msgspec.Struct, frozen=True):
    """A request with an Idempotency-Key header."""

    request: RequestId
    service: ServiceName
    team: TeamName
    key: str
    content_type: str
    body: bytes

    def key_hash(self) -> str:
        """Return the hash under which the key is claimed; it differs between teams."""
        text = f"{self.team}\0{self.key}"
        return hashlib.sha256(text.encode()).hexdigest()

    def fingerprint(self) -> str:
        """Return the hash that tells different requests with the same key apart."""
        digest = hashlib.sha256(self.content_type.encode("latin-1") + b"\0")
        digest.update(self.body)
        return digest.hexdigest()
