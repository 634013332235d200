"""The task that holds the newest configuration of this member."""

import random
from concurrent.futures import Future
from typing import Any, Protocol

import msgspec
import structlog

from gooseberrydeck_configuration.objects import Configuration
from gooseberrydeck_coordination.authority import NEVER_S
from gooseberrydeck_coordination.clock import Clock
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
)
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import Inbound, Peers
from gooseberrydeck_daemon.views import MembershipView
from gooseberrydeck_service.tasks import Task

__all__ = ["ConfigurationSink", "ConfigurationTask", "decode_configuration_record"]

FETCH_TIMEOUT_S = 1.0
FETCH_PERIOD_S = 0.3
MAX_WAITING_PEERS = 256
MAX_AWAIT_S = 10.0

log = structlog.get_logger(__name__)


class ConfigurationSink(Protocol):
    """Take each newer configuration, as the rest of the member sees it."""

    def offer(self, configuration: Configuration) -> bool:
        """Take a newer configuration; return False for one that is not newer."""


class WaitingPeer(msgspec.Struct, frozen=True):
    """A peer that waits, and until when."""

    peer: ConfigurationAwaited
    until_s: float


def decode_configuration_record(record: VersionedRecord) -> Configuration:
    """Return the record's configuration under its number.

    Raise ``msgspec.DecodeError`` if this version of the program cannot read it.
    """
    content = msgspec.json.decode(record.content, type=Configuration)
    return msgspec.structs.replace(content, number=ConfigurationNumber(record.number))


