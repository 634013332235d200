"""What a check says of one problem."""

import msgspec

from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["CheckMessage", "CheckMessageError"]


class CheckMessage(msgspec.Struct, frozen=True, order=True):
    """One problem: a stable id, where it is, what is wrong and what to do."""

    path: str
    id: str
    text: str
    hint: str

    def __str__(self) -> str:
        """Return the line that operators read."""
        return f"{self.path}: ({self.id}) {self.text}\n    HINT: {self.hint}"


class CheckMessageError(DaemonError):
    """A problem as an exception, for use in exception groups."""

    def __init__(self, message: CheckMessage) -> None:
        """Carry ``message``."""
        super().__init__(str(message))
        self.message = message
