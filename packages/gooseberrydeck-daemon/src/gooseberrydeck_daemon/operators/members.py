"""The view of members: where they are and which configuration they hold."""

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

ASK_TIMEOUT_S = 1.0
ANY_NUMBER = AwaitConfiguration(0)


class MembersReader:
    """Ask every member which configuration it holds."""

    def __init__(
        self,
        settings: Settings,
        task: ConfigurationTask,
        peers: Peers,
        membership: MembershipView,
    ) -> None:
        """Read about this member from ``settings`` and ``task``."""
        self.settings = settings
        self.task = task
        self.peers = peers
        self.membership = membership

    def __call__(self) -> MembersResponse:
        """Return every member; one that does not answer is unreached."""
        addresses = self.membership.peers()
        futures = {
            peer.member: self.peers.request(peer.member, ANY_NUMBER, ASK_TIMEOUT_S)
            for peer in addresses
        }
        wait(futures.values(), timeout=ASK_TIMEOUT_S)
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
    """Return the number that a peer answered, or None."""
    if not future.done() or future.exception() is not None:
        return None
    answer = future.result()
    return answer.number if isinstance(answer, ConfigurationHeld) else None
