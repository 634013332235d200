"""Fetching the configuration from other members, in pieces."""

import random

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_member.configuration import (
    AnnouncedConfiguration,
    ConfigurationCache,
)
from gooseberrydeck_member.configuration_share import (
    MAX_CONFIGURATION_BYTES,
    PIECE_BYTES,
    PIECE_TIMEOUT_S,
    ConfigurationTransferError,
    unpack,
)
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import ConfigurationPiece, ConfigurationQuery
from gooseberrydeck_member.peers import PeerCallError, PeerClient

__all__ = ["ConfigurationFetcher"]

log = structlog.get_logger(__name__)

MAX_SOURCES_ASKED = 6
"""Members asked in one attempt; the holder's referrals go out of date."""

ATTEMPT_LIMIT_S = 0.6
"""Time after which no further member is asked in one attempt."""

MALFORMED_PAUSE_S = 1.0
"""Pause after a malformed configuration, which is unlikely to change meanwhile."""

RECEIVE_LIMIT_S = 3.0
"""Time after which a fetch is interrupted; the next one continues with the pieces. A
stopping process waits for five seconds."""

MAX_PIECES = 2 * MAX_CONFIGURATION_BYTES // PIECE_BYTES
"""Pieces of one fetch, those before the source's configuration changed included."""


class SourceUnusableError(Exception):
    """A member does not serve the configuration now."""

    def __init__(self, outcome: str, sources: tuple[str, ...] = ()) -> None:
        """Describe the outcome, and name other ``sources``."""
        super().__init__(outcome)
        self.outcome = outcome
        self.sources = sources


class ReceivedConfiguration(msgspec.Struct, frozen=True):
    """The last piece of a configuration, and when it was asked for."""

    piece: ConfigurationPiece
    asked_s: float


class ConfigurationFetcher:
    """Fetch an announced version from the holder or from members that have it.

    Pieces are kept when a source fails, and the next one continues from there if it
    has the same compressed bytes.
    """

    def __init__(
        self,
        address: str,
        peers: PeerClient,
        configuration: ConfigurationCache,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Fetch for the member at ``address``."""
        self.address = address
        self.peers = peers
        self.configuration = configuration
        self.metrics = metrics
        self.clock = clock
        self.random = random.Random(address)
        self.digest = ""
        self.data = bytearray()
        self.paused_until_s = 0.0

    def fetch(self, announced: AnnouncedConfiguration) -> bool:
        """Fetch a version and put it in force; return False if no source has it."""
        now_s = self.clock.monotonic()
        if now_s < self.paused_until_s:
            return False
        end_s = now_s + ATTEMPT_LIMIT_S
        sources = [announced.address]
        asked = {self.address}
        while sources and len(asked) <= MAX_SOURCES_ASKED:
            if self.clock.monotonic() > end_s:
                return False
            source = sources.pop(0)
            if source in asked:
                continue
            asked.add(source)
            try:
                self.fetch_from(source, announced)
            except SourceUnusableError as error:
                self.report_failure(source, announced, error.outcome, str(error))
                others = list(error.sources)
                self.random.shuffle(others)
                sources.extend(others)
            except PeerCallError as error:
                self.report_failure(source, announced, "failed", str(error))
            except ConfigurationTransferError as error:
                self.forget_pieces()
                self.paused_until_s = self.clock.monotonic() + MALFORMED_PAUSE_S
                self.report_failure(source, announced, "malformed", str(error))
            else:
                return True
        return False

    def fetch_from(self, source: str, announced: AnnouncedConfiguration) -> None:
        """Fetch a version from one member and put it in force."""
        started_s = self.clock.monotonic()
        received = self.receive(source, announced.version)
        piece = received.piece
        packed = unpack(piece.version, bytes(self.data), self.digest)
        self.forget_pieces()
        is_readable = self.configuration.offer(
            packed.value,
            received.asked_s - piece.age_s,
            source,
            Revision(piece.revision),
        )
        if not is_readable:
            raise ConfigurationTransferError("configuration unreadable")
        self.configuration.confirm(
            announced.version, announced.confirmed_s, announced.revision
        )
        self.metrics.configuration_fetches.labels("peer", "fetched").inc()
        log.info(
            "configuration fetched",
            source=source,
            version=piece.version,
            bytes=len(packed.value),
            transferred_bytes=len(packed.data),
            seconds=round(self.clock.monotonic() - started_s, 3),
        )
        self.report_completion(source, packed.version, packed.digest, len(packed.data))

    def receive(self, source: str, version: int) -> ReceivedConfiguration:
        """Ask a member for pieces until all of them have arrived."""
        end_s = self.clock.monotonic() + RECEIVE_LIMIT_S
        for _ in range(MAX_PIECES):
            asked_s = self.clock.monotonic()
            if asked_s > end_s:
                raise SourceUnusableError("interrupted")
            query = ConfigurationQuery(
                self.address, version, self.digest, len(self.data)
            )
            piece = self.peers.configuration_piece(source, query, PIECE_TIMEOUT_S)
            if not piece.digest:
                outcome = "busy" if piece.is_busy else "missing"
                raise SourceUnusableError(outcome, piece.sources)
            if piece.version < version:
                raise ConfigurationTransferError(f"version {piece.version}")
            self.add(piece)
            if len(self.data) == piece.size_bytes:
                return ReceivedConfiguration(piece, asked_s)
        raise ConfigurationTransferError(f"over {MAX_PIECES} pieces")

    def add(self, piece: ConfigurationPiece) -> None:
        """Append a piece; begin again if the source has other compressed bytes."""
        if piece.digest != self.digest:
            self.forget_pieces()
            self.digest = piece.digest
        if piece.size_bytes > MAX_CONFIGURATION_BYTES:
            raise ConfigurationTransferError(f"{piece.size_bytes} bytes")
        is_complete = len(self.data) == piece.size_bytes
        if piece.offset != len(self.data) or not (piece.data or is_complete):
            raise ConfigurationTransferError(f"piece at {piece.offset} out of order")
        self.data += piece.data
        if len(self.data) > piece.size_bytes:
            raise ConfigurationTransferError("more bytes than announced")

    def forget_pieces(self) -> None:
        """Forget what has been received."""
        self.digest = ""
        self.data.clear()

    def report_completion(
        self, source: str, version: int, digest: str, size_bytes: int
    ) -> None:
        """Tell the source that it may serve others, and refer them to this member."""
        query = ConfigurationQuery(self.address, version, digest, size_bytes)
        try:
            self.peers.configuration_piece(source, query, PIECE_TIMEOUT_S)
        except PeerCallError as error:
            log.info("fetch not reported", source=source, reason=str(error))

    def report_failure(
        self, source: str, announced: AnnouncedConfiguration, outcome: str, reason: str
    ) -> None:
        """Count and log an attempt without success."""
        self.metrics.configuration_fetches.labels("peer", outcome).inc()
        log.info(
            "configuration not fetched",
            source=source,
            version=announced.version,
            received_bytes=len(self.data),
            reason=reason,
        )
