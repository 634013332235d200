"""Errors of requests, with the reason and whether the request may have run."""

from enum import Enum

from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["DispatchError", "NotRunError", "Outcome", "OutcomeUnknownError", "Reason"]


class Reason(Enum):
    """The reason why a request failed."""

    NO_ENDPOINT = "no-endpoint"
    QUEUE_FULL = "queue-full"
    TEAM_LIMIT = "team-limit"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    DEADLINE_OUT_OF_REACH = "deadline-out-of-reach"
    WAITED_TOO_LONG = "waited-too-long"
    CALLER_GONE = "caller-gone"
    OWNERSHIP_MOVED = "ownership-moved"
    PEER_NOT_REACHED = "peer-not-reached"
    PEER_SILENT = "peer-silent"
    ENDPOINT_NOT_REACHED = "endpoint-not-reached"
    ENDPOINT_REFUSED = "endpoint-refused"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_LATE = "endpoint-late"
    MEMBER_FAILED = "member-failed"


class DispatchError(DaemonError):
    """Base class of request errors; ``outcome`` tells if the request may have run."""

    outcome = Outcome.UNKNOWN

    def __init__(self, reason: Reason, retry_after_s: float | None = None) -> None:
        """Store the reason, and the seconds after which a retry may succeed."""
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(DispatchError):
    """The request did not run: no endpoint that may have run it received any of it."""

    outcome = Outcome.NOT_RUN


class OutcomeUnknownError(DispatchError):
    """The request may or may not have run."""
