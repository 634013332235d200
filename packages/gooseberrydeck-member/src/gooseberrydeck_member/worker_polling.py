"""The schedule of polls to workers, with hedging against lost responses.

A poll is a long poll: the worker holds it until a run ends. If its response is lost,
run ends stay unnoticed until the poll times out. While responses are being lost, a
second, hedged poll is therefore kept in flight beside the first.
"""

from collections import deque

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_member.shard_lock import TOKENS_PER_CLAIM

__all__ = [
    "ResponseLossTracker",
    "WorkerPollState",
    "worker_token",
]

POLL_RETRY_DELAY_S = 0.25
"""Delay between polls of a worker that keeps failing to respond."""

HEDGE_DELAY_S = 0.2
"""Delay between a poll and its hedged second poll."""

LOSS_WINDOW_S = 10.0
"""How long a lost response counts; longer than the gaps between losses while a
network is losing responses."""

HEDGE_LOSS_THRESHOLD = 2
"""Lost responses within the window from which hedged polls are worth their cost."""


class ResponseLossTracker:
    """Detect from recent losses whether workers' responses are being lost."""

    def __init__(self) -> None:
        """Start without recorded losses."""
        self.times: deque[float] = deque(maxlen=HEDGE_LOSS_THRESHOLD)

    def record_loss(self, now_s: float) -> None:
        """Record that a response of a reachable worker was lost."""
        self.times.append(now_s)

    def are_common(self, now_s: float) -> bool:
        """Return whether enough responses were lost recently to expect more losses."""
        is_full = len(self.times) == HEDGE_LOSS_THRESHOLD
        return is_full and now_s - self.times[0] < LOSS_WINDOW_S


