"""Messages that checks report."""

import msgspec

from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["CheckMessage", "CheckMessageError"]


class CheckMessage(msgspec.Struct, frozen=True, order=True):
    """A problem with its stable id, JSON path, description and hint."""

    path: str
    id: str
    text: str
    hint: str

    def __str__(self) -> str:
        """Return the message as it is shown to operators."""
        return f"{self.path}: ({self.id}) {self.text}\n    HINT: {self.hint}"


class CheckMessageError(DaemonError):
    """Exception that wraps a check message, for use in exception groups."""

    def __init__(self, message: CheckMessage) -> None:
        """Wrap ``message``."""
        super().__init__(str(message))
        self.message = message
