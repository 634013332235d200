"""Problem details (RFC 9457) of the callers' HTTP interface."""

import math
from enum import Enum
from typing import Any

import msgspec

from gooseberrydeck_daemon.dispatch.exceptions import DispatchError, Outcome, Reason
from gooseberrydeck_daemon.exceptions import DaemonError
from gooseberrydeck_service.responses import Response

__all__ = ["PROBLEM_JSON", "ProblemError", "ProblemType", "problem_from_dispatch_error"]

PROBLEM_JSON = "application/problem+json"
TYPE_PREFIX = "urn:gooseberrydeck:problem:"


class ProblemType(Enum):
    """Problem type with its stable name, HTTP status and title."""

    BAD_REQUEST = ("bad-request", 400, "The request is malformed")
    BAD_TIMEOUT = ("bad-timeout", 400, "Gooseberry-Timeout-Ms is not valid")
    BAD_IDEMPOTENCY_KEY = ("bad-idempotency-key", 400, "Idempotency-Key is not valid")
    BAD_JSON = ("bad-json", 400, "The body is not valid JSON")
    BAD_FIELD = ("bad-field", 422, "A field of the body is not valid")
    KEY_MISSING = ("key-missing", 401, "The request came without a key")
    KEY_UNKNOWN = ("key-unknown", 401, "The key is not known or was withdrawn")
    NOT_PERMITTED = ("not-permitted", 403, "The key's team may not do this")
    PATH_UNKNOWN = ("path-unknown", 404, "There is nothing at this path")
    SERVICE_UNKNOWN = ("service-unknown", 404, "There is no such service")
    QUEUE_UNKNOWN = ("queue-unknown", 404, "There is no such queue")
    JOB_UNKNOWN = ("job-unknown", 404, "There is no such job")
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405, "The path has other methods")
    REPEATED = ("repeated", 409, "The Idempotency-Key was used before")
    LENGTH_REQUIRED = ("length-required", 411, "The request has no length")
    BODY_TOO_LARGE = ("body-too-large", 413, "The body is too large")
    HEADERS_TOO_LARGE = ("headers-too-large", 431, "The header is too large")
    TEAM_LIMIT = ("team-limit", 429, "The team's limit is reached")
    INTERNAL = ("internal", 500, "The member failed")
    NOT_IMPLEMENTED = ("not-implemented", 501, "The transfer coding is not known")
    ENDPOINT_FAILED = ("endpoint-failed", 502, "The endpoint failed")
    NO_ENDPOINT = ("no-endpoint", 503, "No endpoint is there")
    ENDPOINT_NOT_REACHED = ("endpoint-not-reached", 503, "No endpoint was reached")
    QUEUE_FULL = ("queue-full", 503, "Too many requests wait already")
    CONFIGURATION_STALE = (
        "configuration-stale",
        503,
        "The member cannot tell whether the key is still in force",
    )
    RETRY_BUDGET_SPENT = (
        "retry-budget-spent",
        503,
        "Too many requests are tried again",
    )
    AT_CAPACITY = ("at-capacity", 503, "The member serves all it can")
    DRAINING = ("draining", 503, "The member is about to stop")
    STORE_UNAVAILABLE = ("store-unavailable", 503, "The store does not answer")
    DEADLINE_OUT_OF_REACH = (
        "deadline-out-of-reach",
        503,
        "The request would not start in time",
    )
    WAITED_TOO_LONG = ("waited-too-long", 504, "The request did not start in time")
    ANSWER_LATE = ("answer-late", 504, "No answer came in time")

    def __init__(self, slug: str, status: int, title: str) -> None:
        """Unpack the value of the member."""
        self.slug = slug
        self.status = status
        self.title = title


PROBLEM_TYPES_BY_REASON = {
    Reason.NO_ENDPOINT: ProblemType.NO_ENDPOINT,
    Reason.QUEUE_FULL: ProblemType.QUEUE_FULL,
    Reason.RETRY_BUDGET_SPENT: ProblemType.RETRY_BUDGET_SPENT,
    Reason.TEAM_LIMIT: ProblemType.TEAM_LIMIT,
    Reason.DEADLINE_OUT_OF_REACH: ProblemType.DEADLINE_OUT_OF_REACH,
    Reason.WAITED_TOO_LONG: ProblemType.WAITED_TOO_LONG,
    Reason.CALLER_GONE: ProblemType.WAITED_TOO_LONG,
    Reason.OWNERSHIP_MOVED: ProblemType.ENDPOINT_NOT_REACHED,
    Reason.PEER_NOT_REACHED: ProblemType.ENDPOINT_NOT_REACHED,
    Reason.PEER_SILENT: ProblemType.ANSWER_LATE,
    Reason.ENDPOINT_NOT_REACHED: ProblemType.ENDPOINT_NOT_REACHED,
    Reason.ENDPOINT_REFUSED: ProblemType.ENDPOINT_NOT_REACHED,
    Reason.ENDPOINT_FAILED: ProblemType.ENDPOINT_FAILED,
    Reason.ENDPOINT_LATE: ProblemType.ANSWER_LATE,
    Reason.MEMBER_FAILED: ProblemType.INTERNAL,
}
RETRY_AFTER_STATUSES = frozenset({429, 503})
DEFAULT_RETRY_AFTER_S = 1.0


class ProblemError(DaemonError):
    """Failure that is returned to the caller as problem details."""

    def __init__(
        self,
        kind: ProblemType,
        detail: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Create a problem.

        ``outcome`` states whether the request ran; ``headers`` are added to the
        response.
        """
        super().__init__(f"{kind.slug}: {detail}")
        self.kind = kind
        self.detail = detail
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.headers = headers

    def to_response(self, instance: str = "") -> Response:
        """Return the problem details; ``instance`` is the request id."""
        members: dict[str, Any] = {
            "type": TYPE_PREFIX + self.kind.slug,
            "title": self.kind.title,
            "status": self.kind.status,
            "outcome": self.outcome.value,
        }
        if self.detail:
            members["detail"] = self.detail
        if instance:
            members["instance"] = f"urn:gooseberrydeck:request:{instance}"
        return Response(
            self.kind.status,
            PROBLEM_JSON,
            msgspec.json.encode(members),
            [*self.headers, *self.retry_after_header()],
        )

    def retry_after_header(self) -> list[tuple[str, str]]:
        """Return Retry-After, in whole seconds, if a retry may succeed."""
        after_s = self.retry_after_s
        if after_s is None and self.kind.status in RETRY_AFTER_STATUSES:
            after_s = DEFAULT_RETRY_AFTER_S
        if after_s is None:
            return []
        return [("Retry-After", str(max(1, math.ceil(after_s))))]


def problem_from_dispatch_error(error: DispatchError) -> ProblemError:
    """Return the problem to report for a failed dispatch."""
    kind = PROBLEM_TYPES_BY_REASON[error.reason]
    return ProblemError(kind, error.reason.value, error.outcome, error.retry_after_s)
