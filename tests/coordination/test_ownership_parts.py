"""Unit tests of sessions, claims, attestation, adoption and assignments."""

from collections import Counter
from collections.abc import Callable

import msgspec
import pytest

from coordination.ownership_fakes import KEYS, RATES, TIMING
from gooseberrydeck_coordination import (
    AdoptionState,
    AssignmentTable,
    AttestationAnswer,
    Coordinator,
    HostSpecification,
    ManualClock,
    MemberNameTakenError,
    MemberRecord,
    Quarantine,
    RosterRecord,
    RoundPlan,
    RoundResult,
    Seat,
    Session,
    ShardEpoch,
    StoreRounds,
    Timing,
    WorkerAdoption,
    assign_hosts,
)
from gooseberrydeck_coordination.exceptions import StoreOutcomeUnknownError
from gooseberrydeck_coordination.ids import (
    DataCentre,
    Epoch,
    HostName,
    MemberId,
    Rack,
    ShardId,
    StoreLeaseId,
)
from gooseberrydeck_coordination.shards import claimed_record, released_record
from gooseberrydeck_coordination.snapshots import read_snapshot
from gooseberrydeck_coordination.store import Transaction, TransactionResult
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

SHARD = ShardId(0)


def make_record(name: str = "m0", run: str = "a") -> MemberRecord:
    return MemberRecord(MemberId(name), run, "127.0.0.1", 1, DataCentre("lima"))


class SlowStore(EngineStore):
    """A store whose keep-alives return ``delay_s`` after they took effect."""

    delay_s = 0.0

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> int:
        assert isinstance(self.engine.clock, ManualClock)
        ttl_s = super().keep_lease_alive(lease, timeout_s)
        self.engine.clock.advance(self.delay_s)
        return ttl_s


class RacingStore(EngineStore):
    """A store that calls ``race`` just before the next transaction."""

    race: Callable[[], None] | None = None

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        race, self.race = self.race, None
        if race is not None:
            race()
        return super().commit(transaction, timeout_s)


def make_rounds(store: EngineStore, clock: ManualClock, name: str) -> StoreRounds:
    timing = Timing(cold_start_s=0.0)
    return StoreRounds(store, KEYS, make_record(name), 1, clock, timing)


class TestSession:
    def test_expires_relative_to_the_send_time(self) -> None:
        clock = ManualClock()
        store = SlowStore(StoreEngine(clock))
        session = Session(store, KEYS, make_record(), clock, TIMING)
        session.renew_or_open()
        store.delay_s = TIMING.session_ttl_s - 1.0
        session.renew_or_open()
        assert session.is_live
        clock.advance(1.0)
        assert not session.is_live

    @pytest.mark.parametrize("member_rate", RATES)
    @pytest.mark.parametrize("store_rate", RATES)
    def test_ends_before_its_lease_whatever_the_drift(
        self, member_rate: float, store_rate: float
    ) -> None:
        timing = Timing(session_ttl_s=1_000)
        clock, store_clock = ManualClock(rate=member_rate), ManualClock(rate=store_rate)
        store = EngineStore(StoreEngine(store_clock))
        session = Session(store, KEYS, make_record(), clock, timing)
        session.renew_or_open()
        while session.is_live:
            assert store.read(KEYS.member(MemberId("m0")), 1.0) is not None
            clock.advance(1.0)
            store_clock.advance(1.0)

    def test_opening_whose_answer_was_lost_is_found_again(self) -> None:
        clock = ManualClock()
        store = EngineStore(StoreEngine(clock))
        session = Session(store, KEYS, make_record(), clock, TIMING)
        store.next_faults.extend(
            (CallFault.NONE, CallFault.NONE, CallFault.ANSWER_LOST)
        )
        with pytest.raises(StoreOutcomeUnknownError):
            session.renew_or_open()
        assert not session.is_live
        session.renew_or_open()
        assert session.is_live
        assert len(store.engine.leases) == 1

    def test_name_of_a_live_run_is_refused(self) -> None:
        clock = ManualClock()
        store = EngineStore(StoreEngine(clock))
        Session(store, KEYS, make_record(run="a"), clock, TIMING).renew_or_open()
        restarted = Session(store, KEYS, make_record(run="b"), clock, TIMING)
        with pytest.raises(MemberNameTakenError):
            restarted.renew_or_open()
        clock.advance(TIMING.session_ttl_s + 1)
        restarted.renew_or_open()
        assert restarted.is_live


