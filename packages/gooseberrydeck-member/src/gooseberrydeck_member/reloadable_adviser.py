"""An adviser that follows the address of the advice service in the settings."""

from collections.abc import Callable
from typing import Protocol

import structlog

from gooseberrydeck_fleet.advice import Advice, AdviceFailedError, Adviser
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["AdviserClient", "ReloadableAdviser"]

log = structlog.get_logger(__name__)


class AdviserClient(Adviser, Protocol):
    """A client of the advice service at one address."""

    def close(self) -> None:
        """Close the idle connections."""


class ReloadableAdviser:
    """Ask the advice service at the address in force.

    Any thread may call ``ask``; one thread sets the address. A request in progress ends
    at the address at which it began.
    """

    def __init__(
        self,
        connect: Callable[[HttpAddress], AdviserClient],
        address: HttpAddress | None,
    ) -> None:
        """Create clients with ``connect``; without an address, requests fail."""
        self.connect = connect
        self.address = address
        self.client = connect(address) if address else None

    def set_address(self, address: HttpAddress | None) -> None:
        """Use another address from now on, unless it is the same."""
        if address == self.address:
            return
        log.info("advice service moved", former=str(self.address), address=str(address))
        former, self.client = self.client, self.connect(address) if address else None
        self.address = address
        if former is not None:
            former.close()

    def ask(
        self, step: StepRef, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> Advice:
        """Return the allowed workers, or raise ``AdviceFailedError``."""
        client = self.client
        if client is None:
            raise AdviceFailedError("no advice service in the settings")
        return client.ask(step, workers, timeout_s)
