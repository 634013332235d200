"""Tests of the shard lock, the authority of its holder, and its commits."""

import pytest

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import JobId, MemberId
from gooseberrydeck_fleet.changes import ENDING_ENTRIES
from gooseberrydeck_fleet.commands import Changes, JobEnding, ProgressWrite
from gooseberrydeck_fleet.serving import START_VALID_S
from gooseberrydeck_fleet.state import MAX_TASK_LEASE_S
from gooseberrydeck_fleet.work import EndedJob, JobState, StepSpec
from gooseberrydeck_member import authority as authority_module
from gooseberrydeck_member.authority import (
    AUTHORITY_TIMEOUT_S,
    COMMAND_TIMEOUT_S,
    LEASE_TIMEOUT_S,
    PAUSE_LIMIT_S,
    Authority,
)
from gooseberrydeck_member.claimants import FOLLOWED_WITHIN_S, Claimants
from gooseberrydeck_member.commits import (
    MAX_COMMIT_ENTRIES,
    build_transaction,
    commit_changes,
)
from gooseberrydeck_member.keys import ended_key, job_key, progress_key
from gooseberrydeck_member.peer_messages import Heartbeat
from gooseberrydeck_member.shard_lock import TOKENS_PER_CLAIM, ShardLock, ShardLostError
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TIMEOUT_S = 1.0
TTL_S = 2.0
MAX_ENTRIES = 32


class ShardLockFixture:
    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.store = EngineStore(self.engine, waits=False)
        self.first = self.make_lock("m1")
        self.second = self.make_lock("m2")

    def make_lock(self, name: str) -> ShardLock:
        return ShardLock(self.store, MemberId(name), f"{name}:1", f"run-{name}")

    def claim(self, shard_lock: ShardLock) -> bool:
        return shard_lock.claim(shard_lock.read(TIMEOUT_S), (), TTL_S, TIMEOUT_S)


class TestClaim(ShardLockFixture):
    def test_each_claim_increments_the_token(self) -> None:
        assert self.claim(self.first)
        assert self.claim(self.second)
        assert self.second.read(TIMEOUT_S).record.token == 2 * TOKENS_PER_CLAIM

    def test_one_of_two_concurrent_claims_succeeds(self) -> None:
        seen = self.first.read(TIMEOUT_S)
        assert self.first.claim(seen, (), TTL_S, TIMEOUT_S)
        assert not self.second.claim(seen, (), TTL_S, TIMEOUT_S)

    def test_holder_is_alive_until_its_lease_expires(self) -> None:
        self.claim(self.first)
        self.clock.advance(1.5)
        self.first.renew_lease(TTL_S, TIMEOUT_S)
        self.clock.advance(1.5)
        assert self.second.is_alive(TIMEOUT_S)
        self.clock.advance(1.0)
        assert not self.second.is_alive(TIMEOUT_S)

    def test_expired_lease_is_renewed_if_the_shard_was_not_claimed(self) -> None:
        self.claim(self.first)
        self.clock.advance(10.0)
        self.first.renew_lease(TTL_S, TIMEOUT_S)
        assert self.second.is_alive(TIMEOUT_S)

    def test_superseded_holder_fails_to_renew_its_lease(self) -> None:
        self.claim(self.first)
        self.clock.advance(10.0)
        self.claim(self.second)
        with pytest.raises(ShardLostError):
            self.first.renew_lease(TTL_S, TIMEOUT_S)

    def test_holder_superseded_while_its_lease_is_alive_fails_to_renew_it(
        self,
    ) -> None:
        # A holder that does not learn of its successor goes on starting tasks.
        self.claim(self.first)
        self.claim(self.second)
        with pytest.raises(ShardLostError):
            self.first.renew_lease(TTL_S, TIMEOUT_S)

    def test_released_shard_keeps_its_token(self) -> None:
        self.claim(self.first)
        self.first.release(TIMEOUT_S)
        record = self.second.read(TIMEOUT_S).record
        assert (record.holder, record.token) == ("", TOKENS_PER_CLAIM)
        with pytest.raises(ShardLostError):
            self.first.ownership_condition()

    def test_claim_can_be_repeated_after_a_lost_response(self) -> None:
        seen = self.first.read(TIMEOUT_S)
        self.store.next_faults.extend([CallFault.NONE, CallFault.ANSWER_LOST])
        with pytest.raises(StoreOutcomeUnknownError):
            self.first.claim(seen, (), TTL_S, TIMEOUT_S)
        assert self.first.held is None
        record = self.first.read(TIMEOUT_S).record
        assert record.incarnation == self.first.incarnation
        assert self.claim(self.first)
        assert self.first.read(TIMEOUT_S).record.token == 2 * TOKENS_PER_CLAIM


