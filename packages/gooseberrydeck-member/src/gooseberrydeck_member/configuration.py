"""The newest configuration known to a member."""

import threading
from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_fleet.configuration import (
    ConfigurationUnreadableError,
    FleetConfiguration,
)

__all__ = [
    "UNKNOWN_REVISION",
    "AnnouncedConfiguration",
    "ConfigurationCache",
    "KnownConfiguration",
]

log = structlog.get_logger(__name__)

UNKNOWN_REVISION = Revision(0)
"""The revision of the store is not known; its revisions start above 0."""


class KnownConfiguration(msgspec.Struct, frozen=True):
    """A configuration and when it was last confirmed as the newest in the store.

    ``revision`` is the store's revision at that time.
    """

    version: int
    value: bytes
    confirmed_s: float
    revision: Revision


class AnnouncedConfiguration(msgspec.Struct, frozen=True):
    """A version that the holder at ``address`` has."""

    version: int
    address: str
    confirmed_s: float
    revision: Revision


class ConfigurationCache:
    """The newest configuration; its version never decreases within a process."""

    def __init__(self, decode: Callable[[bytes], FleetConfiguration]) -> None:
        """Start without a configuration."""
        self.decode = decode
        self.lock = threading.Lock()
        # Held while listeners are called, so that they see versions in order.
        self.adoption_lock = threading.Lock()
        self.current: FleetConfiguration | None = None
        self.value = b""
        self.confirmed_s = 0.0
        self.revision = UNKNOWN_REVISION
        self.announced: AnnouncedConfiguration | None = None
        self.version_announced = threading.Event()
        self.listeners: list[Callable[[FleetConfiguration], None]] = []

    @property
    def version(self) -> int:
        """The version in force, or 0 without a configuration."""
        return 0 if self.current is None else self.current.version

    def known(self) -> KnownConfiguration:
        """Return the configuration in force together with its confirmation."""
        with self.lock:
            return KnownConfiguration(
                self.version, self.value, self.confirmed_s, self.revision
            )

    def offer(
        self,
        value: bytes,
        confirmed_s: float,
        source: str,
        revision: Revision = UNKNOWN_REVISION,
    ) -> bool:
        """Adopt a stored value if its version is not older, and notify the listeners.

        ``confirmed_s`` is the monotonic time at which the store still had this value,
        ``revision`` the store's revision then. Return False if it cannot be decoded.
        """
        with self.adoption_lock:
            if value and value == self.value:
                self.confirm(self.version, confirmed_s, revision)
                return True
            try:
                configuration = self.decode(value)
            except ConfigurationUnreadableError as error:
                log.error(
                    "configuration unreadable",
                    version=self.version,
                    source=source,
                    bytes=len(value),
                    reason=str(error),
                )
                return False
            if configuration.version < self.version:
                return True
            self.adopt(configuration, value, confirmed_s, source, revision)
        return True

    def adopt(
        self,
        configuration: FleetConfiguration,
        value: bytes,
        confirmed_s: float,
        source: str,
        revision: Revision,
    ) -> None:
        """Put a configuration in force; the caller holds ``adoption_lock``."""
        with self.lock:
            former = self.version
            self.current = configuration
            self.value = value
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
            self.revision = revision
        log.info(
            "configuration in force",
            version=configuration.version,
            former=former,
            source=source,
        )
        for listener in self.listeners:
            listener(configuration)

    def deliver(self, listener: Callable[[FleetConfiguration], None]) -> None:
        """Call ``listener`` with the configuration in force, in order with changes."""
        with self.adoption_lock:
            if self.current is not None:
                listener(self.current)

    def confirm(
        self, version: int, confirmed_s: float, revision: Revision = UNKNOWN_REVISION
    ) -> None:
        """Record that ``version`` was the newest in the store at ``confirmed_s``."""
        with self.lock:
            if version == self.version:
                self.confirmed_s = max(self.confirmed_s, confirmed_s)
                self.revision = max(self.revision, revision)

    def forget_revision(self) -> None:
        """Forget the store's revision, of which the store has no history any more."""
        with self.lock:
            self.revision = UNKNOWN_REVISION

    def announce(self, announced: AnnouncedConfiguration) -> None:
        """Confirm the version that a holder has, or note it if it is newer."""
        self.confirm(announced.version, announced.confirmed_s, announced.revision)
        if announced.version > self.version:
            self.announced = announced
            self.version_announced.set()

    def missing(self) -> AnnouncedConfiguration | None:
        """Return the announced version if it is newer than the one in force."""
        announced = self.announced
        if announced is None or announced.version <= self.version:
            return None
        return announced