class ConfigurationTask(Task[ConfigurationMessage]):
    """Hold the newest configuration, from the store or from peers.

    ``record``, ``number`` and ``is_fresh`` may be used from any thread.
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
        """Begin without a configuration."""
        super().__init__("configuration")
        self.sink = sink
        self.freshness_rule = freshness_rule
        self.peers = peers
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.rng = rng or random.Random()
        self.holder = VersionedHolder()
        self.confirmed_at_s = NEVER_S
        self.fresh_until_s = NEVER_S
        self.was_fresh = False
        self.waiting_peers: list[WaitingPeer] = []
        self.announcing_peer: MemberId | None = None
        self.next_fetch_s = NEVER_S
        self.fetch_timeout_at_s = NEVER_S

    # Called from any thread.

    @property
    def record(self) -> VersionedRecord | None:
        """Return the record that is held."""
        return self.holder.record

    @property
    def number(self) -> VersionNumber:
        """Return the number that is held."""
        return self.holder.number

    def is_fresh(self) -> bool:
        """Tell whether the configuration may be relied on to be the newest."""
        return self.clock.monotonic() < self.fresh_until_s

    def receive_await(self, inbound: Inbound) -> None:
        """Take in ``AwaitConfiguration``, in the network task."""
        message: AwaitConfiguration = inbound.message
        number = VersionNumber(message.number)
        if self.number >= number:
            inbound.reply(ConfigurationHeld(self.number))
        elif not self.post(ConfigurationAwaited(inbound.sender, number, inbound.reply)):
            self.metrics.count("configuration.awaits.dropped")

    def receive_fetch(self, inbound: Inbound) -> None:
        """Answer ``FetchConfiguration``, in the network task."""
        record = self.record
        content = encode_record(record) if record else b""
        inbound.reply(ConfigurationContent(content))

    # Called in the task only.

    def handle(self, message: ConfigurationMessage) -> None:
        """Act on one message."""
        match message:
            case RecordFound(record):
                self.apply_record(record)
            case NumberRead(number, sent_s):
                self.record_number(number, sent_s)
            case ConfigurationAwaited():
                self.add_waiting_peer(message)
            case FetchFailed():
                self.fetch_timeout_at_s = NEVER_S
        self.tick()

    def tick(self) -> None:
        """Fetch from a peer if that is due, and judge freshness."""
        now_s = self.clock.monotonic()
        self.waiting_peers = [
            item for item in self.waiting_peers if item.until_s > now_s
        ]
        due_s = max(self.next_fetch_s, self.fetch_timeout_at_s)
        if self.needs_fetch() and now_s >= due_s:
            self.next_fetch_s = now_s + FETCH_PERIOD_S
            self.fetch()
        self.update_freshness(now_s)

    def apply_record(self, record: VersionedRecord) -> None:
        """Hold a record if it is newer, and tell who waits for it."""
        self.fetch_timeout_at_s = NEVER_S
        try:
            configuration = decode_configuration_record(record)
        except msgspec.DecodeError:
            # The number is known to exist, so that this member counts as behind.
            self.holder.observe_number(record.number)
            self.metrics.count("configuration.undecodable")
            return
        result = self.holder.offer(record)
        self.metrics.count(f"configuration.offers.{result.value}")
        if result is OfferResult.CONFLICT:
            log.error("two configurations have one number", number=record.number)
        if result is not OfferResult.NEWER:
            return
        self.sink.offer(configuration)
        self.metrics.gauge("configuration.number", record.number)
        log.info("configuration in force", number=record.number, author=record.author)
        self.reply_to_waiting_peers()

    def record_number(self, number: VersionNumber, sent_s: float) -> None:
        """Take in the store's newest number; contact counts if it is held."""
        self.holder.observe_number(number)
        if number <= self.holder.number:
            self.confirmed_at_s = max(self.confirmed_at_s, sent_s)

    def add_waiting_peer(self, peer: ConfigurationAwaited) -> None:
        """Answer a peer, now or once its number is held."""
        if self.holder.number < peer.number:
            self.announcing_peer = peer.sender
            self.holder.observe_number(peer.number)
            if len(self.waiting_peers) < MAX_WAITING_PEERS:
                until_s = self.clock.monotonic() + MAX_AWAIT_S
                self.waiting_peers.append(WaitingPeer(peer, until_s))
            # The watch gets a moment's time to bring the content.
            self.next_fetch_s = self.clock.monotonic() + FETCH_PERIOD_S
        else:
            peer.reply(ConfigurationHeld(self.holder.number))

    def reply_to_waiting_peers(self) -> None:
        """Answer the peers whose number is held now."""
        number = self.holder.number
        due = [item for item in self.waiting_peers if item.peer.number <= number]
        self.waiting_peers = [
            item for item in self.waiting_peers if item.peer.number > number
        ]
        for item in due:
            item.peer.reply(ConfigurationHeld(number))

    def needs_fetch(self) -> bool:
        """Tell whether a peer may have what this member lacks."""
        return self.holder.is_behind or self.holder.record is None

    def fetch(self) -> None:
        """Ask the member that told of a newer number, or any other."""
        names = [peer.member for peer in self.membership.peers()]
        member = self.announcing_peer if self.announcing_peer in names else None
        self.announcing_peer = None
        if member is None and names:
            member = self.rng.choice(names)
        if member is None:
            return
        # An answer that found the inbox full must not stop later fetches.
        self.fetch_timeout_at_s = self.clock.monotonic() + 2 * FETCH_TIMEOUT_S
        future = self.peers.request(member, FetchConfiguration(), FETCH_TIMEOUT_S)
        future.add_done_callback(self.post_fetch_result)

    def post_fetch_result(self, future: Future[Any]) -> None:
        """Post what a peer answered, in whatever thread it came."""
        content = None if future.exception() else future.result()
        message: ConfigurationMessage = FetchFailed()
        if isinstance(content, ConfigurationContent) and content.record:
            try:
                message = RecordFound(decode_record(content.record))
            except msgspec.DecodeError:
                self.metrics.count("configuration.undecodable")
        self.post(message)

    def update_freshness(self, now_s: float) -> None:
        """Work out until when the configuration counts as fresh."""
        number = ConfigurationNumber(self.holder.number)
        self.fresh_until_s = self.freshness_rule.configuration_deadline_s(
            number, self.confirmed_at_s
        )
        is_fresh = now_s < self.fresh_until_s
        if is_fresh is not self.was_fresh:
            self.was_fresh = is_fresh
            log.info("configuration freshness changed", is_fresh=is_fresh)
