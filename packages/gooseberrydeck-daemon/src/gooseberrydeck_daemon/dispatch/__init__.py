"""Dispatch of requests to endpoints: slots, queues, forwarding and retries."""

from gooseberrydeck_daemon.dispatch.dispatcher import Dispatcher
from gooseberrydeck_daemon.dispatch.exceptions import (
    DispatchError,
    NotRunError,
    Outcome,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.dispatch.requests import ServiceRequest

__all__ = [
    "DispatchError",
    "Dispatcher",
    "NotRunError",
    "Outcome",
    "OutcomeUnknownError",
    "Reason",
    "ServiceRequest",
]
