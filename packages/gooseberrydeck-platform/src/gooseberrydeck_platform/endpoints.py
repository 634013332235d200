"""The interface to endpoints, the back ends that answer requests."""

from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import RequestId, ServiceName

__all__ = ["Endpoint", "EndpointResponse", "EndpointRequest"]


class EndpointRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to an endpoint."""

    request: RequestId
    service: ServiceName
    content_type: str
    body: bytes


class EndpointResponse(msgspec.Struct, frozen=True):
    """A whole answer of an endpoint."""

    status: int
    content_type: str
    body: bytes


class Endpoint(Protocol):
    """One connection to one endpoint, used by one thread at a time.

    A call raises ``EndpointUnavailableError`` if no byte was sent,
    ``EndpointRefusedError`` if the endpoint says that it did not run the request,
    and ``OutcomeUnknownError`` once it may have been run.
    """

    def call(self, request: EndpointRequest, timeout_s: float) -> EndpointResponse:
        """Send a request and return the whole answer."""

    def close(self) -> None:
        """Close the connection."""
