"""Tests of the configuration controller: freshness, fetches from peers and readers."""

from collections import deque
from concurrent.futures import Future
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from gooseberrydeck_configuration import (
    Authenticator,
    Configuration,
    ConfigurationStaleError,
    Key,
    KeyTable,
    KeyUnknownError,
    hash_secret,
)
from gooseberrydeck_coordination.attestation import (
    AttestationAnswer,
    AttestationRequest,
    Attestor,
)
from gooseberrydeck_coordination.authority import Authority, PeerContact
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    KeyId,
    MemberId,
    TeamName,
)
from gooseberrydeck_coordination.roster import RosterRecord, Seat
from gooseberrydeck_coordination.timing import Timing
from gooseberrydeck_coordination.versioned import (
    PublicationId,
    VersionedKeys,
    VersionedRecord,
    VersionNumber,
    encode_record,
)
from gooseberrydeck_daemon.controllers.configuration import (
    AwaitConfiguration,
    ConfigurationContent,
    ConfigurationHeld,
    ConfigurationMessage,
    ConfigurationPoller,
    ConfigurationTask,
    ConfigurationWatch,
    FetchConfiguration,
    NumberRead,
    RecordFound,
    RecordUnreadable,
)
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.peers import Inbound, PeerMessage, PeerTimeoutError
from gooseberrydeck_daemon.settings import PeerAddress
from gooseberrydeck_daemon.views import ConfigurationHolder, StaticMembership
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import PutKey, StoreEngine
from odd_values import ODD_RECORDS

NAMES = [MemberId(name) for name in ("m1", "m2", "m3")]
SEATS = [Seat(name, "1") for name in NAMES]
SECRET = "demo-radio"
KEY = Key(KeyId("radio-1"), TeamName("radio"), hash_secret(SECRET))
GRANTED = Configuration(keys=(KEY,))
WITHDRAWN = Configuration()
TIMING = Timing()
KEYS = VersionedKeys("/c/head", "/c/number", "/c/history/")


def make_record(number: int, content: Configuration = GRANTED) -> VersionedRecord:
    return VersionedRecord(
        VersionNumber(number),
        PublicationId(f"p{number}"),
        msgspec.Raw(msgspec.json.encode(content)),
    )


class FakePeers:
    """Deliver messages between tasks synchronously; members can be disconnected."""

    def __init__(self) -> None:
        self.tasks: dict[MemberId, ConfigurationTask] = {}
        self.disconnected: set[MemberId] = set()

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        return True

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        future: Future[Any] = Future()
        if member in self.disconnected:
            future.set_exception(PeerTimeoutError(member))
            return future
        inbound = Inbound(MemberId("m1"), message, future.set_result)
        if isinstance(message, FetchConfiguration):
            self.tasks[member].receive_fetch(inbound)
        else:
            self.tasks[member].receive_await(inbound)
        return future


class FakeMember:
    """A configuration task and its authority, with a manual clock."""

    def __init__(self, name: MemberId, clock: ManualClock, peers: FakePeers) -> None:
        self.seat = Seat(name, "1")
        self.clock = clock
        self.attestor = Attestor(self.seat)
        self.attestor.observe_store(RosterRecord(1, tuple(SEATS)), {})
        self.authority = Authority(self.attestor, clock, TIMING)
        self.authority.record_read(clock.monotonic())
        self.view = ConfigurationHolder()
        addresses = [PeerAddress(each, "127.0.0.1", 1) for each in NAMES]
        self.task = ConfigurationTask(
            self.view,
            self.authority,
            peers,
            StaticMembership(addresses, name),
            clock,
            InMemoryMetrics(),
        )
        self.authenticator = Authenticator(
            self.task.is_fresh, lambda: KeyTable(self.view.current)
        )
        peers.tasks[name] = self.task

    def deliver(self, *messages: ConfigurationMessage) -> None:
        for message in messages:
            self.task.handle(message)
        self.process_inbox()

    def process_inbox(self) -> None:
        """Handle queued messages, then run the task's timed work."""
        while not self.task.inbox.empty():
            self.task.run_once(0)
        self.attestor.observe_configuration(self.view.current.number)
        self.task.tick()

    def confirm(self, number: int) -> None:
        self.deliver(NumberRead(VersionNumber(number), self.clock.monotonic()))

    def exchange_attestation(self, peer: "FakeMember") -> None:
        """Record an attestation by a peer."""
        request = AttestationRequest(self.seat, 1, 1, ())
        answer: AttestationAnswer = peer.attestor.answer(request)
        self.authority.record_peer_answer(
            PeerContact(self.clock.monotonic(), (), answer)
        )

    def accepts_key(self) -> bool:
        """Return True if the key is accepted; raise if the configuration is stale."""
        try:
            return self.authenticator.authenticate(SECRET) == KEY
        except KeyUnknownError:
            return False


