"""Client for a host list served as JSON over HTTP."""

from collections.abc import Sequence

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_platform.exceptions import HostListUnavailableError
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_platform.http import HttpAddress, HttpError
from gooseberrydeck_platform.http_pool import HttpPool

__all__ = ["HostListResponse", "HttpHostList"]


class HostListResponse(msgspec.Struct, frozen=True):
    """The response to ``GET /hosts``."""

    hosts: tuple[Host, ...]


class HttpHostList:
    """A thread-safe client for a host list at one or more addresses."""

    def __init__(self, addresses: Sequence[HttpAddress], path: str = "/hosts") -> None:
        """Create a client without open connections."""
        self.path = path
        self.pool = HttpPool(addresses)

    def read(self, timeout_s: float) -> tuple[Host, ...]:
        """Return the hosts as last known, or raise ``HostListUnavailableError``."""
        try:
            response = self.pool.request("GET", self.path, timeout_s=timeout_s)
        except HttpError as error:
            raise HostListUnavailableError(str(error)) from error
        if response.status != 200:
            raise HostListUnavailableError(
                f"host list returned status {response.status}"
            )
        try:
            return decode_json(response.body, HostListResponse).hosts
        except DecodingError as error:
            raise HostListUnavailableError(str(error)) from error

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()
