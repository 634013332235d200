"""Exceptions raised by calls to workers, endpoints and the host list."""

__all__ = [
    "CapacityExceededError",
    "EndpointRefusedError",
    "EndpointUnavailableError",
    "HostListUnavailableError",
    "OutcomeUnknownError",
    "PlatformError",
    "StaleFenceError",
    "WorkerUnavailableError",
]


class PlatformError(Exception):
    """Base class of the errors raised by platform calls."""


class WorkerUnavailableError(PlatformError):
    """The worker was not reached or declined the call, which had no effect."""


class EndpointUnavailableError(PlatformError):
    """No byte of the request reached the endpoint, so it was not run."""


class EndpointRefusedError(PlatformError):
    """The endpoint answered that it did not run the request."""


class OutcomeUnknownError(PlatformError):
    """The call was sent but no complete response arrived; it may have taken effect."""


class HostListUnavailableError(PlatformError):
    """The host list could not be read."""


class StaleFenceError(PlatformError):
    """The call's fence is not the one under which the worker was adopted."""


class CapacityExceededError(PlatformError):
    """The worker has too little free capacity for the task."""
