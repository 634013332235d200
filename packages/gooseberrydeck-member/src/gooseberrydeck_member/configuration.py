"""The newest configuration that a member has seen."""

import threading
from collections.abc import Callable

import structlog

from gooseberrydeck_fleet.intent import Intent

__all__ = ["ConfigurationCache"]

log = structlog.get_logger(__name__)


class ConfigurationCache:
    """Keep the newest version; it never goes back while the process runs."""

    def __init__(self, decode: Callable[[bytes], Intent]) -> None:
        """Begin without a configuration."""
        self.decode = decode
        self.lock = threading.Lock()
        self.intent: Intent | None = None
        self.value = b""
        self.confirmed_s = 0.0
        self.listeners: list[Callable[[Intent], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self.intent is None else self.intent.version

    def offer(self, value: bytes, confirmed_s: float, source: str) -> None:
        """Take over a stored value if it is newer.

        ``confirmed_s`` is the monotonic time at which the store still had it.
        """
        if value == self.value:
            self.confirm(self.version, confirmed_s)
            return
        intent = self.decode(value)
        with self.lock:
            if intent.version < self.version:
                return
            former = self.version
            self.intent = intent
            self.value = value
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        log.info(
            "configuration in force",
            version=intent.version,
            former=former,
            source=source,
        )
        for listener in self.listeners:
            listener(intent)

    def confirm(self, version: int, confirmed_s: float) -> None:
        """Take in that no newer version than the given one was stored at a time."""
        with self.lock:
            if version == self.version:
                self.confirmed_s = max(self.confirmed_s, confirmed_s)