class WorkerPollState:
    """State of the polls to one worker.

    ``acknowledged`` is the number of the last run end that is stored, so that the
    worker may discard it. ``born_ms`` identifies the worker's process, which numbers
    its ends anew: a number that reached another process would hide that process' ends.
    A poll may be executed late, by another process, so no poll carries the number once
    a reply has shown that the worker has discarded these ends.

    A call to a former process may be executed late, by the process that was started
    after it under the same id. The fencing token of calls to the worker is therefore
    raised with each of its ``restarts``. Until a poll with the raised token has been
    answered, the restart is unconfirmed: only from then on does the worker refuse all
    calls to its former processes. Meanwhile nothing is started or acknowledged there,
    and what the worker lists is not conclusive.
    """

    __slots__ = (
        "acknowledged",
        "born_ms",
        "born_seen_s",
        "calls_in_flight",
        "due_s",
        "failures",
        "has_acknowledged_ends",
        "has_seen_start",
        "hedge_due_s",
        "is_acknowledgement_unanswered",
        "is_restart_unconfirmed",
        "replacements",
        "restarts",
    )

    def __init__(self, restarts: int = 0) -> None:
        """Start with a poll that is due immediately.

        ``restarts`` counts the restarts of the worker that may have been seen before.
        """
        self.restarts = restarts
        self.is_restart_unconfirmed = False
        self.due_s = 0.0
        self.hedge_due_s = 0.0
        self.calls_in_flight = 0
        self.failures = 0
        self.replacements = 0
        self.acknowledged = 0
        # Whether the worker may still list ends that are acknowledged.
        self.has_acknowledged_ends = False
        self.is_acknowledgement_unanswered = False
        self.born_ms = 0
        self.born_seen_s = 0.0
        # False if a predecessor may have acknowledged ends of the worker's process.
        self.has_seen_start = False

    def last_seen(self, registered_born_ms: int) -> int:
        """Return the number of the last end to acknowledge, or 0 for none.

        Nothing is acknowledged after a failure until the worker has replied again, nor
        if the worker's registration is that of a later process. A number isn't sent
        again, by a hedged poll, before the worker has replied either.
        """
        may_acknowledge = (
            self.has_acknowledged_ends
            and not self.is_acknowledgement_unanswered
            and not self.failures
            and not self.is_restart_unconfirmed
            and registered_born_ms <= self.born_ms
        )
        return self.acknowledged if may_acknowledge else 0

    def is_overtaken(self, born_ms: int, sent_s: float) -> bool:
        """Return True if a reply may be that of a former process.

        A poll that was sent after the present process had replied reaches no former
        one. The start times don't tell, since a worker's time of day may be set back.
        """
        return self.born_ms not in (0, born_ms) and sent_s <= self.born_seen_s

    def reply_received(
        self, born_ms: int, has_newest_token: bool, now_s: float
    ) -> bool:
        """Record the process that replied to a poll.

        ``has_newest_token`` says that no call to the worker has a higher token. Return
        whether the reply is conclusive: the worker executes no more calls to a
        former process.
        """
        is_restart = self.born_ms not in (0, born_ms)
        if self.born_ms != born_ms:
            self.born_ms = born_ms
            self.born_seen_s = now_s
            self.acknowledged = 0
        self.has_seen_start |= is_restart
        if self.is_restart_unconfirmed:
            self.is_restart_unconfirmed = not has_newest_token
        elif is_restart:
            self.restart_seen()
        return not self.is_restart_unconfirmed

    def restart_seen(self) -> None:
        """Raise the token of calls to the worker, unless that is done."""
        if not self.is_restart_unconfirmed:
            self.is_restart_unconfirmed = True
            self.restarts += 1

    def ends_listed(self, first_number: int) -> None:
        """Record the first end that a reply of the present process lists, or 0."""
        self.has_acknowledged_ends = 0 < first_number <= self.acknowledged
        self.is_acknowledgement_unanswered = False

    def ends_stored(self, born_ms: int, number: int) -> bool:
        """Record that ends are stored; return whether any remain to acknowledge."""
        if self.born_ms != born_ms or number <= self.acknowledged:
            return False
        self.acknowledged = number
        self.has_acknowledged_ends = True
        return True

    def is_due(self, now_s: float, is_lossy: bool) -> bool:
        """Return whether to send a poll, or a hedged poll if ``is_lossy``.

        A second poll is also sent to confirm a restart.
        """
        if not self.calls_in_flight:
            return now_s >= self.due_s
        may_hedge = is_lossy or self.is_restart_unconfirmed
        return may_hedge and self.calls_in_flight == 1 and now_s >= self.hedge_due_s

    def poll_sent(self, now_s: float, last_seen: int = 0) -> None:
        """Record that a poll was sent, which acknowledges ends up to a number."""
        self.calls_in_flight += 1
        self.is_acknowledgement_unanswered |= last_seen > 0
        self.hedge_due_s = now_s + HEDGE_DELAY_S

    def poll_succeeded(self) -> bool:
        """Record a response; return whether the previous response was lost."""
        self.calls_in_flight -= 1
        was_lost = self.failures == 1
        self.failures = self.replacements = 0
        return was_lost

    def poll_failed(
        self, now_s: float, is_refused: bool, is_replaced: bool = False
    ) -> None:
        """Record a failed poll; a first failure is retried at once unless refused.

        ``is_refused`` says that the connection or the call was refused, ``is_replaced``
        that it was by another process that has taken the worker's place.
        """
        self.calls_in_flight -= 1
        self.failures += 1
        self.replacements = self.replacements + 1 if is_replaced else 0
        is_first = self.failures == 1 and not is_refused
        self.due_s = now_s if is_first else now_s + POLL_RETRY_DELAY_S

    def poll_ignored(self) -> None:
        """Record the end of a poll whose result shows nothing about the worker."""
        self.calls_in_flight -= 1


def worker_token(token: Epoch, restarts: int) -> Epoch:
    """Return the fencing token of calls to a worker, under the shard's token.

    It exceeds all tokens that a predecessor has sent, and those sent to the worker
    before its last restart. A holder sees far fewer restarts than it has tokens.
    """
    return Epoch(token + min(restarts, TOKENS_PER_CLAIM - 1))
