"""Stored records of versioned values."""

import hashlib
from typing import Annotated, NewType

import msgspec

from gooseberrydeck_coordination.decoding import decode_json

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
"""The number of a published value, incremented by each publication."""

PublicationId = NewType("PublicationId", str)
"""An id chosen by the publisher, which retries of a publication repeat."""

NO_VERSION = VersionNumber(0)
"""The number before the first publication."""

MAX_PUBLICATION_ID_LENGTH = 128


class VersionedRecord(msgspec.Struct, frozen=True):
    """A published value: its number and its ``content`` in JSON.

    ``published_s`` is wall-clock time of the publisher and must not be used to order
    records.
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
        """The SHA-256 digest of the content in hexadecimal."""
        return hashlib.sha256(bytes(self.content)).hexdigest()


class Publication(msgspec.Struct, frozen=True):
    """A value to publish as the successor of number ``base``."""

    id: PublicationId
    base: VersionNumber
    content: bytes
    author: str = ""
    comment: str = ""


class VersionedKeys(msgspec.Struct, frozen=True):
    """The store keys of a value: its newest record, newest number and history.

    ``number`` stores only the newest number, so that members can confirm every second
    that their value is the newest without reading the whole record.
    """

    head: str
    number: str
    history_prefix: str

    def history(self, number: VersionNumber) -> str:
        """Return the history key of a published value."""
        return f"{self.history_prefix}{number:08d}"


def encode_record(record: VersionedRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> VersionedRecord:
    """Decode a record from JSON, or raise ``DecodingError``."""
    return decode_json(data, VersionedRecord)
