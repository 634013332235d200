"""Log lines about stored entries that can't be read, in bounded volume."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

import structlog

__all__ = ["UnreadableEvent", "UnreadableLog"]

WINDOW_S = 60.0
"""The lines of one event are limited over this time."""

MAX_LINES = 20
"""The lines of one event in a window."""

MAX_LINES_PER_REASON = 3
"""So that one frequent reason doesn't hide the others."""

MAX_KNOWN_KEYS = 10_000
"""The entries of which the last reason is remembered."""

log = structlog.get_logger(__name__)


class UnreadableEvent(Enum):
    """The events of the lines; the value is the text in the log."""

    CONFIGURATION = "configuration unreadable"
    COORDINATION_RECORD = "coordination record unreadable"
    EVACUATION = "evacuation unreadable"
    RECORD = "record unreadable"
    REGISTRATION = "registration unreadable"
    REPORT = "report snapshot unreadable"

    @property
    def is_error(self) -> bool:
        """Whether work waits for the entry, so that an operator has to repair it."""
        return self is not UnreadableEvent.REGISTRATION


class UnreadableLog:
    """Log an entry once for each reason, up to a number of lines in a window.

    The entries that are left out are counted, and logged as a number once the window
    has passed. Not thread-safe.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Measure windows by ``monotonic``, in seconds."""
        self.monotonic = monotonic
        self.reasons: dict[tuple[UnreadableEvent, str], str] = {}
        self.window_end_s = float("-inf")
        self.lines: Counter[UnreadableEvent] = Counter()
        self.lines_by_reason: Counter[tuple[UnreadableEvent, str]] = Counter()
        self.left_out: Counter[UnreadableEvent] = Counter()

    def report(
        self, event: UnreadableEvent, key: str, reason: str, **fields: object
    ) -> None:
        """Log that the entry of ``key`` can't be read, unless that is known."""
        if self.reasons.get((event, key)) == reason:
            return
        self.remember(event, key, reason)
        self.summarize()
        if (
            self.lines[event] >= MAX_LINES
            or self.lines_by_reason[event, reason] >= MAX_LINES_PER_REASON
        ):
            self.left_out[event] += 1
            return
        self.lines[event] += 1
        self.lines_by_reason[event, reason] += 1
        write = log.error if event.is_error else log.warning
        write(event.value, key=key, reason=reason, **fields)

    def forget(self, event: UnreadableEvent, key: str) -> None:
        """Log the entry again if it can't be read another time."""
        self.reasons.pop((event, key), None)

    def forget_missing(self, event: UnreadableEvent, listed: set[str]) -> None:
        """Forget all entries of an event but those with the ``listed`` keys."""
        for each, key in list(self.reasons):
            if each is event and key not in listed:
                del self.reasons[each, key]

    def summarize(self) -> None:
        """Log the numbers of entries that were left out, once a window has passed."""
        now_s = self.monotonic()
        if now_s < self.window_end_s:
            return
        for event, count in self.left_out.items():
            log.warning(
                "more entries unreadable",
                kind=event.value,
                not_logged=count,
                known=sum(each is event for each, _ in self.reasons),
            )
        self.window_end_s = now_s + WINDOW_S
        self.lines.clear()
        self.lines_by_reason.clear()
        self.left_out.clear()

    def remember(self, event: UnreadableEvent, key: str, reason: str) -> None:
        """Remember an entry's reason, in place of the oldest one if there are many."""
        self.reasons.pop((event, key), None)
        self.reasons[event, key] = reason
        if len(self.reasons) > MAX_KNOWN_KEYS:
            del self.reasons[next(iter(self.reasons))]
