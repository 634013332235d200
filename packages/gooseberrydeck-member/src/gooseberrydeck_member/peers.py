"""The client for calls between members."""

import threading
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_fleet.advice import Advice, AdviceFailedError
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_member.peer_messages import (
    AdviceQuery,
    ConfigurationPiece,
    ConfigurationQuery,
    HandOver,
    Heartbeat,
    HeartbeatReply,
    HolderAnnouncement,
    StateQuery,
    StateReply,
    WaitingReply,
)
from gooseberrydeck_member.shard_lock import ShardView
from gooseberrydeck_platform.http import (
    HttpAddress,
    HttpError,
    HttpNotSentError,
    HttpResponse,
)
from gooseberrydeck_platform.http_pool import HttpPool

__all__ = [
    "RELAYED_HEADER",
    "PeerCallError",
    "PeerClient",
    "PeerNotHandledError",
    "PeerRefusedError",
]

ReplyT = TypeVar("ReplyT")

RELAYED_HEADER = "X-Relayed"
"""Marks a caller's request as relayed by another member; it is relayed only once."""

NOT_HANDLED_STATUSES = frozenset({404, 503})
"""Statuses with which a peer's listener refuses a message before handling it: of a kind
that it doesn't know, or while it is busy or not ready."""


class PeerCallError(Exception):
    """A call to a peer failed or returned no usable reply.

    ``outcome`` says whether the peer may have handled it.
    """

    outcome = Outcome.UNKNOWN


class PeerNotHandledError(PeerCallError):
    """The peer has certainly not handled the call, and never will."""

    outcome = Outcome.NOT_RUN


class PeerRefusedError(PeerNotHandledError):
    """The peer's host refused the connection: its process has ended."""


class PeerClient:
    """Call other members over persistent connections."""

    def __init__(self) -> None:
        """Create a client; connections are opened on the first call."""
        self.lock = threading.Lock()
        self.pools: dict[str, HttpPool] = {}

    def pool(self, address: str) -> HttpPool:
        """Return the connection pool of a peer, creating it if needed.

        Raises ``PeerNotHandledError`` if the address is malformed.
        """
        with self.lock:
            pool = self.pools.get(address)
            if pool is None:
                try:
                    pool = HttpPool([HttpAddress.parse(address)])
                except ValueError as error:
                    raise PeerNotHandledError(str(error)) from error
                self.pools[address] = pool
            return pool

    def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> HttpResponse:
        """Send an HTTP request and return its response.

        Raises ``PeerRefusedError`` if the connection was refused,
        ``PeerNotHandledError`` if the request was not sent for another reason, and
        otherwise ``PeerCallError``.
        """
        pool = self.pool(address)
        try:
            return pool.request(method, path, body, headers, timeout_s)
        except HttpNotSentError as error:
            pool.close()
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise PeerRefusedError(str(error)) from error
            raise PeerNotHandledError(str(error)) from error
        except HttpError as error:
            pool.close()
            raise PeerCallError(str(error)) from error

    def call(
        self,
        address: str,
        path: str,
        message: object,
        reply: type[ReplyT],
        timeout_s: float,
    ) -> ReplyT:
        """Send a message and return the decoded reply.

        Raises ``PeerNotHandledError`` if the peer has certainly not handled the
        message, otherwise ``PeerCallError``.
        """
        body = msgspec.json.encode(message)
        headers = {"Content-Type": "application/json"}
        response = self.request(address, "POST", path, body, headers, timeout_s)
        if response.status in NOT_HANDLED_STATUSES:
            raise PeerNotHandledError(f"{address}{path}: status {response.status}")
        if response.status != 200:
            raise PeerCallError(f"{address}{path}: status {response.status}")
        try:
            return decode_json(response.body, reply)
        except DecodingError as error:
            raise PeerCallError(f"{address}{path}: {error}") from error

    def send_heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_s: float
    ) -> HeartbeatReply:
        """Send a heartbeat to the holder."""
        return self.call(address, "/beat", heartbeat, HeartbeatReply, timeout_s)

    def configuration_piece(
        self, address: str, query: ConfigurationQuery, timeout_s: float
    ) -> ConfigurationPiece:
        """Return a piece of the compressed configuration of a peer."""
        return self.call(
            address, "/configuration", query, ConfigurationPiece, timeout_s
        )

    def announce(
        self, address: str, announcement: HolderAnnouncement, timeout_s: float
    ) -> None:
        """Announce the holder of the shard to a peer."""
        self.call(address, "/announce", announcement, bool, timeout_s)

    def hand_over(self, address: str, seen: ShardView, timeout_s: float) -> bool:
        """Ask a peer to claim the shard; return whether it did."""
        return self.call(address, "/hand-over", HandOver(seen), bool, timeout_s)

    def state(self, address: str, query: StateQuery, timeout_s: float) -> StateReply:
        """Return a job's state from the holder."""
        return self.call(address, "/state", query, StateReply, timeout_s)

    def waiting(self, address: str, timeout_s: float) -> WaitingReply:
        """Return the number of waiting jobs by queue from the holder."""
        return self.call(address, "/waiting", None, WaitingReply, timeout_s)

    def advise(
        self,
        address: str,
        step: StepRef,
        workers: tuple[WorkerId, ...],
        timeout_s: float,
    ) -> Advice:
        """Return advice obtained through a peer, or raise ``AdviceFailedError``."""
        query = AdviceQuery(*step, workers, timeout_s)
        try:
            return self.call(address, "/advise", query, Advice, timeout_s + 0.2)
        except PeerCallError as error:
            raise AdviceFailedError(str(error)) from error

    def close(self) -> None:
        """Close the idle connections."""
        with self.lock:
            for pool in self.pools.values():
                pool.close()
