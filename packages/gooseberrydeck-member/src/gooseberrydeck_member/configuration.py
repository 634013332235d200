"""The newest configuration known to a member."""

import threading
from collections.abc import Callable

import structlog

from gooseberrydeck_fleet.configuration import FleetConfiguration

__all__ = ["ConfigurationCache"]

log = structlog.get_logger(__name__)


class ConfigurationCache:
    """The newest configuration; its version never decreases within a process."""

    def __init__(self, decode: Callable[[bytes], FleetConfiguration]) -> None:
        """Start without a configuration."""
        self.decode = decode
        self.lock = threading.Lock()
        self.current: FleetConfiguration | None = None
        self.value = b""
        self.confirmed_s = 0.0
        self.listeners: list[Callable[[FleetConfiguration], None]] = []

    @property
    def version(self) -> int:
        """The version in force, or 0 without a configuration."""
        return 0 if self.current is None else self.current.version

    def offer(self, value: bytes, confirmed_s: float, source: str) -> None:
        """Adopt a stored value if its version is not older, and notify the listeners.

        ``confirmed_s`` is the monotonic time at which the store still had this value.
        """
        if value == self.value:
            self.confirm(self.version, confirmed_s)
            return
        configuration = self.decode(value)
        with self.lock:
            if configuration.version < self.version:
                return
            former = self.version
            self.current = configuration
            self.value = value
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        log.info(
            "configuration in force",
            version=configuration.version,
            former=former,
            source=source,
        )
        for listener in self.listeners:
            listener(configuration)

    def confirm(self, version: int, confirmed_s: float) -> None:
        """Record that ``version`` was the newest in the store at ``confirmed_s``."""
        with self.lock:
            if version == self.version:
                self.confirmed_s = max(self.confirmed_s, confirmed_s)
