"""Exceptions raised by messages between members."""

from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["PeerError", "PeerNotReachedError", "PeerTimeoutError"]


class PeerError(DaemonError):
    """Base class of failures of messages between members."""


class PeerNotReachedError(PeerError):
    """The message was not sent, so the peer cannot have acted on it."""


class PeerTimeoutError(PeerError):
    """No reply came in time; the peer may have acted on the message."""
