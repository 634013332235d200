"""View of the members, with their addresses and configuration numbers."""

from concurrent.futures import Future, wait
from typing import Any

from gooseberrydeck_configuration.api import MembersResponse, MemberView
from gooseberrydeck_daemon.controllers.configuration import (
    AwaitConfiguration,
    ConfigurationHeld,
    ConfigurationTask,
)
from gooseberrydeck_daemon.peers import Peers
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_daemon.views import MembershipView

__all__ = ["MembersReader"]

REQUEST_TIMEOUT_S = 1.0
ANY_NUMBER = AwaitConfiguration(0)


class MembersReader:
    """Read the configuration number of every member."""

    def __init__(
        self,
        settings: Settings,
        task: ConfigurationTask,
        peers: Peers,
        membership: MembershipView,
    ) -> None:
        """Describe this member from ``settings`` and ``task``, others by request."""
        self.settings = settings
        self.task = task
        self.peers = peers
        self.membership = membership

    def __call__(self) -> MembersResponse:
        """Return every member; one that does not reply in time is unreached."""
        addresses = self.membership.peers()
        futures = {
            peer.member: self.peers.request(peer.member, ANY_NUMBER, REQUEST_TIMEOUT_S)
            for peer in addresses
        }
        wait(futures.values(), timeout=REQUEST_TIMEOUT_S)
        views = [
            MemberView(
                member=self.settings.member,
                data_centre=self.settings.data_centre,
                address=self.settings.address,
                state="fresh" if self.task.is_fresh() else "stale",
                configuration=self.task.number,
            )
        ]
        for peer in addresses:
            number = held_number(futures[peer.member])
            state = "unreached" if number is None else "live"
            views.append(
                MemberView(
                    member=peer.member,
                    address=peer.address,
                    state=state,
                    configuration=number,
                )
            )
        return MembersResponse(tuple(sorted(views, key=lambda view: view.member)))


def held_number(future: Future[Any]) -> int | None:
    """Return the configuration number in a peer's reply, or None."""
    if not future.done() or future.exception() is not None:
        return None
    reply = future.result()
    return reply.number if isinstance(reply, ConfigurationHeld) else None