class Cell:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.peers = FakePeers()
        self.members = [FakeMember(name, self.clock, self.peers) for name in NAMES]
        for member in self.members:
            member.deliver(RecordFound(make_record(1)))
            member.confirm(1)

    def run(self, seconds: float, with_store: set[int], linked: set[int]) -> None:
        """Advance the clock; renew contact each second.

        Members ``with_store`` read the store, ``linked`` members attest each other.
        """
        for _ in range(int(seconds)):
            self.clock.advance(1)
            for index, member in enumerate(self.members):
                if index in with_store:
                    member.confirm(member.task.number)
            for index in linked:
                for other in linked - {index}:
                    self.members[index].exchange_attestation(self.members[other])
            for member in self.members:
                member.process_inbox()


@pytest.fixture
def cell() -> Cell:
    return Cell()


class TestWithdrawnKey:
    def test_every_member_accepts_the_key_initially(self, cell: Cell) -> None:
        assert [member.accepts_key() for member in cell.members] == [True] * 3

    @pytest.mark.parametrize("linked", [{0, 1}, {0, 1, 2}])
    def test_member_without_the_store_stops_within_the_session_ttl(
        self, cell: Cell, linked: set[int]
    ) -> None:
        """m1 and m2 hold the withdrawal of the key; m3 can't reach the store.

        Attestations of m1 and m2, which hold a newer number, must not keep m3 fresh.
        """
        for member in cell.members[:2]:
            member.deliver(RecordFound(make_record(2, WITHDRAWN)))
        cell.peers.disconnected = set(NAMES)
        cell.run(TIMING.session_ttl_s, with_store={0, 1}, linked=linked)
        with pytest.raises(ConfigurationStaleError):
            cell.members[2].accepts_key()
        assert not cell.members[0].accepts_key()

    def test_member_fetches_a_newer_number_from_the_announcing_peer(
        self, cell: Cell
    ) -> None:
        announcing_peer, other = cell.members[0], cell.members[2]
        announcing_peer.deliver(RecordFound(make_record(2, WITHDRAWN)))
        held = cell.peers.request(NAMES[2], AwaitConfiguration(2), 1)
        other.process_inbox()
        assert not held.done()
        cell.clock.advance(0.5)
        other.process_inbox()
        other.process_inbox()
        assert held.result(timeout=0) == ConfigurationHeld(2)
        assert not other.accepts_key()

    def test_connected_cell_stays_fresh_without_the_store(self, cell: Cell) -> None:
        cell.run(60, with_store=set(), linked={0, 1, 2})
        assert [member.accepts_key() for member in cell.members] == [True] * 3

    def test_minority_without_the_store_becomes_stale(self, cell: Cell) -> None:
        cell.run(TIMING.session_ttl_s, with_store=set(), linked={0, 1})
        assert cell.members[0].accepts_key()
        with pytest.raises(ConfigurationStaleError):
            cell.members[2].accepts_key()

    def test_paused_member_is_stale_until_it_reads_the_store(self, cell: Cell) -> None:
        member = cell.members[0]
        cell.clock.advance(60)
        with pytest.raises(ConfigurationStaleError):
            member.accepts_key()
        member.confirm(1)
        assert member.accepts_key()

    def test_read_of_a_newer_number_does_not_renew_freshness(self, cell: Cell) -> None:
        cell.clock.advance(TIMING.session_ttl_s)
        cell.peers.disconnected = set(NAMES)
        cell.members[0].confirm(2)
        with pytest.raises(ConfigurationStaleError):
            cell.members[0].accepts_key()


