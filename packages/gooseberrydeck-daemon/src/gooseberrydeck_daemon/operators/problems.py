"""Problem details (RFC 9457) of the operators' HTTP API."""

from enum import Enum
from typing import Any

import msgspec

from gooseberrydeck_daemon.dispatch.exceptions import Outcome
from gooseberrydeck_daemon.exceptions import DaemonError
from gooseberrydeck_daemon.http.problems import PROBLEM_JSON, TYPE_PREFIX
from gooseberrydeck_service.responses import Response

__all__ = ["OperatorProblem", "OperatorProblemError"]

RETRY_AFTER_S = 1


class OperatorProblem(Enum):
    """Problem type with its stable name, HTTP status and title."""

    BAD_PARAMETER = ("bad-parameter", 400, "A parameter is not valid")
    BAD_BODY = ("bad-body", 400, "The body is not valid JSON")
    KEY_MISSING = ("operator-key-missing", 401, "The request came without a key")
    KEY_UNKNOWN = ("operator-key-unknown", 401, "The operator's key is not known")
    VERSION_UNKNOWN = ("version-unknown", 404, "There is no such configuration")
    KEY_NOT_FOUND = ("key-not-found", 404, "There is no such key")
    NOT_FOUND = ("not-found", 404, "There is nothing of that name")
    CONFLICT = ("publication-conflict", 409, "Another configuration was published")
    ID_REUSED = ("publication-id-reused", 409, "The publication's id has been used")
    KEY_EXISTS = ("key-exists", 409, "There is another key of that id")
    LENGTH_REQUIRED = ("length-required", 411, "The request has no length")
    BODY_TOO_LARGE = ("body-too-large", 413, "The body is too large")
    INVALID = ("configuration-invalid", 422, "The configuration has errors")
    INTERNAL = ("internal", 500, "The member failed")
    NOT_AVAILABLE = ("view-not-available", 501, "This member cannot tell")
    STORE_UNAVAILABLE = ("store-unavailable", 503, "The store does not answer")
    OUTCOME_UNKNOWN = (
        "publication-outcome-unknown",
        503,
        "The publication may or may not have been made",
    )

    def __init__(self, slug: str, status: int, title: str) -> None:
        """Unpack the value of the member."""
        self.slug = slug
        self.status = status
        self.title = title


class OperatorProblemError(DaemonError):
    """Failure that is returned to the operator as problem details."""

    def __init__(
        self,
        kind: OperatorProblem,
        detail: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        **members: Any,
    ) -> None:
        """Create a problem; ``members`` are added to the JSON object."""
        super().__init__(f"{kind.slug}: {detail}")
        self.kind = kind
        self.detail = detail
        self.outcome = outcome
        self.members = members

    def to_response(self) -> Response:
        """Return the problem details as a response."""
        members = {
            "type": TYPE_PREFIX + self.kind.slug,
            "title": self.kind.title,
            "status": self.kind.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
            **self.members,
        }
        response = Response(
            self.kind.status, PROBLEM_JSON, msgspec.json.encode(members), []
        )
        if self.kind.status == 401:
            response.headers.append(("WWW-Authenticate", "Bearer"))
        if self.kind.status == 503:
            response.headers.append(("Retry-After", str(RETRY_AFTER_S)))
        return response
