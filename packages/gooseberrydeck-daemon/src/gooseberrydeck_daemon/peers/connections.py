"""The connections that carry messages to the peers."""

from collections.abc import Callable, Iterable

import structlog
import zmq

from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_daemon.peers.messages import Frame
from gooseberrydeck_daemon.peers.security import CurveKeys
from gooseberrydeck_daemon.peers.sockets import Context, open_dealer
from gooseberrydeck_daemon.settings import PeerAddress

__all__ = ["PeerConnections"]

Dealer = zmq.Socket[bytes]

log = structlog.get_logger(__name__)


class PeerConnections:
    """A DEALER socket for each peer; for the network task only.

    The socket of a peer that has left sends nothing more, but is kept while replies
    are expected on it.
    """

    def __init__(
        self, context: Context, keys: CurveKeys, identity: bytes, poller: zmq.Poller
    ) -> None:
        """Create no socket yet; all are registered with ``poller``."""
        self.context = context
        self.keys = keys
        self.identity = identity
        self.poller = poller
        self.current: dict[MemberId, tuple[PeerAddress, Dealer]] = {}
        self.retired: list[tuple[MemberId, Dealer]] = []

    def sync(
        self,
        peers: Iterable[PeerAddress],
        expects_reply: Callable[[MemberId], bool],
    ) -> None:
        """Connect to new peers; retire connections to removed or readdressed ones.

        Close retired connections to members from which no reply is expected.
        """
        wanted = {item.member: item for item in peers}
        for member, (address, dealer) in list(self.current.items()):
            if wanted.get(member) != address:
                self.retired.append((member, dealer))
                del self.current[member]
                log.info("peer removed", peer=member)
        for member, dealer in self.retired:
            if not expects_reply(member):
                self.poller.unregister(dealer)
                dealer.close()
        self.retired = [each for each in self.retired if not each[1].closed]
        for member, address in wanted.items():
            if member not in self.current:
                self.connect(address)

    def connect(self, address: PeerAddress) -> None:
        """Open the connection that carries messages to a peer."""
        dealer = open_dealer(self.context, self.keys, self.identity, address)
        self.poller.register(dealer, zmq.POLLIN)
        self.current[address.member] = (address, dealer)
        log.info("peer added", peer=address.member)

    def try_send(self, member: MemberId, frame: Frame) -> bool:
        """Return True if a live connection accepted the frame."""
        connection = self.current.get(member)
        if connection is None:
            return False
        try:
            connection[1].send_multipart([frame.header(), frame.payload], zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def dealers(self) -> list[tuple[MemberId, Dealer]]:
        """Return the sockets on which replies may arrive."""
        current = [(member, dealer) for member, (_, dealer) in self.current.items()]
        return current + self.retired

    def close(self) -> None:
        """Close every socket."""
        for _, dealer in self.dealers():
            dealer.close()
