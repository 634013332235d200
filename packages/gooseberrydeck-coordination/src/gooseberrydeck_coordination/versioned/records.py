"""The stored form of a versioned value."""

import hashlib
from typing import Annotated, NewType

import msgspec

__all__ = [
    "NO_VERSION",
    "Publication",
    "PublicationId",
    "VersionNumber",
    "VersionedKeys",
    "VersionedRecord",
    "decode_record",
    "encode_record",
]

VersionNumber = NewType("VersionNumber", int)
"""The number of a published value; it rises by one with each publication."""

PublicationId = NewType("PublicationId", str)
"""Chosen by the publisher; a repeated publication keeps its id."""

NO_VERSION = VersionNumber(0)
"""The number that stands for the time before the first publication."""

MAX_PUBLICATION_ID_LENGTH = 128


class VersionedRecord(msgspec.Struct, frozen=True):
    """One published value: JSON ``content`` under its number.

    ``published_s`` is the publisher's wall-clock time and orders nothing.
    """

    number: Annotated[VersionNumber, msgspec.Meta(ge=1)]
    publication: Annotated[
        PublicationId, msgspec.Meta(max_length=MAX_PUBLICATION_ID_LENGTH)
    ]
    content: msgspec.Raw
    author: str = ""
    comment: str = ""
    published_s: float = 0.0

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the content in hexadecimal."""
        return hashlib.sha256(bytes(self.content)).hexdigest()


class Publication(msgspec.Struct, frozen=True):
    """A value to publish after ``base``, the number that its author has seen."""

    id: PublicationId
    base: VersionNumber
    content: bytes
    author: str = ""
    comment: str = ""


class VersionedKeys(msgspec.Struct, frozen=True):
    """Where the store holds a value: whole, by number only, and each old one.

    ``number`` holds nothing but the newest number, so that members can confirm
    every second that they hold the newest value without reading it again.
    """

    head: str
    number: str
    history_prefix: str

    def history(self, number: VersionNumber) -> str:
        """Return the key of one published value."""
        return f"{self.history_prefix}{number:08d}"


def encode_record(record: VersionedRecord) -> bytes:
    """Return the record in JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> VersionedRecord:
    """Return a record, or raise ``msgspec.DecodeError``."""
    return msgspec.json.decode(data, type=VersionedRecord)
