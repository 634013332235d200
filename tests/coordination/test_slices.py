"""Tests of team limits that are divided into slices."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    Revision,
    ShardId,
    TeamName,
)
from gooseberrydeck_coordination.slices import (
    SliceController,
    SliceLedger,
    SliceOffer,
    SliceRecord,
    TeamLimit,
    rewrite_for_limit,
    split_evenly,
)
from gooseberrydeck_coordination.slices.controller import MoveOutcome
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TEAM = TeamName("redaccion")
SHARDS = [ShardId(number) for number in range(4)]
PREFIX = "/cell/slices/"
RAISE_DELAY_S = 10.0
FRESHNESS_S = 8.0
OWNERS = range(2)
MOST_UNITS = 40
LIMITS = st.sampled_from([0, 4, 10, MOST_UNITS])
FAULTS = [CallFault.DOWN, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST]


def shard_key(shard: ShardId) -> str:
    return f"/cell/shards/{shard}"


def limit_of(units: int, number: int) -> TeamLimit:
    return TeamLimit(TEAM, units, ConfigurationNumber(number))


class Owner:
    """A member with its own ledger and controller on a shared store engine."""

    def __init__(self, engine: StoreEngine, clock: ManualClock) -> None:
        self.store = EngineStore(engine, waits=False)
        self.ledger = SliceLedger()
        self.seen_at_s = clock.monotonic()
        self.controller = SliceController(
            self.store, clock, self.ledger, SHARDS, PREFIX, shard_key, RAISE_DELAY_S
        )

    def claim(self, shard: ShardId, running: int) -> Revision:
        put = Put(shard_key(shard), b"owner")
        claimed = self.store.commit(Transaction((), (put,)), 1.0).revision
        self.controller.take_shard(shard, claimed, {TEAM: running})
        return claimed

    def apply_limit(self, limit: TeamLimit) -> None:
        self.ledger.set_limits(limit.configuration_number, [limit])


class TestSliceRecord:
    @given(st.integers(0, 500), st.integers(0, 500), st.integers(1, 40))
    def test_sum_never_exceeds_the_limit(self, old: int, new: int, shards: int) -> None:
        all_shards = [ShardId(number) for number in range(shards)]
        first = split_evenly(limit_of(old, 1), all_shards)
        second = rewrite_for_limit(first, limit_of(new, 2))
        assert sum(first.units.values()) == old
        assert sum(second.units.values()) <= new

    @given(st.lists(st.integers(0, 50), min_size=1, max_size=8), st.integers(0, 400))
    def test_lower_limit_raises_no_slice(self, units: list[int], new: int) -> None:
        slices = {ShardId(number): count for number, count in enumerate(units)}
        old = sum(units)
        record = SliceRecord(TEAM, old, ConfigurationNumber(1), slices)
        lowered = rewrite_for_limit(record, limit_of(min(old, new), 2))
        assert all(lowered.units[shard] <= slices[shard] for shard in slices)
        assert sum(lowered.units.values()) == min(old, new)


class TestSliceMoves:
    def two_owners(self) -> tuple[Owner, Owner, Revision]:
        clock = ManualClock()
        engine = StoreEngine(clock)
        donor, asker = Owner(engine, clock), Owner(engine, clock)
        for owner in (donor, asker):
            owner.apply_limit(limit_of(40, 1))
        donor.controller.write_limits()
        for shard in SHARDS[1:]:
            donor.claim(shard, 0)
        claimed = asker.claim(SHARDS[0], 0)
        return donor, asker, claimed

    def offers(self, donor: Owner, asker: Owner) -> list[SliceOffer]:
        requests = asker.controller.requests_for(TEAM, SHARDS[0], 40)
        answers = [donor.ledger.offer(request) for request in requests]
        return [answer for answer in answers if answer is not None]

    def test_one_transaction_makes_the_whole_limit_usable(self) -> None:
        donor, asker, claimed = self.two_owners()
        offers = self.offers(donor, asker)
        outcome = asker.controller.accept_offers(SHARDS[0], claimed, offers)
        assert outcome is MoveOutcome.MOVED
        assert asker.ledger.allowance(TEAM, SHARDS[0]) == 40
        assert all(donor.ledger.allowance(TEAM, shard) == 0 for shard in SHARDS[1:])

    def test_donor_admits_nothing_on_offered_units(self) -> None:
        donor, asker, _ = self.two_owners()
        self.offers(donor, asker)
        assert not donor.ledger.try_admit(TEAM, SHARDS[1])

    def test_donor_gets_units_back_once_the_offer_is_void(self) -> None:
        donor, asker, claimed = self.two_owners()
        self.offers(donor, asker)
        donor.apply_limit(limit_of(41, 2))
        donor.controller.lowered_at_s.clear()
        donor.controller.write_limits()
        assert donor.ledger.try_admit(TEAM, SHARDS[1])
        stale = SliceOffer(TEAM, SHARDS[1], SHARDS[0], 10, Revision(1), Revision(1))
        outcome = asker.controller.accept_offers(SHARDS[0], claimed, [stale])
        assert outcome is MoveOutcome.OUTDATED

    def test_offer_of_a_former_owner_moves_nothing(self) -> None:
        donor, asker, claimed = self.two_owners()
        offers = self.offers(donor, asker)
        asker.claim(SHARDS[1], 10)
        outcome = asker.controller.accept_offers(SHARDS[0], claimed, offers)
        assert outcome is MoveOutcome.OUTDATED
        assert asker.ledger.allowance(TEAM, SHARDS[1]) == 10

    @pytest.mark.parametrize(
        ("fault", "expected", "allowance"),
        [
            (CallFault.DOWN, MoveOutcome.STORE_OUT, 10),
            (CallFault.REQUEST_LOST, MoveOutcome.OUTDATED, 10),
            (CallFault.ANSWER_LOST, MoveOutcome.MOVED, 40),
        ],
    )
    def test_fault_of_the_store(
        self, fault: CallFault, expected: MoveOutcome, allowance: int
    ) -> None:
        donor, asker, claimed = self.two_owners()
        offers = self.offers(donor, asker)
        asker.store.next_faults.append(fault)
        outcome = asker.controller.accept_offers(SHARDS[0], claimed, offers)
        assert outcome is expected
        assert asker.ledger.allowance(TEAM, SHARDS[0]) == allowance

    def test_lower_limit_is_in_force_before_the_record_is_rewritten(self) -> None:
        donor, _, _ = self.two_owners()
        donor.apply_limit(limit_of(20, 2))
        assert donor.ledger.allowance(TEAM, SHARDS[1]) == 5

    def test_gap_in_the_configurations_admits_nothing_until_read_again(self) -> None:
        donor, _, _ = self.two_owners()
        donor.apply_limit(limit_of(40, 3))
        assert donor.ledger.allowance(TEAM, SHARDS[1]) == 0
        donor.controller.refresh_all()
        assert donor.ledger.allowance(TEAM, SHARDS[1]) == 10

    def test_lowered_record_is_not_raised_before_all_have_seen_it(self) -> None:
        donor, _, _ = self.two_owners()
        clock = donor.controller.clock
        assert isinstance(clock, ManualClock)
        donor.apply_limit(limit_of(4, 2))
        donor.controller.write_limits()
        donor.apply_limit(limit_of(40, 3))
        donor.controller.write_limits()
        assert donor.ledger.stored[TEAM].record.limit == 4
        clock.advance(RAISE_DELAY_S + 0.1)
        donor.controller.write_limits()
        assert donor.ledger.stored[TEAM].record.limit == 40


class TestStaleRecords:
    def uneven_owners(self) -> tuple[Owner, Owner, ManualClock]:
        """Return two owners and their clock.

        The first owns shard 1 with 30 of 40 units, the second the other shards.
        """
        clock = ManualClock()
        engine = StoreEngine(clock)
        holder, other = Owner(engine, clock), Owner(engine, clock)
        for owner in (holder, other):
            owner.apply_limit(limit_of(40, 1))
        other.controller.write_limits()
        claimed = holder.claim(SHARDS[1], 0)
        for shard in (SHARDS[0], SHARDS[2], SHARDS[3]):
            other.claim(shard, 0)
        requests = holder.controller.requests_for(TEAM, SHARDS[1], 20)
        offers = [other.ledger.offer(request) for request in requests[:2]]
        holder.controller.accept_offers(
            SHARDS[1], claimed, [offer for offer in offers if offer is not None]
        )
        other.controller.refresh_all()
        return holder, other, clock

    def allowed(self, holder: Owner, other: Owner) -> int:
        others = (SHARDS[0], SHARDS[2], SHARDS[3])
        return holder.ledger.allowance(TEAM, SHARDS[1]) + sum(
            other.ledger.allowance(TEAM, shard) for shard in others
        )

    def test_member_with_an_old_record_keeps_to_the_lowest_limit_seen(self) -> None:
        holder, other, clock = self.uneven_owners()
        for limit in (limit_of(4, 2), limit_of(40, 3)):
            for owner in (holder, other):
                owner.apply_limit(limit)
            other.controller.write_limits()
            clock.advance(RAISE_DELAY_S + 0.1)
            other.controller.write_limits()
        assert other.ledger.stored[TEAM].record.limit == 40
        assert self.allowed(holder, other) <= 40

    def test_member_that_missed_a_limit_does_not_trust_its_old_record(self) -> None:
        holder, other, clock = self.uneven_owners()
        other.apply_limit(limit_of(4, 2))
        other.controller.write_limits()
        clock.advance(RAISE_DELAY_S + 0.1)
        for owner in (holder, other):
            owner.apply_limit(limit_of(40, 3))
        other.controller.write_limits()
        assert other.ledger.stored[TEAM].record.limit == 40
        assert self.allowed(holder, other) <= 40

    def test_new_owner_sees_every_move_of_the_former_one(self) -> None:
        holder, other, _ = self.uneven_owners()
        newcomer = Owner(other.store.engine, ManualClock())
        newcomer.apply_limit(limit_of(40, 1))
        newcomer.controller.refresh_all()
        request = newcomer.controller.requests_for(TEAM, SHARDS[2], 30)[0]
        claimed = other.claim(SHARDS[2], 0)
        offer = holder.ledger.offer(request)
        assert offer is not None
        outcome = other.controller.accept_offers(SHARDS[2], claimed, [offer])
        assert outcome is MoveOutcome.MOVED
        newcomer.claim(SHARDS[1], 0)
        assert newcomer.ledger.allowance(TEAM, SHARDS[1]) == 0

    def test_units_are_offered_once_for_one_revision(self) -> None:
        holder, other, _ = self.uneven_owners()
        request = other.controller.requests_for(TEAM, SHARDS[0], 5)[0]
        assert holder.ledger.offer(request) is not None
        assert holder.ledger.offer(request) is None


class SliceMachine(RuleBasedStateMachine):
    """Members that receive limits, records and offers late, twice or not at all."""

    @initialize(limit=LIMITS)
    def start(self, limit: int) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.owners = [Owner(self.engine, self.clock) for _ in OWNERS]
        self.published = [(limit_of(limit, 1), self.clock.monotonic())]
        self.seen = [0 for _ in OWNERS]
        self.offers: list[SliceOffer] = []
        self.running = dict.fromkeys(SHARDS, 0)
        self.claimed: dict[ShardId, Revision] = {}
        self.owner_of: dict[ShardId, int] = {}
        for number in OWNERS:
            self.owners[number].apply_limit(self.published[0][0])
        self.owners[0].controller.write_limits()
        for shard in SHARDS:
            self.claim(shard, shard % len(OWNERS))

    def claim(self, shard: ShardId, number: int) -> None:
        former = self.owner_of.get(shard)
        if former is not None:
            self.owners[former].ledger.remove_shard(shard)
        self.claimed[shard] = self.owners[number].claim(shard, self.running[shard])
        self.owner_of[shard] = number

    def catch_up(self, number: int) -> None:
        limit, _ = self.published[-1]
        self.owners[number].apply_limit(limit)
        self.seen[number] = len(self.published) - 1

    @rule(number=st.sampled_from(OWNERS))
    def see_next_limit(self, number: int) -> None:
        self.seen[number] = min(self.seen[number] + 1, len(self.published) - 1)
        self.owners[number].apply_limit(self.published[self.seen[number]][0])

    @rule(number=st.sampled_from(OWNERS))
    def see_newest_limit(self, number: int) -> None:
        self.catch_up(number)

    @rule(units=LIMITS)
    def publish_limit(self, units: int) -> None:
        limit = limit_of(units, len(self.published) + 1)
        self.published.append((limit, self.clock.monotonic()))

    @rule(seconds=st.sampled_from([1.0, 5.0, 11.0]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for number in OWNERS:
            if self.is_stale(number):
                self.catch_up(number)

    def is_stale(self, number: int) -> bool:
        """Return True if a member lost its authority because it missed a change."""
        unseen = self.published[self.seen[number] + 1 :]
        now_s = self.clock.monotonic()
        return any(now_s - at_s > FRESHNESS_S for _, at_s in unseen)

    @rule(number=st.sampled_from(OWNERS), fault=st.sampled_from([None, *FAULTS]))
    def write_limits(self, number: int, fault: CallFault | None) -> None:
        if fault is not None:
            self.owners[number].store.next_faults.append(fault)
        self.owners[number].controller.write_limits()
        self.owners[number].store.next_faults.clear()

    @rule(number=st.sampled_from(OWNERS))
    def refresh(self, number: int) -> None:
        self.owners[number].controller.refresh_all()

    @rule(shard=st.sampled_from(SHARDS), number=st.sampled_from(OWNERS))
    def move_shard(self, shard: ShardId, number: int) -> None:
        self.claim(shard, number)

    @rule(shard=st.sampled_from(SHARDS), units=st.sampled_from([1, MOST_UNITS // 4]))
    def admit(self, shard: ShardId, units: int) -> None:
        ledger = self.owners[self.owner_of[shard]].ledger
        if ledger.try_admit(TEAM, shard, units):
            self.running[shard] += units

    @rule(shard=st.sampled_from(SHARDS), units=st.sampled_from([1, MOST_UNITS // 4]))
    def end(self, shard: ShardId, units: int) -> None:
        ended = min(units, self.running[shard])
        self.owners[self.owner_of[shard]].ledger.release(TEAM, shard, ended)
        self.running[shard] -= ended

    @rule(recipient=st.sampled_from(SHARDS))
    def request(self, recipient: ShardId) -> None:
        asker = self.owners[self.owner_of[recipient]].controller
        for each in asker.requests_for(TEAM, recipient, MOST_UNITS):
            offer = self.owners[self.owner_of[each.donor]].ledger.offer(each)
            if offer is not None:
                self.offers.append(offer)

    @rule(recipient=st.sampled_from(SHARDS), fault=st.sampled_from([None, *FAULTS]))
    def accept(self, recipient: ShardId, fault: CallFault | None) -> None:
        offers = [offer for offer in self.offers if offer.recipient == recipient]
        if not offers:
            return
        owner = self.owners[self.owner_of[recipient]]
        if fault is not None:
            owner.store.next_faults.append(fault)
        owner.controller.accept_offers(recipient, self.claimed[recipient], offers)
        owner.store.next_faults.clear()

    @invariant()
    def stored_slices_keep_the_limit(self) -> None:
        if not hasattr(self, "engine"):
            return
        entry = EngineStore(self.engine).read(PREFIX + TEAM, 1.0)
        if entry is not None:
            record = msgspec.json.decode(entry.value, type=SliceRecord)
            assert sum(record.units.values()) <= record.limit
            assert all(units >= 0 for units in record.units.values())

    @invariant()
    def allowances_keep_the_highest_limit_still_in_force(self) -> None:
        if not hasattr(self, "engine"):
            return
        oldest = min(self.seen)
        highest = max(limit.limit for limit, _ in self.published[oldest:])
        allowed = sum(
            max(0, self.owners[number].ledger.allowance(TEAM, shard))
            for shard, number in self.owner_of.items()
        )
        assert allowed <= highest


class TestSliceMachine:
    def test_limit_holds_after_every_step(self) -> None:
        run_state_machine_as_test(
            SliceMachine, settings=settings(max_examples=250, stateful_step_count=60)
        )
