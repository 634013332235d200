"""Failures of calls to workers, endpoints and the host list."""

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
    """The base of every failure of the platform."""


class WorkerUnavailableError(PlatformError):
    """The worker was not reached: the call had no effect."""


class EndpointUnavailableError(PlatformError):
    """No byte of the request reached the endpoint: it was not run."""


class EndpointRefusedError(PlatformError):
    """The endpoint answered that it did not run the request."""


class OutcomeUnknownError(PlatformError):
    """The call was sent and no whole answer came: it may have had effect."""


class HostListUnavailableError(PlatformError):
    """The host list did not answer."""


class StaleFenceError(PlatformError):
    """The worker has been adopted under a newer epoch."""


class CapacityExceededError(PlatformError):
    """The worker does not have what the task asks for."""
