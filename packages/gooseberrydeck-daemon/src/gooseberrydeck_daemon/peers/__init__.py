"""Typed messages between the members of a cell, over ZeroMQ under CURVE."""

from gooseberrydeck_daemon.peers.exceptions import (
    PeerError,
    PeerNotReachedError,
    PeerTimeoutError,
)
from gooseberrydeck_daemon.peers.messages import Inbound, MessageRegistry, PeerMessage
from gooseberrydeck_daemon.peers.network import PeerNetwork, Peers

__all__ = [
    "Inbound",
    "MessageRegistry",
    "PeerError",
    "PeerMessage",
    "PeerNetwork",
    "PeerNotReachedError",
    "PeerTimeoutError",
    "Peers",
]