class TestAuthority:
    def test_authority_expires_after_the_last_confirmation(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(authority_module, "boottime_clock_s", clock.monotonic)
        authority = Authority()
        clock.advance(AUTHORITY_TIMEOUT_S - 0.1)
        assert authority.may_act()
        clock.advance(0.2)
        assert not authority.may_act()
        authority.confirm(clock.monotonic())
        assert authority.may_act()

    def test_confirmation_counts_from_when_the_call_was_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(authority_module, "boottime_clock_s", clock.monotonic)
        authority = Authority()
        sent_s = clock.monotonic()
        clock.advance(AUTHORITY_TIMEOUT_S + 1)
        authority.confirm(sent_s)
        assert not authority.may_act()

    # Guards against a holder that starts tasks of a job right after a pause, though its
    # successor has ended the job meanwhile.
    @pytest.mark.parametrize("has_response", [False, True])
    def test_paused_holder_asks_the_store_before_it_acts(
        self, monkeypatch: pytest.MonkeyPatch, has_response: bool
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(authority_module, "boottime_clock_s", clock.monotonic)
        authority = Authority()
        assert authority.round_begins() == 0
        sent_before_s = clock.monotonic()
        clock.advance(PAUSE_LIMIT_S + 0.1)
        assert not authority.may_act()
        assert authority.round_begins() == pytest.approx(PAUSE_LIMIT_S + 0.1)
        authority.confirm(sent_before_s)
        assert not authority.may_act()
        record = authority.confirm if has_response else authority.not_confirmed
        record(clock.monotonic())
        assert authority.may_act()

    def test_rounds_at_intervals_are_no_pause(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(authority_module, "boottime_clock_s", clock.monotonic)
        authority = Authority()
        for _ in range(5):
            assert authority.round_begins() == 0
            clock.advance(PAUSE_LIMIT_S - 0.1)
            assert authority.may_act()

    def test_revoked_authority_is_not_restored(self) -> None:
        authority = Authority()
        authority.revoke()
        authority.confirm(authority_module.boottime_clock_s())
        assert not authority.may_act()


class TestConfirmationsByMembers:
    """The store is down, and the other members may confirm that none has claimed."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.followed_s = 0.0
        self.authority = Authority(self.clock.monotonic, lambda: self.followed_s)

    def leases_end_s(self) -> float:
        return self.clock.monotonic() + self.authority.lease_limit_s()

    # A successor that waits for the leases of silent workers counts on these limits.
    def test_holder_that_a_member_does_not_follow_stops_soon(self) -> None:
        begun_s = self.clock.monotonic()
        self.clock.advance(COMMAND_TIMEOUT_S - 0.1)
        assert self.authority.may_act()
        self.clock.advance(0.2)
        assert not self.authority.may_act()
        assert self.leases_end_s() == pytest.approx(begun_s + LEASE_TIMEOUT_S)
        self.clock.advance(LEASE_TIMEOUT_S)
        assert self.authority.lease_limit_s() == 0.0

    def test_holder_that_all_members_follow_goes_on_until_its_authority_ends(
        self,
    ) -> None:
        begun_s = self.clock.monotonic()
        for _ in range(int(AUTHORITY_TIMEOUT_S) * 2 - 1):
            self.clock.advance(0.5)
            self.followed_s = self.clock.monotonic() - 0.4
            assert self.authority.may_act()
            assert self.authority.lease_limit_s() > MAX_TASK_LEASE_S - 0.2
        self.clock.advance(0.6)
        self.followed_s = self.clock.monotonic()
        assert not self.authority.may_act()
        ends_s = begun_s + AUTHORITY_TIMEOUT_S + MAX_TASK_LEASE_S
        assert self.leases_end_s() <= ends_s

    def test_leases_are_not_limited_while_the_store_confirms(self) -> None:
        for _ in range(20):
            self.clock.advance(0.3)
            self.authority.confirm(self.clock.monotonic() - 0.2)
            assert self.authority.lease_limit_s() >= MAX_TASK_LEASE_S

    def test_last_start_expires_with_the_leases(self) -> None:
        assert COMMAND_TIMEOUT_S + START_VALID_S <= LEASE_TIMEOUT_S


class TestClaimants:
    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.claimants = Claimants("holder", self.clock.monotonic)

    def follow(
        self,
        member: str,
        followed_s: float,
        may_claim: bool = True,
        run: str = "run",
    ) -> None:
        """Record a heartbeat that repeats a time of this holder."""
        self.claimants.record(
            Heartbeat(
                member,
                f"{member}:1",
                run,
                1,
                holder_incarnation="holder",
                holder_time_s=followed_s,
                may_claim=may_claim,
            )
        )

    def test_the_member_that_followed_longest_ago_counts(self) -> None:
        self.follow("m1", 99.0)
        self.follow("m2", 97.0)
        assert self.claimants.followed_s() == 97.0

    def test_delayed_heartbeat_does_not_lower_the_time(self) -> None:
        self.follow("m1", 99.0)
        self.follow("m1", 95.0)
        assert self.claimants.followed_s() == 99.0

    def test_without_other_members_nobody_could_have_claimed(self) -> None:
        assert self.claimants.followed_s() == self.clock.monotonic()
        self.follow("m1", 99.0)
        self.follow("m1", 99.0, may_claim=False)
        assert self.claimants.followed_s() == self.clock.monotonic()

    # A heartbeat of a process that had stopped arrived late, and the holder forgot the
    # next one, which counts on being known. It could act for 8 s beside its successor.
    def test_late_heartbeat_of_a_stopped_process_does_not_hide_the_next_one(
        self,
    ) -> None:
        self.follow("m1", 97.0)
        self.follow("m1", 99.0, run="next")
        self.follow("m1", 97.0, may_claim=False)
        assert self.claimants.followed_s() == 99.0

    def test_late_heartbeats_of_a_stopped_process_do_not_hide_the_next_one(
        self,
    ) -> None:
        self.follow("m1", 99.0, run="next")
        self.follow("m1", 97.0)
        self.follow("m1", 97.0, may_claim=False)
        assert self.claimants.followed_s() == 99.0

    def test_next_process_of_a_member_takes_its_place(self) -> None:
        self.follow("m1", 95.0)
        self.follow("m1", 0.0, run="next")
        assert self.claimants.followed_s() == 95.0
        self.follow("m1", 99.0, run="next")
        assert self.claimants.followed_s() == 99.0

    def test_silent_member_is_remembered_until_the_holder_can_not_act(self) -> None:
        self.follow("m1", 99.0)
        self.clock.advance(FOLLOWED_WITHIN_S + AUTHORITY_TIMEOUT_S)
        assert self.claimants.followed_s() == 99.0
        self.clock.advance(0.1)
        assert self.claimants.followed_s() == self.clock.monotonic()


class TestCommits(ShardLockFixture):
    def setup_method(self) -> None:
        super().setup_method()
        self.claim(self.first)
        self.held = self.first.ownership_condition()

    def progress(self, name: str, revision: int = 0) -> Changes:
        return Changes((ProgressWrite(JobId(name), b"[]", revision),), (), {})

    def ending(self, name: str, revision: int = 0) -> Changes:
        ended = EndedJob(JobState.COMPLETED, 1.0)
        return Changes((), (JobEnding(JobId(name), ended, revision),), {})

    def test_progress_and_ending_are_stored(self) -> None:
        outcome = commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        assert outcome.stored
        ending = self.ending("a", outcome.revisions[JobId("a")])
        assert commit_changes(self.store, self.held, ending, TIMEOUT_S).stored
        assert self.store.read(progress_key(JobId("a")), TIMEOUT_S) is None
        assert self.store.read(job_key(JobId("a")), TIMEOUT_S) is None
        assert self.store.read(ended_key(JobId("a")), TIMEOUT_S) is not None

    def test_superseded_holder_stores_nothing(self) -> None:
        self.claim(self.second)
        with pytest.raises(ShardLostError):
            commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        assert self.store.read(progress_key(JobId("a")), TIMEOUT_S) is None

    def test_stale_revision_is_refused_with_the_current_revision(self) -> None:
        first = commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        again = commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        assert not again.stored
        assert again.revisions == first.revisions

    def test_repeated_ending_is_reported_as_already_stored(self) -> None:
        commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        entry = self.store.read(progress_key(JobId("a")), TIMEOUT_S)
        assert entry is not None
        ending = self.ending("a", int(entry.mod_revision))
        assert commit_changes(self.store, self.held, ending, TIMEOUT_S).stored
        again = commit_changes(self.store, self.held, ending, TIMEOUT_S)
        assert not again.stored
        assert again.ended == {JobId("a")}

    @pytest.mark.parametrize("fault", [CallFault.DOWN, CallFault.REQUEST_LOST])
    def test_unreachable_store_is_a_failed_commit(self, fault: CallFault) -> None:
        self.store.fault = fault
        outcome = commit_changes(self.store, self.held, self.progress("a"), TIMEOUT_S)
        assert not outcome.stored
        assert outcome.reason

    @pytest.mark.parametrize("endings", range(13))
    def test_largest_commit_fits_in_a_transaction(self, endings: int) -> None:
        fleet = Fleet()
        for number in range(30):
            seconds = 0.2 if number < endings else 9.0
            fleet.submit(f"j{number}", StepSpec(1, task_resources()), seconds=seconds)
            fleet.scheduler.ledger.jobs[JobId(f"j{number}")].progress_revision = 5
        fleet.is_store_available = False
        fleet.run_for(1.0)
        for job in fleet.scheduler.ledger.jobs:
            fleet.scheduler.ledger.changed[job] = None
        changes = fleet.scheduler.changes.take_batch(MAX_COMMIT_ENTRIES, 0.0)
        transaction = build_transaction(self.held, changes)
        entries = len(transaction.compares) + len(transaction.operations)
        assert MAX_ENTRIES - 2 * ENDING_ENTRIES < entries <= MAX_ENTRIES

    def test_unavailable_store_raises_on_read(self) -> None:
        self.store.fault = CallFault.DOWN
        with pytest.raises(StoreUnavailableError):
            self.first.read(TIMEOUT_S)
