"""Why a request has no answer, and whether it may have been run."""

from enum import Enum

from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["DispatchError", "NotRunError", "Outcome", "OutcomeUnknownError", "Reason"]


class Outcome(Enum):
    """What is known about the run of a request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request failed."""

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
    """The base of failed requests; ``outcome`` says what is known of the run."""

    outcome = Outcome.UNKNOWN

    def __init__(self, reason: Reason, retry_after_s: float | None = None) -> None:
        """Carry the reason, and after how many seconds coming back may help."""
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(DispatchError):
    """No byte of the request reached an endpoint that may have run it."""

    outcome = Outcome.NOT_RUN


class OutcomeUnknownError(DispatchError):
    """The request may or may not have been run."""
