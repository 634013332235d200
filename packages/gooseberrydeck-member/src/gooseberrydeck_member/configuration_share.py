"""Serving the configuration to other members, compressed and in pieces."""

import hashlib
import random
import threading
import zlib

import msgspec

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.peer_messages import ConfigurationPiece, ConfigurationQuery

__all__ = [
    "MAX_CONFIGURATION_BYTES",
    "MAX_TRANSFERS",
    "PIECE_BYTES",
    "PIECE_TIMEOUT_S",
    "ConfigurationShare",
    "ConfigurationTransferError",
    "PackedConfiguration",
    "pack",
    "unpack",
]

MAX_CONFIGURATION_BYTES = 4_194_304
"""Limit on a decompressed configuration; the platform's store takes up to 1 MB."""

COMPRESSION_LEVEL = 1
"""The fastest: small hosts have a fraction of a processor."""

PIECE_BYTES = 32_768
"""Size of a piece; heartbeats on the same link wait for the pieces before them."""

PIECE_TIMEOUT_S = 1.0
"""Timeout of a piece: a piece to each of ``MAX_TRANSFERS`` members takes a quarter of
it on a link of 5 Mbit/s."""

MAX_TRANSFERS = 3
"""Members that are served at once; pieces for them take less than a heartbeat's
timeout on a link of 5 Mbit/s."""

MAX_SOURCES = 6
"""Other sources named to a member that is not served."""


class ConfigurationTransferError(Exception):
    """The pieces from a member are not a configuration."""


class PackedConfiguration(msgspec.Struct, frozen=True):
    """A compressed configuration; ``digest`` is that of the compressed bytes."""

    version: int
    value: bytes
    data: bytes
    digest: str


def digest_of(data: bytes) -> str:
    """Return the digest by which pieces of compressed bytes are put together."""
    return hashlib.sha256(data).hexdigest()


def pack(version: int, value: bytes) -> PackedConfiguration:
    """Compress a configuration."""
    data = zlib.compress(value, COMPRESSION_LEVEL)
    return PackedConfiguration(version, value, data, digest_of(data))


def unpack(version: int, data: bytes, digest: str) -> PackedConfiguration:
    """Decompress the pieces of a configuration.

    Raise ``ConfigurationTransferError`` if they are damaged or too large.
    """
    if digest_of(data) != digest:
        raise ConfigurationTransferError("digest does not match")
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        raise ConfigurationTransferError(str(error)) from error
    if decompressor.unconsumed_tail:
        raise ConfigurationTransferError(f"over {MAX_CONFIGURATION_BYTES} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise ConfigurationTransferError("compressed data is incomplete")
    return PackedConfiguration(version, value, data, digest)


class ConfigurationShare:
    """Serve the configuration to a bounded number of members at once.

    A member is served from its first piece until it reports that it has everything,
    or until it has asked for nothing for ``PIECE_TIMEOUT_S``. Other members are
    referred to those that have been served.
    """

    def __init__(
        self, configuration: ConfigurationCache, clock: Clock | None = None
    ) -> None:
        """Serve what ``configuration`` has."""
        self.configuration = configuration
        self.clock = clock or SystemClock()
        self.lock = threading.Lock()
        self.packed: PackedConfiguration | None = None
        # The times at which members that are being served last asked.
        self.transfers: dict[str, float] = {}
        self.served: set[str] = set()
        self.random = random.Random()

    def reply(self, query: ConfigurationQuery) -> ConfigurationPiece:
        """Return the piece that a member asks for, or where else it may be found."""
        known = self.configuration.known()
        now_s = self.clock.monotonic()
        age_s = now_s - known.confirmed_s
        with self.lock:
            if known.version < query.version or not known.value:
                return ConfigurationPiece(known.version)
            packed = self.pack_once(known.version, known.value)
            offset = query.offset if query.digest == packed.digest else 0
            if offset >= len(packed.data):
                self.transfers.pop(query.address, None)
                self.served.add(query.address)
            elif not self.admit(query.address, now_s):
                sources = sorted(self.served - {query.address})
                count = min(MAX_SOURCES, len(sources))
                return ConfigurationPiece(
                    known.version,
                    is_busy=True,
                    sources=tuple(self.random.sample(sources, count)),
                )
        return ConfigurationPiece(
            known.version,
            age_s,
            int(known.revision),
            packed.digest,
            len(packed.data),
            offset,
            packed.data[offset : offset + PIECE_BYTES],
        )

    def admit(self, address: str, now_s: float) -> bool:
        """Return whether a member is served now."""
        for other, asked_s in list(self.transfers.items()):
            if now_s - asked_s > PIECE_TIMEOUT_S:
                del self.transfers[other]
        if address not in self.transfers and len(self.transfers) >= MAX_TRANSFERS:
            return False
        self.transfers[address] = now_s
        return True

    def pack_once(self, version: int, value: bytes) -> PackedConfiguration:
        """Return the compressed configuration, compressing it at its first use."""
        packed = self.packed
        if packed is None or packed.value != value:
            packed = pack(version, value)
            self.packed = packed
            self.transfers.clear()
            self.served.clear()
        return packed