class TestClaim:
    def test_fails_if_the_owner_came_back_meanwhile(self) -> None:
        clock = ManualClock()
        engine = StoreEngine(clock)
        owner = make_rounds(EngineStore(engine), clock, "m0")
        owner.run(RoundPlan())
        store = RacingStore(engine)
        other = make_rounds(store, clock, "m1")
        other.run(RoundPlan())
        clock.advance(TIMING.session_ttl_s + 1)
        other.run(RoundPlan())
        other.balance.claims_from_s = 0.0
        store.race = lambda: owner.session.renew_or_open()
        result = other.run(RoundPlan())
        assert result.snapshot is not None
        assert result.snapshot.shards[SHARD].owner == make_record("m0").seat
        assert read_snapshot(store, KEYS, 1.0).epochs() == {SHARD: 1}

    def test_fails_if_the_claimer_has_lost_its_session_meanwhile(self) -> None:
        clock = ManualClock()
        store = RacingStore(StoreEngine(clock))
        mine = make_rounds(store, clock, "m0")
        mine.balance.shard_count = 0
        mine.run(RoundPlan())
        mine.balance.shard_count = 1
        store.race = lambda: store.engine.revoke_lease(mine.session.lease or 0)
        mine.run(RoundPlan())
        assert read_snapshot(store, KEYS, 1.0).shards == {}

    @pytest.mark.parametrize(
        ("is_released", "is_settled", "follows_clean", "wait_s"),
        [
            (False, False, False, 30.0),
            (True, False, False, 30.0),
            (True, True, True, 20.0),
        ],
    )
    def test_waits_for_every_owner_since_the_last_settled_release(
        self, is_released: bool, is_settled: bool, follows_clean: bool, wait_s: float
    ) -> None:
        seat = make_record().seat
        first = claimed_record(None, seat, Timing(task_lease_s=30.0))
        second = claimed_record(first, seat, Timing(task_lease_s=20.0))
        if is_released:
            second = released_record(second, is_settled)
        third = claimed_record(second, seat, Timing(task_lease_s=10.0))
        assert third.epoch == 3
        assert third.follows_clean is follows_clean
        assert third.wait_task_lease_s == wait_s

    def test_claim_whose_answer_was_lost_is_found_by_reading(self) -> None:
        clock = ManualClock()
        store = EngineStore(StoreEngine(clock))
        coordinator = Coordinator(make_record(), clock, TIMING)
        mine = make_rounds(store, clock, "m0")
        calls_before_the_claim = 8
        store.next_faults.extend([CallFault.NONE] * calls_before_the_claim)
        store.next_faults.append(CallFault.ANSWER_LOST)
        coordinator.apply_round(mine.run(coordinator.plan_round()))
        assert not store.next_faults
        assert not coordinator.claimed_shards
        assert read_snapshot(store, KEYS, 1.0).epochs() == {SHARD: 1}
        coordinator.apply_round(mine.run(coordinator.plan_round()))
        assert coordinator.claimed_shards[SHARD].epoch == 1
        assert read_snapshot(store, KEYS, 1.0).epochs() == {SHARD: 1}

    def test_reopened_session_counts_only_once_the_shards_were_read(self) -> None:
        clock = ManualClock()
        store = EngineStore(StoreEngine(clock))
        coordinator = Coordinator(make_record(), clock, TIMING)
        mine = make_rounds(store, clock, "m0")
        coordinator.apply_round(mine.run(coordinator.plan_round()))
        assert coordinator.view().may_act(SHARD)
        clock.advance(TIMING.session_ttl_s + 1)
        reopened = RoundResult(StoreLeaseId(77), clock.monotonic(), None)
        coordinator.apply_round(reopened)
        assert coordinator.authority.session_sent_s < clock.monotonic()


