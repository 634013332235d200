"""Client for endpoints that serve plain HTTP."""

from urllib.parse import quote

from gooseberrydeck_platform.endpoints import EndpointRequest, EndpointResponse
from gooseberrydeck_platform.exceptions import (
    EndpointRefusedError,
    EndpointUnavailableError,
    OutcomeUnknownError,
)
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpConnection,
    HttpNotSentError,
    HttpOutcomeUnknownError,
)

__all__ = ["NOT_RUN_HEADER", "HttpEndpoint"]

NOT_RUN_HEADER = "Gooseberry-Not-Run"
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class HttpEndpoint:
    """A kept-alive connection to an endpoint.

    Not safe for concurrent use by several threads.
    """

    def __init__(self, host: Host) -> None:
        """Create a connection that is opened by the first call."""
        self.host = host
        self.connection = HttpConnection(HttpAddress(host.address, host.port))

    def call(self, request: EndpointRequest, timeout_s: float) -> EndpointResponse:
        """Send a request and return the complete response."""
        path = f"{self.host.path}/{quote(request.service, safe='')}"
        headers = {
            "Content-Type": request.content_type or DEFAULT_CONTENT_TYPE,
            "X-Request-Id": request.request,
        }
        try:
            response = self.connection.request(
                "POST", path, request.body, headers, timeout_s
            )
        except HttpNotSentError as error:
            raise EndpointUnavailableError(str(error)) from error
        except HttpOutcomeUnknownError as error:
            raise OutcomeUnknownError(str(error)) from error
        if response.status == 503 and self.was_not_run(response.headers):
            raise EndpointRefusedError(f"{self.host.name} did not run the request")
        content_type = response.headers.get("content-type", DEFAULT_CONTENT_TYPE)
        return EndpointResponse(response.status, content_type, response.body)

    def was_not_run(self, headers: dict[str, str]) -> bool:
        """Return True if the headers state that the request was not run."""
        return headers.get(NOT_RUN_HEADER.lower(), "").lower() == "true"

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
