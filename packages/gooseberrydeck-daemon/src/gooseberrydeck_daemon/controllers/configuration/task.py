"""Task that holds the newest configuration of this member."""

import random
from concurrent.futures import Future
from typing import Any, Protocol

import msgspec
import structlog

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.authority import NEVER_S
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.ids import ConfigurationNumber, MemberId
from gooseberrydeck_coordination.versioned import (
    OfferResult,
    VersionedHolder,
    VersionedRecord,
    VersionNumber,
    decode_record,
    encode_record,
)
from gooseberrydeck_daemon.controllers.configuration.freshness import FreshnessRule
from gooseberrydeck_daemon.controllers.configuration.messages import (
    AwaitConfiguration,
    ConfigurationAwaited,
    ConfigurationContent,
    ConfigurationHeld,
    ConfigurationMessage,
    FetchConfiguration,
    FetchFailed,
    NumberRead,
    RecordFound,
    RecordUnreadable,
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound, Peers
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task
from gooseberrydeck_service.unreadable_log import UnreadableEvent, UnreadableLog

__all__ = ["ConfigurationSink", "ConfigurationTask", "decode_configuration_record"]

FETCH_TIMEOUT_S = 1.0
FETCH_PERIOD_S = 0.3
MAX_WAITING_PEERS = 256
MAX_AWAIT_S = 10.0

log = structlog.get_logger(__name__)


class ConfigurationSink(Protocol):
    """Interface for the receiver of new configurations, such as a holder."""

    def offer(self, configuration: Configuration) -> bool:
        """Store a newer configuration; return False for one that is not newer."""


class WaitingPeer(msgspec.Struct, frozen=True):
    """A peer that waits for a reply until ``until_s`` on the monotonic clock."""

    peer: ConfigurationAwaited
    until_s: float


def decode_configuration_record(record: VersionedRecord) -> Configuration:
    """Return the record's configuration with the record's number.

    Raise ``DecodingError`` if this version of the software can't decode it.
    """
    content = decode_json(bytes(record.content), Configuration)
    return msgspec.structs.replace(content, number=ConfigurationNumber(record.number))


class ConfigurationTask(Task[ConfigurationMessage]):
    """Hold the newest configuration, received from the store or from peers.

    The task also tracks whether the configuration is fresh, and replies to peers that
    wait for a number. ``record``, ``number`` and ``is_fresh`` are thread-safe.
    """

    def __init__(
        self,
        sink: ConfigurationSink,
        freshness_rule: FreshnessRule,
        peers: Peers,
        membership: MembershipView,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        """Create a task without a configuration.

        Each newer configuration is passed to ``sink``.
        """
        super().__init__("configuration")
        self.sink = sink
        self.freshness_rule = freshness_rule
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.rng = rng or random.Random()
        self.holder = VersionedHolder()
        self.unreadable = UnreadableLog(clock.monotonic)
        self.confirmed_at_s = NEVER_S
        self.fresh_until_s = NEVER_S
        self.was_fresh = False
        self.waiting_peers: list[WaitingPeer] = []
        self.announcing_peer: MemberId | None = None
        self.next_fetch_s = NEVER_S
        self.fetch_timeout_at_s = NEVER_S

    # Thread-safe methods.

    @property
    def record(self) -> VersionedRecord | None:
        """Return the newest record, or None if there is none yet."""
        return self.holder.record

    @property
    def number(self) -> VersionNumber:
        """Return the number of the newest record, or 0 if there is none yet."""
        return self.holder.number

    def is_fresh(self) -> bool:
        """Return True if the configuration may be treated as the newest."""
        return self.clock.monotonic() < self.fresh_until_s

    def receive_await(self, inbound: Inbound) -> None:
        """Reply to ``AwaitConfiguration`` or post it; called by the network task."""
        message: AwaitConfiguration = inbound.message
        number = VersionNumber(message.number)
        if self.number >= number:
            inbound.reply(ConfigurationHeld(self.number))
        elif not self.post(ConfigurationAwaited(inbound.sender, number, inbound.reply)):
            self.metrics.count("configuration.awaits.dropped")

    def receive_fetch(self, inbound: Inbound) -> None:
        """Reply to ``FetchConfiguration``; called by the network task."""
        record = self.record
        content = encode_record(record) if record else b""
        inbound.reply(ConfigurationContent(content))

    # Methods for the task's own thread only.

    def handle(self, message: ConfigurationMessage) -> None:
        """Process one message, then run the timed work."""
        match message:
            case RecordFound(record):
                self.apply_record(record)
            case NumberRead(number, sent_s):
                self.record_number(number, sent_s)
            case ConfigurationAwaited():
                self.add_waiting_peer(message)
            case RecordUnreadable(key, reason):
                self.unreadable.report(UnreadableEvent.CONFIGURATION, key, reason)
            case FetchFailed():
                self.fetch_timeout_at_s = NEVER_S
        self.tick()

    def tick(self) -> None:
        """Drop expired waits, fetch from a peer if due, and update the freshness."""
        now_s = self.clock.monotonic()
        self.waiting_peers = [
            item for item in self.waiting_peers if item.until_s > now_s
        ]
        due_s = max(self.next_fetch_s, self.fetch_timeout_at_s)
        if self.needs_fetch() and now_s >= due_s:
            self.next_fetch_s = now_s + FETCH_PERIOD_S
            self.fetch()
        self.update_freshness(now_s)
        self.unreadable.summarize()

    def apply_record(self, record: VersionedRecord) -> None:
        """Store a record if it is newer, and reply to the peers that wait for it."""
        self.fetch_timeout_at_s = NEVER_S
        try:
            configuration = decode_configuration_record(record)
        except DecodingError as error:
            # The number exists, so this member counts as behind until it can decode
            # the record.
            self.holder.observe_number(record.number)
            self.metrics.count("configuration.undecodable")
            self.unreadable.report(
                UnreadableEvent.CONFIGURATION, f"number {record.number}", str(error)
            )
            return
        result = self.holder.offer(record)
        self.metrics.count(f"configuration.offers.{result.value}")
        if result is OfferResult.CONFLICT:
            log.error(
                "configuration number conflict: two records have the same number",
                number=record.number,
            )
        if result is not OfferResult.NEWER:
            return
        self.sink.offer(configuration)
        self.metrics.gauge("configuration.number", record.number)
        log.info("configuration in force", number=record.number, author=record.author)
        self.reply_to_waiting_peers()

    def record_number(self, number: VersionNumber, sent_s: float) -> None:
        """Record the store's newest number.

        The read confirms the held configuration only if its number is not newer.
        """
        self.holder.observe_number(number)
        if number <= self.holder.number:
            self.confirmed_at_s = max(self.confirmed_at_s, sent_s)

    def add_waiting_peer(self, peer: ConfigurationAwaited) -> None:
        """Reply to a peer now, or once its number is held."""
        if self.holder.number < peer.number:
            self.announcing_peer = peer.sender
            self.holder.observe_number(peer.number)
            if len(self.waiting_peers) < MAX_WAITING_PEERS:
                until_s = self.clock.monotonic() + MAX_AWAIT_S
                self.waiting_peers.append(WaitingPeer(peer, until_s))
            # Delays the fetch: the watch usually delivers the record first.
            self.next_fetch_s = self.clock.monotonic() + FETCH_PERIOD_S
        else:
            peer.reply(ConfigurationHeld(self.holder.number))

    def reply_to_waiting_peers(self) -> None:
        """Reply to the peers whose awaited number is held now."""
        number = self.holder.number
        due = [item for item in self.waiting_peers if item.peer.number <= number]
        self.waiting_peers = [
            item for item in self.waiting_peers if item.peer.number > number
        ]
        for item in due:
            item.peer.reply(ConfigurationHeld(number))

    def needs_fetch(self) -> bool:
        """Return True if this member has no configuration or knows of a newer one."""
        return self.holder.is_behind or self.holder.record is None

    def fetch(self) -> None:
        """Request the configuration of the announcing peer, or of a random one."""
        names = [peer.member for peer in self.membership.peers()]
        member = self.announcing_peer if self.announcing_peer in names else None
        self.announcing_peer = None
        if member is None and names:
            member = self.rng.choice(names)
        if member is None:
            return
        # The result is lost if the inbox is full; this timeout allows the next fetch.
        self.fetch_timeout_at_s = self.clock.monotonic() + 2 * FETCH_TIMEOUT_S
        future = self.peers.request(member, FetchConfiguration(), FETCH_TIMEOUT_S)
        future.add_done_callback(self.post_fetch_result)

    def post_fetch_result(self, future: Future[Any]) -> None:
        """Post the outcome of a fetch; may be called from any thread."""
        content = None if future.exception() else future.result()
        message: ConfigurationMessage = FetchFailed()
        if isinstance(content, ConfigurationContent) and content.record:
            try:
                message = RecordFound(decode_record(content.record))
            except DecodingError as error:
                self.metrics.count("configuration.undecodable")
                self.post(RecordUnreadable("a peer's record", str(error)))
        self.post(message)

    def update_freshness(self, now_s: float) -> None:
        """Update the time until which the configuration counts as fresh."""
        number = ConfigurationNumber(self.holder.number)
        self.fresh_until_s = self.freshness_rule.configuration_deadline_s(
            number, self.confirmed_at_s
        )
        is_fresh = now_s < self.fresh_until_s
        if is_fresh is not self.was_fresh:
            self.was_fresh = is_fresh
            log.info("configuration freshness changed", is_fresh=is_fresh)
