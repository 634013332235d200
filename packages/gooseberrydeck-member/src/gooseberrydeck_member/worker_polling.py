"""When to look at which worker.

Answers lost answers: a look waits at the worker for an end, so that one whose answer is
lost hides all ends for as long as it could have waited. While answers are being lost, a
second look is kept beside the first.
"""

from collections import deque

__all__ = ["ResponseLossTracker", "WorkerPollState"]

POLL_RETRY_DELAY_S = 0.25
"""Time between looks at a worker that goes on not answering."""

HEDGE_DELAY_S = 0.2
"""How long after a look the second one follows."""

LOSS_WINDOW_S = 10.0
"""How long a lost answer counts; longer than the pauses between two losses of a bad
spell."""

HEDGE_LOSS_THRESHOLD = 2
"""Lost answers in the window from which second looks are worth their price."""


class ResponseLossTracker:
    """Tell whether workers' answers are being lost, by those that were lately."""

    def __init__(self) -> None:
        """Begin without a loss."""
        self.times: deque[float] = deque(maxlen=HEDGE_LOSS_THRESHOLD)

    def lost(self, now_s: float) -> None:
        """Take in that a worker was there and an answer of it was not."""
        self.times.append(now_s)

    def are_common(self, now_s: float) -> bool:
        """Tell whether to expect more of them."""
        is_full = len(self.times) == HEDGE_LOSS_THRESHOLD
        return is_full and now_s - self.times[0] < LOSS_WINDOW_S


class WorkerPollState:
    """The looks at one worker, and which of its ends it may forget."""

    __slots__ = (
        "acknowledged",
        "born_ms",
        "calls_in_flight",
        "due_s",
        "failures",
        "hedge_due_s",
        "refusals",
    )

    def __init__(self) -> None:
        """Begin with a look due at once."""
        self.due_s = 0.0
        self.hedge_due_s = 0.0
        self.calls_in_flight = 0
        self.failures = 0
        self.refusals = 0
        self.acknowledged = 0
        self.born_ms = 0

    def is_due(self, now_s: float, is_lossy: bool) -> bool:
        """Tell whether to send a look now."""
        if not self.calls_in_flight:
            return now_s >= self.due_s
        return is_lossy and self.calls_in_flight == 1 and now_s >= self.hedge_due_s

    def sent(self, now_s: float) -> None:
        """Note that a look was sent."""
        self.calls_in_flight += 1
        self.hedge_due_s = now_s + HEDGE_DELAY_S

    def answered(self) -> bool:
        """Note an answer; tell whether the one before was lost."""
        self.calls_in_flight -= 1
        was_lost = self.failures == 1
        self.failures = self.refusals = 0
        return was_lost

    def failed(self, now_s: float, is_gone: bool) -> None:
        """Note that a look had no answer: the first is repeated at once."""
        self.calls_in_flight -= 1
        self.failures += 1
        self.refusals = self.refusals + 1 if is_gone else 0
        is_first = self.failures == 1 and not is_gone
        self.due_s = now_s if is_first else now_s + POLL_RETRY_DELAY_S

    def lost(self) -> None:
        """Note that a look had no answer while another one had."""
        self.calls_in_flight -= 1
