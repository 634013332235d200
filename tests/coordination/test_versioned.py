"""Tests of versioned values: publication, holders and followers."""

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import StoreCompactedError, StoreError
from gooseberrydeck_coordination.versioned import (
    HISTORY_LENGTH,
    NO_VERSION,
    Follower,
    OfferResult,
    Publication,
    PublicationConflictError,
    PublicationError,
    PublicationId,
    PublicationIdReusedError,
    PublicationNotMadeError,
    PublicationOutcomeUnknownError,
    Publisher,
    VersionedHolder,
    VersionedKeys,
    VersionedRecord,
    VersionNumber,
    decode_record,
    encode_record,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import PutKey, StoreEngine

KEYS = VersionedKeys("/c/head", "/c/number", "/c/history/")
TIMEOUT_S = 1.0


def make_record(number: int, content: bytes = b"1") -> VersionedRecord:
    return VersionedRecord(
        VersionNumber(number), PublicationId(f"p{number}"), msgspec.Raw(content)
    )


class Cell:
    """A store engine for several publishers, each with its own faults."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)

    def store(self) -> EngineStore:
        return EngineStore(self.engine, waits=False)

    def publisher(self, store: EngineStore | None = None) -> Publisher:
        return Publisher(
            store or self.store(), KEYS, self.clock, pause=self.clock.advance
        )

    def publish(
        self,
        id: str,
        base: int,
        content: bytes = b"1",
        store: EngineStore | None = None,
    ) -> VersionedRecord:
        publication = Publication(PublicationId(id), VersionNumber(base), content)
        return self.publisher(store).publish(publication, VersionedHolder(), TIMEOUT_S)

    def head(self) -> VersionedRecord:
        entry = self.store().read(KEYS.head, TIMEOUT_S)
        assert entry is not None
        return decode_record(entry.value)


@pytest.fixture
def cell() -> Cell:
    return Cell()


class TestPublisher:
    def test_head_number_and_history_are_written_together(self, cell: Cell) -> None:
        record = cell.publish("a", 0)
        store = cell.store()
        assert record.number == 1
        assert cell.head() == record
        number = store.read(KEYS.number, TIMEOUT_S)
        history = store.read(KEYS.history(record.number), TIMEOUT_S)
        assert number is not None
        assert history is not None
        assert number.value == b"1"
        assert decode_record(history.value) == record
        assert len({number.mod_revision, history.mod_revision}) == 1

    def test_losing_publisher_gets_a_conflict_with_both_records(
        self, cell: Cell
    ) -> None:
        first = cell.publish("a", 0, b"1")
        second = cell.publish("b", 1, b"2")
        with pytest.raises(PublicationConflictError) as caught:
            cell.publish("c", 1, b"3")
        assert caught.value.newest == second
        assert caught.value.base_record == first
        assert cell.head() == second

    def test_race_between_read_and_commit(self, cell: Cell) -> None:
        store = cell.store()
        commit = store.commit
        rival: list[Callable[[], object]] = [lambda: cell.publish("b", 0, b"2")]

        def late_commit(*args: object) -> object:
            if rival:
                rival.pop()()
            return commit(*args)  # type: ignore[arg-type]

        store.commit = late_commit  # type: ignore[method-assign,assignment]
        with pytest.raises(PublicationConflictError):
            cell.publish("a", 0, b"1", store)
        assert cell.head().publication == "b"

    @pytest.mark.parametrize(
        "faults",
        [
            [CallFault.NONE, CallFault.ANSWER_LOST],
            [CallFault.NONE, CallFault.REQUEST_LOST],
            [CallFault.NONE, CallFault.DOWN],
            [CallFault.DOWN, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST],
            [CallFault.NONE, CallFault.ANSWER_LOST, CallFault.DOWN],
            [CallFault.NONE, CallFault.REQUEST_LOST] * 3,
        ],
    )
    def test_fault_is_overcome_with_one_publication(
        self, cell: Cell, faults: list[CallFault]
    ) -> None:
        store = cell.store()
        store.next_faults.extend(faults)
        assert cell.publish("a", 0, b"1", store).number == 1
        assert cell.head().number == 1

    @pytest.mark.parametrize(
        ("faults", "later", "error"),
        [
            ([], CallFault.DOWN, PublicationNotMadeError),
            ([], CallFault.REQUEST_LOST, PublicationNotMadeError),
            (
                [CallFault.NONE, CallFault.ANSWER_LOST],
                CallFault.DOWN,
                PublicationOutcomeUnknownError,
            ),
            (
                [CallFault.NONE, CallFault.REQUEST_LOST],
                CallFault.DOWN,
                PublicationOutcomeUnknownError,
            ),
        ],
    )
    def test_lasting_fault_raises_by_its_possible_effect(
        self,
        cell: Cell,
        faults: list[CallFault],
        later: CallFault,
        error: type[PublicationError],
    ) -> None:
        store = cell.store()
        store.next_faults.extend(faults)
        store.fault = later
        with pytest.raises(error):
            cell.publish("a", 0, b"1", store)

    def test_repeating_a_publication_has_no_effect(self, cell: Cell) -> None:
        first = cell.publish("a", 0, b"1")
        assert cell.publish("a", 0, b"1") == first
        cell.publish("b", 1, b"2")
        assert cell.publish("a", 0, b"1") == first
        assert cell.head().publication == "b"

    def test_id_cannot_be_reused_for_other_content(self, cell: Cell) -> None:
        cell.publish("a", 0, b"1")
        with pytest.raises(PublicationIdReusedError):
            cell.publish("a", 0, b"2")

    def test_history_is_bounded_and_forgotten_outcomes_are_unknown(
        self, cell: Cell
    ) -> None:
        for number in range(HISTORY_LENGTH + 1):
            cell.publish(f"p{number}", number)
        kept = cell.store().read_prefix(KEYS.history_prefix, TIMEOUT_S).entries
        assert len(kept) == HISTORY_LENGTH
        with pytest.raises(PublicationOutcomeUnknownError):
            cell.publish("p0", 0)

    def test_restored_store_does_not_reuse_a_number(self, cell: Cell) -> None:
        cell.publish("a", 0)
        holder = VersionedHolder()
        holder.offer(make_record(7))
        stale = Publication(PublicationId("b"), VersionNumber(1), b"2")
        with pytest.raises(PublicationConflictError):
            cell.publisher().publish(stale, holder, TIMEOUT_S)
        newer = Publication(PublicationId("c"), VersionNumber(7), b"2")
        record = cell.publisher().publish(newer, holder, TIMEOUT_S)
        assert record.number == 8


class TestHolder:
    @pytest.mark.parametrize(
        ("record", "result", "number"),
        [
            (make_record(6), OfferResult.NEWER, 6),
            (make_record(5), OfferResult.SAME, 5),
            (make_record(5, b"2"), OfferResult.CONFLICT, 5),
            (make_record(4), OfferResult.OLDER, 5),
        ],
    )
    def test_offer(
        self, record: VersionedRecord, result: OfferResult, number: int
    ) -> None:
        holder = VersionedHolder()
        held = make_record(5)
        holder.offer(held)
        assert holder.offer(record) is result
        assert holder.number == number
        assert (holder.record == held) is (result is not OfferResult.NEWER)
        assert (holder.conflict is not None) is (result is OfferResult.CONFLICT)

    def test_newer_version_ends_a_conflict(self) -> None:
        holder = VersionedHolder()
        for record in (make_record(5), make_record(5, b"2"), make_record(6)):
            holder.offer(record)
        assert holder.conflict is None

    def test_is_behind_until_the_observed_number_is_held(self) -> None:
        holder = VersionedHolder()
        holder.observe_number(VersionNumber(3))
        assert holder.is_behind
        holder.offer(make_record(3))
        assert not holder.is_behind


class TestFollower:
    def test_compaction_asks_for_a_read(self, cell: Cell) -> None:
        holder = VersionedHolder()
        follower = Follower(holder.offer, KEYS.head)
        follow(cell.store(), follower)
        for number in range(3):
            cell.publish(f"p{number}", number)
        cell.engine.compact(cell.engine.revision)
        follow(cell.store(), follower)
        assert follower.start is None
        follow(cell.store(), follower)
        assert holder.number == 3

    def test_deleted_and_undecodable_heads_change_nothing(self, cell: Cell) -> None:
        holder = VersionedHolder()
        follower = Follower(holder.offer, KEYS.head)
        cell.publish("a", 0)
        follow(cell.store(), follower)
        cell.engine.transact([], [PutKey(KEYS.head.encode(), b"{}")])
        follow(cell.store(), follower)
        assert (holder.number, follower.undecodable) == (1, 1)


def follow(store: EngineStore, follower: Follower) -> None:
    """Read or watch the head once, as a controller does."""
    if follower.start is None:
        follower.on_read(store.read_prefix(follower.head, TIMEOUT_S))
        return
    try:
        for batch in store.watch(follower.head, follower.start, TIMEOUT_S):
            follower.on_batch(batch)
    except StoreCompactedError:
        follower.on_compacted()


MEMBERS = 3
MEMBER = st.integers(0, MEMBERS - 1)


class VersionedMachine(RuleBasedStateMachine):
    """Members follow a faulty store and exchange records in any order."""

    @initialize()
    def start(self) -> None:
        self.cell = Cell()
        self.stores = [self.cell.store() for _ in range(MEMBERS)]
        self.holders = [VersionedHolder() for _ in range(MEMBERS)]
        self.followers = [Follower(each.offer, KEYS.head) for each in self.holders]
        self.floors = [NO_VERSION] * MEMBERS
        self.messages: list[bytes] = []
        self.unsettled: dict[str, Publication] = {}
        self.accepted: dict[str, VersionedRecord] = {}
        self.refused: set[str] = set()
        self.count = 0

    def publish(self, member: int, publication: Publication) -> None:
        publisher = self.cell.publisher(self.stores[member])
        holder = self.holders[member]
        try:
            record = publisher.publish(publication, holder, TIMEOUT_S)
        except PublicationOutcomeUnknownError:
            self.unsettled[publication.id] = publication
        except (PublicationConflictError, PublicationNotMadeError) as error:
            if isinstance(error, PublicationConflictError):
                self.unsettled.pop(publication.id, None)
                self.refused.add(publication.id)
        else:
            self.unsettled.pop(publication.id, None)
            self.accepted[publication.id] = record

    @rule(member=MEMBER, faults=st.lists(st.sampled_from(CallFault), max_size=4))
    def publish_new(self, member: int, faults: list[CallFault]) -> None:
        self.count += 1
        self.stores[member].next_faults.extend(faults)
        base = self.holders[member].number
        content = str(self.count).encode()
        id = PublicationId(f"p{self.count}")
        self.publish(member, Publication(id, base, content))

    @precondition(lambda self: self.unsettled)
    @rule(member=MEMBER)
    def publish_again(self, member: int) -> None:
        self.publish(member, next(iter(self.unsettled.values())))

    @rule(member=MEMBER, fault=st.sampled_from(CallFault))
    def break_store(self, member: int, fault: CallFault) -> None:
        self.stores[member].fault = fault

    @rule(member=MEMBER)
    def follow_store(self, member: int) -> None:
        try:
            follow(self.stores[member], self.followers[member])
        except StoreError:
            pass
        finally:
            self.stores[member].next_faults.clear()

    @rule()
    def compact(self) -> None:
        self.cell.engine.compact(self.cell.engine.revision)

    @rule(member=MEMBER)
    def send(self, member: int) -> None:
        record = self.holders[member].record
        if record is not None:
            self.messages.append(encode_record(record))

    @precondition(lambda self: self.messages)
    @rule(member=MEMBER, data=st.data())
    def deliver(self, member: int, data: st.DataObject) -> None:
        message = data.draw(st.sampled_from(self.messages))
        self.holders[member].offer(decode_record(message))

    @rule(member=MEMBER)
    def replace_member(self, member: int) -> None:
        self.holders[member] = VersionedHolder()
        self.followers[member] = Follower(self.holders[member].offer, KEYS.head)
        self.floors[member] = NO_VERSION

    @invariant()
    def numbers_never_go_back(self) -> None:
        for member, holder in enumerate(self.holders):
            assert holder.number >= self.floors[member]
            assert holder.conflict is None
            self.floors[member] = holder.number

    @invariant()
    def an_accepted_publication_is_kept_under_its_number(self) -> None:
        store = self.cell.store()
        for record in self.accepted.values():
            entry = store.read(KEYS.history(record.number), TIMEOUT_S)
            assert entry is not None
            assert decode_record(entry.value) == record

    @invariant()
    def a_refused_publication_is_in_no_history(self) -> None:
        entries = self.cell.store().read_prefix(KEYS.history_prefix, TIMEOUT_S).entries
        made = {decode_record(entry.value).publication for entry in entries}
        assert not made & self.refused

    def teardown(self) -> None:
        """End all faults and check that every member holds the head."""
        if not hasattr(self, "cell") or not self.accepted:
            return
        for store, follower in zip(self.stores, self.followers, strict=True):
            store.fault = CallFault.NONE
            store.next_faults.clear()
            follow(store, follower)
            follow(store, follower)
        for holder in self.holders:
            assert holder.record == self.cell.head()


TestVersionedMachine = VersionedMachine.TestCase
TestVersionedMachine.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)
