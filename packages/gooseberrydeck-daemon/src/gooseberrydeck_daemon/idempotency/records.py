"""What the store holds of a request that came with an Idempotency-Key."""

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
    """The answer of the first use, kept for later ones."""

    status: int
    content_type: str
    body: bytes


class RequestRecord(msgspec.Struct, frozen=True):
    """The claim of a key by one request; without an answer it may have run."""

    request: RequestId
    member: MemberId
    fingerprint: str
    answer: StoredAnswer | None = None


class KeyedRequest(msgspec.Struct, frozen=True):
    """A request that came with an Idempotency-Key."""

    request: RequestId
    service: ServiceName
    team: TeamName
    key: str
    content_type: str
    body: bytes

    def key_hash(self) -> str:
        """Return the hash under which the key is claimed; teams share no keys."""
        text = f"{self.team}\0{self.key}"
        return hashlib.sha256(text.encode()).hexdigest()

    def fingerprint(self) -> str:
        """Return the hash by which another request under the key is noticed."""
        digest = hashlib.sha256(self.content_type.encode("latin-1") + b"\0")
        digest.update(self.body)
        return digest.hexdigest()
