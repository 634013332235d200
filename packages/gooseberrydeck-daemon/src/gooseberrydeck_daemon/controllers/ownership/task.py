"""Task that maintains the member's session, shards and authority."""

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
from gooseberrydeck_coordination.exceptions import RecordUnreadableError, StoreError
from gooseberrydeck_coordination.ids import ConfigurationNumber, ShardId
from gooseberrydeck_daemon.controllers.ownership.holder import OwnershipHolder
from gooseberrydeck_daemon.controllers.ownership.messages import (
    AttestationAsk,
    AttestationReceived,
    AttestationReply,
    AttestationRequested,
    HostListRead,
    LeaveRequested,
    OwnershipMessage,
    ShardSettled,
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound, PeerError, Peers
from gooseberrydeck_platform.hosts import Host
from gooseberrydeck_service.tasks import Task
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["OwnershipTask"]

TICK_S = 0.05

log = structlog.get_logger(__name__)


class OwnershipTask(Task[OwnershipMessage]):
    """Drive the coordinator and publish its view of ownership.

    Calls to the store run in a thread of their own, so that attestations continue
    while the store hangs.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        rounds: StoreRounds,
        holder: OwnershipHolder,
        peers: Peers,
        configuration_number: Callable[[], ConfigurationNumber],
        is_shard_idle: Callable[[ShardId], bool],
        on_initial_view: Callable[[], None],
        clock: Clock,
        timing: Timing,
        metrics: Metrics,
    ) -> None:
        """Create a task that calls the store through ``rounds``.

        ``configuration_number`` returns the number of this member's configuration.
        ``is_shard_idle`` returns True if a shard that is being released has no call in
        flight. ``on_initial_view`` is called once, when every shard has an owner or the
        store can't be reached.
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
        self.is_shard_idle = is_shard_idle
        self.on_initial_view = on_initial_view
        self.has_initial_view = False
        self.store_executor = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.unreadable = UnreadableLog(clock.monotonic)
        self.pending_round: Future[RoundResult] | None = None
        self.next_round_s = 0.0
        self.next_attestation_s = 0.0
        self.is_store_reachable = True
        self.has_left_roster = threading.Event()

    # Thread-safe methods.

    def observe_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Post the platform's list of hosts."""
        specifications = tuple(
            HostSpecification(host.name, host.kind.value, host.rack) for host in hosts
        )
        self.post(HostListRead(specifications))

    def receive_attestation_request(self, inbound: Inbound) -> None:
        """Post a peer's attestation request; it is dropped if the inbox is full."""
        if not self.post(AttestationRequested(inbound)):
            self.metrics.count("ownership.asks.dropped")

    def leave(self, timeout_s: float) -> bool:
        """Release every shard and leave the roster.

        Return False if that takes longer than ``timeout_s``.
        """
        self.post(LeaveRequested())
        return self.has_left_roster.wait(timeout_s)

    # Methods for the task's own thread only.

    def run_once(self, wait_s: float) -> None:
        """Handle at most one message, then run the work that is due."""
        super().run_once(wait_s)
        self.run_due_work()

    def handle(self, message: OwnershipMessage) -> None:
        """Apply one message to the coordinator and publish the view."""
        match message:
            case AttestationRequested(inbound):
                self.coordinator.observe_configuration(self.configuration_number())
                answer = self.coordinator.on_request(inbound.message.request)
                inbound.reply(AttestationReply(answer))
            case AttestationReceived(reply):
                self.coordinator.on_answer(reply.answer)
            case HostListRead(hosts):
                self.coordinator.observe_hosts(hosts)
            case ShardSettled(shard, epoch, is_settled):
                self.coordinator.mark_settled(shard, epoch, is_settled)
            case LeaveRequested():
                self.coordinator.begin_leaving()
        self.publish()

    def run_due_work(self) -> None:
        """Finish and start store rounds and request attestations, as they are due."""
        if self.pending_round is not None and self.pending_round.done():
            result, self.pending_round = self.pending_round.result(), None
            self.finish_round(result)
        now_s = self.clock.monotonic()
        if now_s >= self.next_round_s and self.pending_round is None:
            self.next_round_s = now_s + self.timing.round_interval_s
            self.start_round()
        if now_s >= self.next_attestation_s:
            self.next_attestation_s = now_s + self.timing.attestation_interval_s
            self.request_attestations()

    def start_round(self) -> None:
        """Submit the next round to the store thread."""
        for shard, claimed_shard in self.coordinator.claimed_shards.items():
            if claimed_shard.release_s is not None and self.is_shard_idle(shard):
                self.coordinator.mark_idle(shard, claimed_shard.epoch)
        plan = self.coordinator.plan_round()
        self.pending_round = self.store_executor.submit(self.rounds.run, plan)

    def finish_round(self, result: RoundResult) -> None:
        """Apply the result of a round and publish the view."""
        self.coordinator.apply_round(result)
        self.publish()
        self.metrics.count("ownership.rounds")
        if isinstance(result.failure, MemberNameTakenError):
            self.metrics.count("ownership.name_taken")
        if result.failure is not None:
            self.metrics.count("ownership.rounds.failed")
        self.report_unreadable(result)
        is_store_reachable = result.snapshot is not None
        if is_store_reachable != self.is_store_reachable:
            log.info(
                "store contact", reached=is_store_reachable, reason=repr(result.failure)
            )
            self.is_store_reachable = is_store_reachable
        if not self.has_initial_view and self.is_initial_view_complete(result):
            self.has_initial_view = True
            self.on_initial_view()
        if self.coordinator.is_leaving:
            self.next_round_s = 0.0
            if self.coordinator.has_left:
                self.has_left_roster.set()

    def report_unreadable(self, result: RoundResult) -> None:
        """Log and count the records that the round could not read."""
        unreadable = [] if result.snapshot is None else list(result.snapshot.unreadable)
        if isinstance(result.failure, RecordUnreadableError):
            unreadable.append(result.failure)
        for error in unreadable:
            self.metrics.count("ownership.records.unreadable")
            self.unreadable.report(
                UnreadableEvent.COORDINATION_RECORD, error.key, error.reason
            )
        self.unreadable.forget_missing(
            UnreadableEvent.COORDINATION_RECORD, {error.key for error in unreadable}
        )
        self.unreadable.summarize()

    def is_initial_view_complete(self, result: RoundResult) -> bool:
        """Return True if every shard has an owner or the store can't be reached.

        Shards whose records can't be read have no owner that is known.
        """
        known = set(self.coordinator.owners)
        if result.snapshot is not None:
            known |= result.snapshot.unreadable_shards
        is_store_out = isinstance(result.failure, StoreError)
        return is_store_out or known.issuperset(range(self.rounds.shard_count))

    def request_attestations(self) -> None:
        """Send an attestation request to every other member."""
        self.coordinator.observe_configuration(self.configuration_number())
        for outgoing in self.coordinator.attestation_requests():
            message = AttestationAsk(outgoing.request)
            future = self.peers.request(
                outgoing.member, message, self.timing.session_ttl_s
            )
            future.add_done_callback(self.post_attestation)
        self.publish()

    def post_attestation(self, future: Future[Any]) -> None:
        """Post a peer's attestation; it is dropped if the inbox is full."""
        error = future.exception()
        if isinstance(error, PeerError):
            self.metrics.count("ownership.asks.unanswered")
        elif isinstance(reply := future.result(), AttestationReply):
            self.post(AttestationReceived(reply))

    def publish(self) -> None:
        """Publish the coordinator's view and log the differences to the last one."""
        view = self.coordinator.view()
        log_changes(self.holder.current, view)
        self.holder.publish(view)

    def end(self) -> None:
        """End the session, so that other members need not wait for it to expire."""
        self.store_executor.submit(self.rounds.close)
        self.store_executor.shutdown(wait=True)


def log_changes(before: OwnershipView, after: OwnershipView) -> None:
    """Log gained and lost shards, and members that joined or left."""
    for shard in after.owned.keys() - before.owned.keys():
        log.info("shard claimed", shard=shard, epoch=after.owned[shard].epoch)
    for shard in before.owned.keys() - after.owned.keys():
        log.info("shard released", shard=shard, epoch=before.owned[shard].epoch)
    for member in after.members.keys() - before.members.keys():
        log.info("member joined", peer=member)
    for member in before.members.keys() - after.members.keys():
        log.info("member left", peer=member)
