"""Switches that make a stand-in fail."""

import threading
from enum import Enum

import msgspec

__all__ = ["CallFault", "FaultKind", "FaultSettings", "Faults"]

MAX_FROZEN_S = 600.0


class FaultKind(Enum):
    """How calls fail."""

    NONE = "none"
    DOWN = "down"
    """Calls have no effect, and the callers know."""

    ANSWER_LOST = "answer_lost"
    """Calls have their effect; the connection ends without a whole answer."""

    REFUSE = "refuse"
    """Calls are refused: a worker starts nothing, an endpoint runs nothing."""

    FAIL_EVERYTHING = "fail_everything"
    """What a worker starts or an endpoint runs fails at once."""

    FROZEN = "frozen"
    """Calls wait until the switch is turned, and have their effect then."""


class CallFault(Enum):
    """What goes wrong with a call to an engine in the same process."""

    NONE = "none"
    DOWN = "down"
    """The call has no effect, and the caller knows."""

    REQUEST_LOST = "request_lost"
    """The call has no effect, and the caller doesn't know."""

    ANSWER_LOST = "answer_lost"
    """The call has its effect, and the caller doesn't know."""


class FaultSettings(msgspec.Struct, frozen=True):
    """A fault for every call, or for the next ``calls`` calls unless that is 0.

    Whatever the kind, each call is first held for ``slow_s`` seconds.
    """

    kind: FaultKind = FaultKind.NONE
    slow_s: float = 0.0
    calls: int = 0


class Faults:
    """The switches of one stand-in; several threads may use them."""

    def __init__(self) -> None:
        """Begin without faults."""
        self.settings = FaultSettings()
        self.calls_left = 0
        self.turns = 0
        self.changed = threading.Condition()

    def set(
        self, kind: FaultKind = FaultKind.NONE, slow_s: float = 0.0, calls: int = 0
    ) -> None:
        """Turn the switches and release the calls that were frozen."""
        self.apply(FaultSettings(kind, slow_s, calls))

    def apply(self, settings: FaultSettings) -> None:
        """Take over settings and release the calls that were frozen."""
        with self.changed:
            self.settings = settings
            self.calls_left = settings.calls
            self.turns += 1
            self.changed.notify_all()

    def clear(self) -> None:
        """Turn every switch off."""
        self.apply(FaultSettings())

    def begin_call(self) -> FaultKind:
        """Hold a call as long as the switches say, and return its fault."""
        if self.settings.kind is FaultKind.NONE and not self.settings.slow_s:
            return FaultKind.NONE
        with self.changed:
            settings = self.take()
            if settings.slow_s:
                self.wait_until_turned(settings.slow_s)
            if settings.kind is FaultKind.FROZEN:
                self.wait_until_turned(MAX_FROZEN_S)
                return FaultKind.NONE
            return settings.kind

    def take(self) -> FaultSettings:
        """Return the settings for one call, counting it."""
        settings = self.settings
        if settings.calls:
            self.calls_left -= 1
            if self.calls_left <= 0:
                self.settings = FaultSettings()
        return settings

    def wait_until_turned(self, timeout_s: float) -> None:
        """Wait until the switches are turned or the time is over."""
        turns = self.turns
        self.changed.wait_for(lambda: self.turns != turns, timeout_s)
