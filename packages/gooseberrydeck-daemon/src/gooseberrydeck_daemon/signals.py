"""Signal handling of the daemon."""

import signal
from collections.abc import Callable
from types import FrameType

__all__ = ["handle_termination"]


def handle_termination(request_end: Callable[[], None]) -> None:
    """Install handlers that call ``request_end`` on SIGTERM and SIGINT."""

    def handle(_number: int, _frame: FrameType | None) -> None:
        request_end()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
