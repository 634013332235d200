"""Keep the member's session, its shards and its authority."""

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import structlog

from gooseberrydeck_coordination import (
    Clock,
    Coordinator,
    HostSpecification,
    MemberNameTakenError,
    OwnershipView,
    RoundResult,
    StoreRounds,
    Timing,
)
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import ConfigurationNumber, ShardId
from gooseberrydeck_daemon.controllers.ownership.holder import OwnershipHolder
from gooseberrydeck_daemon.controllers.ownership.messages import (
    AttestationAsk,
    AttestationReply,
    HostsSeen,
    Leaving,
    OwnershipMessage,
    PeerAnswered,
    PeerAsked,
    ShardSettled,
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound, PeerError, Peers
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_service.tasks import Task

__all__ = ["OwnershipTask"]

TICK_S = 0.05

log = structlog.get_logger(__name__)


class OwnershipTask(Task[OwnershipMessage]):
    """Own the coordinator, and publish what it shows.

    Calls to the store are made by one thread of its own, so that attestations go on
    while the store hangs.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        rounds: StoreRounds,
        holder: OwnershipHolder,
        peers: Peers,
        configuration_number: Callable[[], ConfigurationNumber],
        is_idle: Callable[[ShardId], bool],
        on_informed: Callable[[], None],
        clock: Clock,
        timing: Timing,
        metrics: Metrics,
    ) -> None:
        """Use ``rounds`` for the store.

        ``configuration_number`` tells which configuration this member holds.
        ``is_idle`` tells that no call of a shard that is being released is under way.
        ``on_informed`` is called once, when every shard has an owner or the store
        can't be reached.
        """
        super().__init__("ownership", tick_s=TICK_S)
        self.coordinator = coordinator
        self.rounds = rounds
        self.holder = holder
        self.peers = peers
        self.configuration_number = configuration_number
        self.clock = clock
        self.timing = timing
        self.metrics = metrics
        self.is_idle = is_idle
        self.on_informed = on_informed
        self.is_informed = False
        self.store_calls = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.round: Future[RoundResult] | None = None
        self.next_round_s = 0.0
        self.next_attestation_s = 0.0
        self.has_store = True
        self.left = threading.Event()

    # Called from any thread.

    def observe_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take in the platform's list of hosts."""
        specifications = tuple(
            HostSpecification(host.name, host.kind.value, host.rack) for host in hosts
        )
        self.post(HostsSeen(specifications))

    def receive_ask(self, inbound: Inbound) -> None:
        """Take in a peer's question; one that finds the inbox full is dropped."""
        if not self.post(PeerAsked(inbound)):
            self.metrics.count("ownership.asks.dropped")

    def leave(self, timeout_s: float) -> bool:
        """Release every shard and leave the roster; return whether that was done."""
        self.post(Leaving())
        return self.left.wait(timeout_s)

    # Called in the task's own thread.

    def run_once(self, wait_s: float) -> None:
        """Handle one message or none, then do what is due by time."""
        super().run_once(wait_s)
        self.do_what_is_due()

    def handle(self, message: OwnershipMessage) -> None:
        """Act on one message."""
        match message:
            case PeerAsked(inbound):
                self.coordinator.observe_configuration(self.configuration_number())
                answer = self.coordinator.on_request(inbound.message.request)
                inbound.answer(AttestationReply(answer))
            case PeerAnswered(reply):
                self.coordinator.on_answer(reply.answer)
            case HostsSeen(hosts):
                self.coordinator.observe_hosts(hosts)
            case ShardSettled(shard, epoch, is_settled):
                self.coordinator.mark_settled(shard, epoch, is_settled)
            case Leaving():
                self.coordinator.begin_leaving()
        self.publish()

    def do_what_is_due(self) -> None:
        """Begin and end rounds and ask the peers, each in its time."""
        if self.round is not None and self.round.done():
            result, self.round = self.round.result(), None
            self.end_round(result)
        now_s = self.clock.monotonic()
        if now_s >= self.next_round_s and self.round is None:
            self.next_round_s = now_s + self.timing.round_interval_s
            self.begin_round()
        if now_s >= self.next_attestation_s:
            self.next_attestation_s = now_s + self.timing.attestation_interval_s
            self.ask_peers()

    def begin_round(self) -> None:
        """Let the store's thread make the next round."""
        for shard, holding in self.coordinator.claimed_shards.items():
            if holding.release_s is not None and self.is_idle(shard):
                self.coordinator.mark_idle(shard, holding.epoch)
        plan = self.coordinator.plan_round()
        self.round = self.store_calls.submit(self.rounds.run, plan)

    def end_round(self, result: RoundResult) -> None:
        """Take in the result of a round."""
        self.coordinator.apply_round(result)
        self.publish()
        self.metrics.count("ownership.rounds")
        if isinstance(result.failure, MemberNameTakenError):
            self.metrics.count("ownership.name_taken")
        if result.failure is not None:
            self.metrics.count("ownership.rounds.failed")
        has_store = result.snapshot is not None
        if has_store != self.has_store:
            log.info("store contact", reached=has_store, reason=repr(result.failure))
            self.has_store = has_store
        if not self.is_informed and self.is_enough(result):
            self.is_informed = True
            self.on_informed()
        if self.coordinator.is_leaving:
            self.next_round_s = 0.0
            if self.coordinator.has_left:
                self.left.set()

    def is_enough(self, result: RoundResult) -> bool:
        """Tell whether a first round has shown all that there is to know."""
        owners = len(self.coordinator.owners)
        is_store_out = isinstance(result.failure, StoreError)
        return is_store_out or owners == self.rounds.shard_count

    def ask_peers(self) -> None:
        """Send an attestation request to every other member."""
        self.coordinator.observe_configuration(self.configuration_number())
        for out in self.coordinator.attestation_requests():
            ask = AttestationAsk(out.request)
            future = self.peers.ask(out.member, ask, self.timing.session_ttl_s)
            future.add_done_callback(self.post_answer)
        self.publish()

    def post_answer(self, future: Future[Any]) -> None:
        """Bring a peer's answer into the inbox; one that finds it full is dropped."""
        error = future.exception()
        if isinstance(error, PeerError):
            self.metrics.count("ownership.asks.unanswered")
        elif isinstance(reply := future.result(), AttestationReply):
            self.post(PeerAnswered(reply))

    def publish(self) -> None:
        """Publish the present picture, and log what was gained or lost."""
        view = self.coordinator.view()
        log_changes(self.holder.current, view)
        self.holder.publish(view)

    def end(self) -> None:
        """End the session, so that others need not wait for it to lapse."""
        self.store_calls.submit(self.rounds.close)
        self.store_calls.shutdown(wait=True)


def log_changes(before: OwnershipView, after: OwnershipView) -> None:
    """Log the shards and members that came and went."""
    for shard in after.owned.keys() - before.owned.keys():
        log.info("shard claimed", shard=shard, epoch=after.owned[shard].epoch)
    for shard in before.owned.keys() - after.owned.keys():
        log.info("shard given up", shard=shard, epoch=before.owned[shard].epoch)
    for member in after.members.keys() - before.members.keys():
        log.info("member joined", peer=member)
    for member in before.members.keys() - after.members.keys():
        log.info("member gone", peer=member)