class TestAttestation:
    def answer(self, **changes: object) -> AttestationAnswer:
        fields = {
            "answerer": Seat(MemberId("m1"), "a"),
            "asker": make_record().seat,
            "number": 1,
            "attests": True,
            "roster_version": 1,
        }
        return AttestationAnswer(**{**fields, **changes})  # type: ignore[arg-type]

    def owner(self) -> Coordinator:
        """Return an owner that lost the store and has sent its only peer a request."""
        clock = ManualClock()
        coordinator = Coordinator(make_record(), clock, TIMING)
        mine = make_rounds(EngineStore(StoreEngine(clock)), clock, "m0")
        coordinator.apply_round(mine.run(coordinator.plan_round()))
        seats = (make_record().seat, Seat(MemberId("m1"), "a"))
        coordinator.attestor.roster = RosterRecord(1, seats)
        clock.advance(TIMING.session_ttl_s)
        assert not coordinator.view().may_act(SHARD)
        coordinator.attestation_requests()
        return coordinator

    @pytest.mark.parametrize(
        ("changes", "may_act"),
        [
            ({}, True),
            ({"attests": False}, False),
            ({"number": 2}, False),
            ({"asker": Seat(MemberId("m0"), "earlier")}, False),
            ({"answerer": Seat(MemberId("m2"), "a")}, False),
            ({"answerer": Seat(MemberId("m1"), "restarted")}, False),
            ({"newer": (ShardEpoch(SHARD, Epoch(2)),)}, False),
        ],
    )
    def test_only_a_seated_peer_that_knows_nothing_newer_supports(
        self, changes: dict[str, object], may_act: bool
    ) -> None:
        coordinator = self.owner()
        coordinator.on_answer(self.answer(**changes))
        assert coordinator.view().may_act(SHARD) is may_act

    def test_late_answer_counts_from_when_it_was_asked_for(self) -> None:
        coordinator = self.owner()
        assert isinstance(coordinator.clock, ManualClock)
        coordinator.clock.advance(TIMING.session_ttl_s - 1.0)
        coordinator.on_answer(self.answer())
        assert coordinator.view().may_act(SHARD)
        coordinator.clock.advance(1.0)
        assert not coordinator.view().may_act(SHARD)

    def test_restarted_member_attests_nothing_before_it_has_read_the_store(
        self,
    ) -> None:
        clock = ManualClock()
        restarted = Coordinator(make_record("m1", "b"), clock, TIMING)
        request = self.owner().attestation_requests()[0].request
        assert not restarted.on_request(request).attests
        mine = StoreRounds(
            EngineStore(StoreEngine(clock)), KEYS, restarted.record, 1, clock, TIMING
        )
        restarted.apply_round(mine.run(restarted.plan_round()))
        restarted.apply_round(mine.run(restarted.plan_round()))
        assert restarted.on_request(request).attests

    def test_configuration_is_fresh_by_the_same_rule(self) -> None:
        coordinator = self.owner()
        authority, now_s = coordinator.authority, coordinator.clock.monotonic()
        long_ago_s = now_s - TIMING.session_ttl_s
        assert authority.configuration_deadline_s(3, long_ago_s) <= now_s
        coordinator.on_answer(self.answer(configuration=3))
        assert authority.configuration_deadline_s(3, long_ago_s) > now_s
        assert authority.configuration_deadline_s(2, long_ago_s) <= now_s


