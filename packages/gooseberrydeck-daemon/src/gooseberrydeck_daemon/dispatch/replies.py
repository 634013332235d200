"""Replies of an owner to the member that forwarded a request."""

from concurrent.futures import Future

from gooseberrydeck_daemon.dispatch.exceptions import (
    DispatchError,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.dispatch.messages import (
    ForwardAnswer,
    ForwardFailure,
    ForwardRequest,
)
from gooseberrydeck_daemon.dispatch.pools import PoolLoad
from gooseberrydeck_platform.endpoints import EndpointResponse

__all__ = ["failure_message", "reply_message"]


def reply_message(
    message: ForwardRequest,
    future: Future[EndpointResponse],
    load: PoolLoad,
    waited_ms: float,
) -> ForwardAnswer | ForwardFailure:
    """Return the reply for a completed ticket."""
    error = future.exception()
    if error is None:
        answer = future.result()
        return ForwardAnswer(
            message.id, answer.status, answer.content_type, answer.body, load, waited_ms
        )
    if not isinstance(error, DispatchError):
        error = OutcomeUnknownError(Reason.MEMBER_FAILED)
    return failure_message(message, error, load)


def failure_message(
    message: ForwardRequest, error: DispatchError, load: PoolLoad
) -> ForwardFailure:
    """Return the failure reply for an error."""
    after_s = error.retry_after_s
    after_ms = None if after_s is None else int(after_s * 1000)
    return ForwardFailure(message.id, error.outcome, error.reason, load, after_ms)
