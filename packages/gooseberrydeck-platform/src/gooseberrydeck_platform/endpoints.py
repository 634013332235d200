"""Interface to endpoints, the back ends that serve requests."""

from typing import Protocol

import msgspec

from gooseberrydeck_coordination.ids import RequestId, ServiceName

__all__ = ["Endpoint", "EndpointRequest", "EndpointResponse"]


class EndpointRequest(msgspec.Struct, frozen=True):
    """A request to be sent to an endpoint."""

    request: RequestId
    service: ServiceName
    content_type: str
    body: bytes


class EndpointResponse(msgspec.Struct, frozen=True):
    """A complete response from an endpoint."""

    status: int
    content_type: str
    body: bytes


class Endpoint(Protocol):
    """A connection to one endpoint; not safe for concurrent use by several threads."""

    def call(self, request: EndpointRequest, timeout_s: float) -> EndpointResponse:
        """Send a request and return the complete response.

        Raise ``EndpointUnavailableError`` if no byte was sent,
        ``EndpointRefusedError`` if the endpoint answers that it did not run the
        request, and ``OutcomeUnknownError`` if the request may have been run.
        """

    def close(self) -> None:
        """Close the connection."""