class TestAdoption:
    def adoption(self, **changes: object) -> tuple[WorkerAdoption, ManualClock]:
        clock = ManualClock()
        quarantine = Quarantine(
            TIMING, clock.monotonic(), session_ttl_s=5.0, task_lease_s=10.0
        )
        quarantine = msgspec.structs.replace(quarantine, **changes)
        return WorkerAdoption(HostName("w0"), quarantine, clock), clock

    def test_fenced_worker_is_adopted_at_once(self) -> None:
        adoption, clock = self.adoption()
        adoption.begin_adopting()
        assert adoption.record_answer(clock.monotonic(), has_fencing=True)
        assert adoption.may_start

    def test_unfenced_worker_is_adopted_after_the_old_owner_stopped(self) -> None:
        adoption, clock = self.adoption(quorum_blocked_s=1_000.0)
        adoption.begin_adopting()
        assert not adoption.record_answer(clock.monotonic(), has_fencing=False)
        clock.advance(TIMING.lengthen_for_drift(5.0 + TIMING.call_effect_limit_s))
        assert adoption.needs_adopting
        assert adoption.record_answer(clock.monotonic(), has_fencing=False)

    @pytest.mark.parametrize("rate", RATES)
    @pytest.mark.parametrize("worker_rate", RATES)
    def test_quarantine_outlasts_every_lease(
        self, rate: float, worker_rate: float
    ) -> None:
        """Trace the lease of the last renewal that the old owner can have sent."""
        timing = Timing(task_lease_s=1_000.0, session_ttl_s=1_000)
        clock, worker, old = (ManualClock(0.0, r) for r in (rate, worker_rate, 1.0))
        adoption = WorkerAdoption(
            HostName("w0"),
            Quarantine(timing, 0.0, 0.0, session_ttl_s=1_000.0, task_lease_s=1_000.0),
            clock,
        )
        adoption.record_no_answer()
        authority_s = timing.shorten_for_drift(timing.session_ttl_s)
        last_effect_s = authority_s + timing.call_effect_limit_s
        lease_from_s: float | None = None
        while not adoption.may_replace_tasks:
            for each in (clock, worker, old):
                each.advance(1.0)
            if lease_from_s is None and old.monotonic() >= last_effect_s:
                lease_from_s = worker.monotonic()
        assert lease_from_s is not None
        assert worker.monotonic() >= lease_from_s + timing.task_lease_s

    def test_list_is_not_exact_after_an_unanswered_start(self) -> None:
        adoption, clock = self.adoption(has_predecessor=False)
        adoption.begin_adopting()
        adoption.record_answer(clock.monotonic(), has_fencing=True)
        adoption.record_grant_sent()
        adoption.record_no_answer()
        assert not adoption.record_answer(clock.monotonic(), has_fencing=True)
        clock.advance(TIMING.call_effect_limit_s + 1.0)
        assert adoption.record_answer(clock.monotonic(), has_fencing=True)

    def test_superseded_worker_gets_no_tasks(self) -> None:
        adoption, clock = self.adoption(quorum_blocked_s=1_000.0)
        adoption.record_superseded()
        clock.advance(1_000.0)
        assert adoption.state is AdoptionState.SUPERSEDED
        assert not adoption.may_start
        assert not adoption.may_replace_tasks


def make_hosts(count: int, racks: int) -> list[HostSpecification]:
    return [
        HostSpecification(HostName(f"w{n:02}"), "worker", Rack(f"r{n % racks}"))
        for n in range(count)
    ]


class TestAssignment:
    @pytest.mark.parametrize("batches", [1, 3, 24])
    def test_shards_differ_by_one_host_and_none_moves(self, batches: int) -> None:
        table = AssignmentTable()
        every = make_hosts(24, 3)
        for end in range(24 // batches, 25, 24 // batches):
            before = table.places
            table = assign_hosts(table, every[:end], 16)
            assert before.items() <= table.places.items()
            loads = Counter(table.shards().values())
            assert max(loads.values()) - min(loads[ShardId(n)] for n in range(16)) <= 1

    def test_first_hosts_are_laid_out_rack_by_rack(self) -> None:
        table = assign_hosts(AssignmentTable(), make_hosts(24, 3), 16)
        racks = {(place.shard, place.rack) for place in table.places.values()}
        most_shards_shared_by_two_racks = 2
        assert len(racks) <= 16 + most_shards_shared_by_two_racks

    def test_removed_host_leaves_room_for_the_next(self) -> None:
        table = assign_hosts(AssignmentTable(), make_hosts(8, 1), 4)
        gone = HostName("w03")
        shard = table.places[gone].shard
        new = HostSpecification(HostName("new"), "worker", Rack("r0"))
        table = assign_hosts(table.without([gone]), [new], 4)
        assert table.places[new.name].shard == shard
