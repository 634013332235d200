"""Failures of messages between members."""

from gooseberrydeck_daemon.exceptions import DaemonError

__all__ = ["PeerError", "PeerNotReachedError", "PeerTimeoutError"]


class PeerError(DaemonError):
    """The base of failures of messages between members."""


class PeerNotReachedError(PeerError):
    """The message was not sent: the peer has not seen it and never will."""


class PeerTimeoutError(PeerError):
    """The message was sent and no answer came in time."""
