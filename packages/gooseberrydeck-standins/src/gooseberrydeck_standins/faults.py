"""Fault injection for stand-ins."""

import random
import threading
from enum import Enum

import msgspec

__all__ = ["CallFault", "FaultKind", "FaultSettings", "Faults"]

MAX_FROZEN_S = 600.0


class FaultKind(Enum):
    """How the calls of a stand-in fail."""

    NONE = "none"
    DOWN = "down"
    """Calls have no effect, and the callers get an error that says so."""

    ANSWER_LOST = "answer_lost"
    """Calls take effect; the connection ends before the response is complete."""

    REFUSE = "refuse"
    """Calls are refused: a worker starts nothing, an endpoint runs nothing."""

    FAIL_EVERYTHING = "fail_everything"
    """Tasks of a worker and requests of an endpoint fail immediately."""

    FROZEN = "frozen"
    """Calls block until the settings change, and take effect then."""

    BUSY = "busy"
    """Calls have no effect; the callers are told that there are too many of them."""

    LATE = "late"
    """Calls get no response and take effect seconds later, if they still can."""


class CallFault(Enum):
    """How a call to an engine in the same process fails."""

    NONE = "none"
    DOWN = "down"
    """The call has no effect, and the caller gets an error that says so."""

    REQUEST_LOST = "request_lost"
    """The call has no effect, but its outcome is unknown to the caller."""

    ANSWER_LOST = "answer_lost"
    """The call takes effect, but its outcome is unknown to the caller."""


class FaultSettings(msgspec.Struct, frozen=True):
    """A fault for the next ``calls`` calls, or for every call if that is 0.

    Each affected call is first delayed by ``slow_s`` seconds, whatever the kind. With a
    ``share`` below 1, each call is affected with that probability. Late calls take
    effect after a time between the two of ``late_s``; with ``outlives_process``, also
    if the process that received them has ended by then and another one has taken over.
    """

    kind: FaultKind = FaultKind.NONE
    slow_s: float = 0.0
    calls: int = 0
    share: float = 1.0
    late_s: tuple[float, float] = (1.0, 6.0)
    outlives_process: bool = False


class Faults:
    """The fault settings of one stand-in. Thread-safe."""

    def __init__(self) -> None:
        """Create settings without faults."""
        self.settings = FaultSettings()
        self.rng = random.Random(0)
        self.calls_left = 0
        self.generation = 0
        self.changed = threading.Condition()

    def set(
        self, kind: FaultKind = FaultKind.NONE, slow_s: float = 0.0, calls: int = 0
    ) -> None:
        """Set a fault and release delayed and frozen calls."""
        self.apply(FaultSettings(kind, slow_s, calls))

    def apply(self, settings: FaultSettings) -> None:
        """Replace the settings and release delayed and frozen calls."""
        with self.changed:
            self.settings = settings
            self.calls_left = settings.calls
            self.generation += 1
            self.changed.notify_all()

    def clear(self) -> None:
        """Remove all faults and release delayed and frozen calls."""
        self.apply(FaultSettings())

    def begin_call(self) -> FaultKind:
        """Delay or freeze a call as configured, and return its fault.

        A frozen call returns ``NONE`` once the settings change.
        """
        if self.settings.kind is FaultKind.NONE and not self.settings.slow_s:
            return FaultKind.NONE
        with self.changed:
            if self.rng.random() >= self.settings.share:
                return FaultKind.NONE
            settings = self.consume_settings()
            if settings.slow_s:
                self.wait_for_change(settings.slow_s)
            if settings.kind is FaultKind.FROZEN:
                self.wait_for_change(MAX_FROZEN_S)
                return FaultKind.NONE
            return settings.kind

    def consume_settings(self) -> FaultSettings:
        """Return the settings for one call and count it against ``calls``."""
        settings = self.settings
        if settings.calls:
            self.calls_left -= 1
            if self.calls_left <= 0:
                self.settings = FaultSettings()
        return settings

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the settings change or the time-out passes."""
        generation = self.generation
        self.changed.wait_for(lambda: self.generation != generation, timeout_s)
