"""A single call to an endpoint, with failures mapped to typed errors."""

import time

from gooseberrydeck_daemon.dispatch.exceptions import (
    DispatchError,
    NotRunError,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_platform import exceptions as platform
from gooseberrydeck_platform.endpoints import (
    Endpoint,
    EndpointRequest,
    EndpointResponse,
)

__all__ = ["CallOutcome", "call_endpoint", "is_endpoint_failure"]

CallOutcome = EndpointResponse | DispatchError

FIRST_SERVER_ERROR_STATUS = 500
ENDPOINT_FAILURES = frozenset(
    {
        Reason.ENDPOINT_NOT_REACHED,
        Reason.ENDPOINT_REFUSED,
        Reason.ENDPOINT_FAILED,
        Reason.ENDPOINT_LATE,
    }
)


def call_endpoint(
    connection: Endpoint, request: ServiceRequest, metrics: Metrics
) -> CallOutcome:
    """Return the endpoint's answer or a typed error; does not raise."""
    message = EndpointRequest(
        request.id, request.service, request.content_type, request.body
    )
    timeout_s = request.deadline_s - time.monotonic()
    if timeout_s <= 0:
        return NotRunError(Reason.WAITED_TOO_LONG)
    try:
        return connection.call(message, timeout_s)
    except platform.EndpointUnavailableError:
        return NotRunError(Reason.ENDPOINT_NOT_REACHED)
    except platform.EndpointRefusedError:
        return NotRunError(Reason.ENDPOINT_REFUSED)
    except platform.OutcomeUnknownError:
        is_late = request.deadline_s <= time.monotonic()
        reason = Reason.ENDPOINT_LATE if is_late else Reason.ENDPOINT_FAILED
        return OutcomeUnknownError(reason)
    except Exception:
        metrics.count("dispatch.calls.crashed")
        return OutcomeUnknownError(Reason.MEMBER_FAILED)


def is_endpoint_failure(outcome: CallOutcome) -> bool:
    """Return True if an outcome counts as a failure of the endpoint."""
    if isinstance(outcome, EndpointResponse):
        return outcome.status >= FIRST_SERVER_ERROR_STATUS
    return outcome.reason in ENDPOINT_FAILURES