class TestContent:
    def test_new_member_without_the_store_fetches_from_a_peer(self, cell: Cell) -> None:
        newcomer = FakeMember(NAMES[2], cell.clock, cell.peers)
        cell.members[0].deliver(RecordFound(make_record(1)))
        for _ in range(4):
            cell.clock.advance(0.5)
            newcomer.process_inbox()
        assert newcomer.view.current.number == 1
        assert newcomer.view.current.keys == (KEY,)

    def test_undecodable_record_leaves_the_member_behind(self, cell: Cell) -> None:
        member = cell.members[0]
        record = make_record(2)
        undecodable = msgspec.structs.replace(record, content=msgspec.Raw(b'{"x": 1}'))
        member.deliver(RecordFound(undecodable))
        assert member.view.current.number == 1
        assert member.task.holder.is_behind
        cell.clock.advance(TIMING.session_ttl_s)
        member.confirm(2)
        assert not member.task.is_fresh()

    # Guards against a configuration task that ends by the parser's error.
    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_odd_content_leaves_the_last_one_in_force(
        self, cell: Cell, odd: bytes
    ) -> None:
        member = cell.members[0]
        record = msgspec.structs.replace(make_record(2), content=msgspec.Raw(odd))
        with capture_logs() as logs:
            member.deliver(RecordFound(record))
            member.deliver(RecordFound(record))
        assert member.view.current.number == 1
        assert member.task.holder.is_behind
        lines = [each for each in logs if each["event"] == "configuration unreadable"]
        assert [each["key"] for each in lines] == ["number 2"]

    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_odd_record_of_a_peer_is_ignored(self, cell: Cell, odd: bytes) -> None:
        member = cell.members[0]
        future: Future[Any] = Future()
        future.set_result(ConfigurationContent(odd))
        member.task.post_fetch_result(future)
        member.process_inbox()
        assert member.view.current.number == 1

    @pytest.mark.parametrize(
        "content",
        [b"", b"{", b"null", encode_record(make_record(3))[:-2], b"\xff" * 100],
    )
    def test_malformed_reply_is_ignored(self, cell: Cell, content: bytes) -> None:
        member = cell.members[0]
        future: Future[Any] = Future()
        future.set_result(ConfigurationContent(content))
        member.task.post_fetch_result(future)
        member.process_inbox()
        assert member.view.current.number == 1

    def test_fetch_is_retried_after_a_timeout(self, cell: Cell) -> None:
        cell.peers.disconnected = set(NAMES)
        member = cell.members[2]
        cell.members[0].deliver(RecordFound(make_record(2, WITHDRAWN)))
        cell.members[1].deliver(RecordFound(make_record(2, WITHDRAWN)))
        member.confirm(2)
        cell.peers.disconnected = set()
        for _ in range(4):
            cell.clock.advance(0.5)
            member.process_inbox()
        assert member.view.current.number == ConfigurationNumber(2)


class TestReaders:
    def test_watch_survives_compaction(self) -> None:
        engine = StoreEngine(ManualClock())
        store = EngineStore(engine, waits=False)
        found: deque[ConfigurationMessage] = deque()

        def post(message: ConfigurationMessage) -> bool:
            found.append(message)
            return True

        metrics = InMemoryMetrics()
        watch = ConfigurationWatch(store, KEYS, post, metrics)
        watch.watch_once()
        for number in (1, 2):
            value = encode_record(make_record(number))
            engine.transact([], [PutKey(KEYS.head.encode(), value)])
        engine.compact(engine.revision)
        engine.transact([], [PutKey(KEYS.head.encode(), value)])

        def post_and_stop(message: ConfigurationMessage) -> bool:
            watch.stop()
            return post(message)

        watch.post = post_and_stop
        watch.run()
        assert found[-1] == RecordFound(make_record(2))
        assert metrics.snapshot()["configuration.watch.compacted"] == 1

    def test_poller_reads_the_head_that_a_stuck_watch_missed(self) -> None:
        clock = ManualClock()
        engine = StoreEngine(clock)
        store = EngineStore(engine, waits=False)
        value = encode_record(make_record(1))
        engine.transact(
            [],
            [PutKey(KEYS.head.encode(), value), PutKey(KEYS.number.encode(), b"1")],
        )
        found: list[ConfigurationMessage] = []

        def post(message: ConfigurationMessage) -> bool:
            found.append(message)
            return True

        confirmation = ConfigurationPoller(
            store, KEYS, clock, post, lambda: VersionNumber(0), InMemoryMetrics()
        )
        confirmation.poll_once()
        assert found == [
            RecordFound(make_record(1)),
            NumberRead(VersionNumber(1), clock.monotonic()),
        ]

    # Guards against readers that end by the parser's error, and members that don't
    # know that they are behind.
    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_odd_head_is_reported_and_its_number_read(self, odd: bytes) -> None:
        engine = StoreEngine(ManualClock())
        store = EngineStore(engine, waits=False)
        engine.transact(
            [], [PutKey(KEYS.head.encode(), odd), PutKey(KEYS.number.encode(), b"2")]
        )
        found: list[ConfigurationMessage] = []

        def post(message: ConfigurationMessage) -> bool:
            found.append(message)
            return True

        clock, metrics = ManualClock(), InMemoryMetrics()
        poller = ConfigurationPoller(
            store, KEYS, clock, post, lambda: VersionNumber(1), metrics
        )
        poller.poll_once()
        watch = ConfigurationWatch(store, KEYS, post, metrics)
        watch.watch_once()
        assert [type(each) for each in found] == [
            RecordUnreadable,
            NumberRead,
            RecordUnreadable,
        ]
