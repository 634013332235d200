"""Tests of the hand-over of the shard before a planned stop, and of restarts."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import pytest

from fleet_support import make_configuration
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.store import (
    Entry,
    Put,
    Transaction,
    TransactionResult,
)
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_member import authority, control
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S, Authority
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.claimants import FOLLOWED_WITHIN_S
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.control import ControlTask
from gooseberrydeck_member.keys import SOLE_KEY
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import (
    HandOver,
    Heartbeat,
    HeartbeatReply,
    HolderAnnouncement,
)
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.peers import PeerCallError, PeerRefusedError
from gooseberrydeck_member.predecessors import NO_PREDECESSORS, Predecessors
from gooseberrydeck_member.shard_lock import (
    TOKENS_PER_CLAIM,
    ShardLock,
    ShardView,
    next_token,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

WAIT_S = 20.0


class SchedulerStub:
    """The part of ``SchedulerTask`` that the control task uses."""

    def __init__(
        self, token: int, authority: Authority, predecessors: Predecessors
    ) -> None:
        self.token = token
        self.predecessors = predecessors
        self.was_silent = predecessors.may_act()
        self.authority = authority
        self.lost = threading.Event()
        self.stopping = threading.Event()
        self.started = threading.Event()
        self.predecessor_stop_reported = threading.Event()

    def set_configuration(self, _configuration: FleetConfiguration) -> None:
        pass

    def run(self) -> None:
        self.started.set()

    def predecessor_stopped(self) -> None:
        self.predecessor_stop_reported.set()

    def mark_shard_lost(self) -> None:
        self.lost.set()

    def stop(self) -> None:
        self.authority.revoke()
        self.stopping.set()


@dataclass
class PeersStub:
    """A peer client that calls reachable members directly."""

    applications: dict[str, PeerApplication] = field(default_factory=dict)
    refusing: set[str] = field(default_factory=set)
    missed: queue.SimpleQueue[str] = field(default_factory=queue.SimpleQueue)

    def application(self, address: str) -> PeerApplication:
        if address in self.refusing:
            raise PeerRefusedError(f"{address}: connection refused")
        if address not in self.applications:
            self.missed.put(address)
            raise PeerCallError(f"{address}: not reachable")
        return self.applications[address]

    def announce(
        self, address: str, announcement: HolderAnnouncement, timeout_s: float
    ) -> None:
        self.application(address).handle_announcement(msgspec.json.encode(announcement))

    def send_heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_s: float
    ) -> HeartbeatReply:
        reply = self.application(address).handle_heartbeat(
            msgspec.json.encode(heartbeat)
        )
        if reply is None:
            raise PeerCallError(f"{address}: status 503")
        return reply

    def hand_over(self, address: str, seen: ShardView, timeout_s: float) -> bool:
        message = msgspec.json.encode(HandOver(seen))
        return self.application(address).handle_hand_over(message)


class WaitRecorder(threading.Event):
    """A stop event that is set after some rounds and records the waits on it."""

    def __init__(self, rounds: int) -> None:
        super().__init__()
        self.rounds_left = rounds
        self.waits: list[float | None] = []

    def is_set(self) -> bool:
        self.rounds_left -= 1
        return self.rounds_left < 0

    def wait(self, timeout: float | None = None) -> bool:
        self.waits.append(timeout)
        return False


class MemberParts:
    """The components of a member that decide which member holds the shard."""

    def __init__(
        self, name: str, engine: StoreEngine, peers: PeersStub, run: str = "first"
    ) -> None:
        self.address = f"{name}:1"
        run = f"{name}-{run}"
        self.store = EngineStore(engine, waits=False)
        self.shard_lock = ShardLock(self.store, MemberId(name), self.address, run)
        self.cell = Cell(name, self.address, peers, run)  # type: ignore[arg-type]
        configuration = ConfigurationCache(lambda _value: make_configuration())
        configuration.offer(b"1", 0.0, "test")
        self.schedulers: list[SchedulerStub] = []
        self.control = ControlTask(
            self.store,
            self.shard_lock,
            self.cell,
            peers,  # type: ignore[arg-type]
            configuration,
            Timing(),
            self.build_scheduler,  # type: ignore[arg-type]
            Metrics(),
            2.0,
        )
        application = PeerApplication(self.cell, configuration, None, Metrics(), run)
        application.take_over = self.control.take_over
        peers.applications[self.address] = application

    def build_scheduler(
        self, authority: Authority, predecessors: Predecessors
    ) -> SchedulerStub:
        held = self.shard_lock.held
        assert held is not None
        scheduler = SchedulerStub(int(held.record.token), authority, predecessors)
        self.schedulers.append(scheduler)
        return scheduler

    def receive_heartbeat(self, other: "MemberParts") -> None:
        self.cell.record_heartbeat(
            Heartbeat(other.address, other.address, "run", 1, 2.0)
        )


class TestHandOver:
    def setup_method(self) -> None:
        self.peers = PeersStub()
        engine = StoreEngine(ManualClock())
        self.first = MemberParts("m1", engine, self.peers)
        self.second = MemberParts("m2", engine, self.peers)
        self.first.control.find_holder()
        self.first.receive_heartbeat(self.second)

    def holder(self) -> str:
        return self.second.shard_lock.read(1.0).record.holder

    def test_peer_claims_before_the_holder_stops(self) -> None:
        (former,) = self.first.schedulers
        self.first.control.hand_over()
        (successor,) = self.second.schedulers
        assert successor.token == next_token(former.token)
        assert self.holder() == "m2"
        assert former.lost.is_set()
        assert former.stopping.is_set()
        assert successor.predecessor_stop_reported.wait(WAIT_S)
        assert self.first.cell.holder_address == self.second.address

    def test_shard_is_released_if_no_peer_claims_it(self) -> None:
        self.peers.applications.pop(self.second.address)
        self.first.control.hand_over()
        assert self.first.schedulers[0].stopping.is_set()
        assert self.holder() == ""

    def test_stopping_peer_does_not_claim_the_shard(self) -> None:
        self.second.control.hand_over()
        self.first.control.hand_over()
        assert self.second.schedulers == []
        assert self.holder() == ""

    @pytest.mark.parametrize("fault", [CallFault.DOWN, CallFault.REQUEST_LOST])
    def test_peer_that_cannot_reach_the_store_does_not_claim_the_shard(
        self, fault: CallFault
    ) -> None:
        self.second.store.fault = fault
        self.first.control.hand_over()
        self.second.store.fault = CallFault.NONE
        assert self.second.schedulers == []
        assert self.holder() == ""

    def test_changed_record_is_not_claimed(self) -> None:
        seen = self.first.shard_lock.held
        assert seen is not None
        assert self.second.control.take_over(seen)
        third = MemberParts("m3", StoreEngine(ManualClock()), self.peers)
        assert not third.control.take_over(seen)
        assert third.schedulers == []


class TestClaimInFlight:
    """A claim is stored, but the claimant hasn't received the response yet."""

    def setup_method(self) -> None:
        self.peers = PeersStub()
        engine = StoreEngine(ManualClock())
        self.member = MemberParts("m1", engine, self.peers)
        self.other = MemberParts("m2", engine, self.peers)
        self.other.cell.set_roster((self.other.address,))
        self.commit = self.member.store.commit

    def commit_and_run(
        self, others: Callable[[], None]
    ) -> Callable[[Transaction, float], TransactionResult]:
        """Return a commit method that runs ``others`` before it responds."""

        def commit(transaction: Transaction, timeout_s: float) -> TransactionResult:
            result = self.commit(transaction, timeout_s)
            others()
            return result

        return commit

    def test_claimant_is_not_taken_for_a_holder_that_has_stopped(self) -> None:
        # With a slow store a member reads the claim before its claimant is answered,
        # asks the claimant, and claims from it as from a holder that stopped.
        def follow() -> None:
            self.other.control.follow()
            self.other.control.follow()

        self.member.store.commit = self.commit_and_run(follow)  # type: ignore[method-assign]
        self.member.control.find_holder()
        assert self.other.schedulers == []
        assert len(self.member.schedulers) == 1

    def test_claimant_that_was_superseded_meanwhile_starts_nothing(self) -> None:
        # The successor's announcement finds no scheduler to stop, and the reply counts
        # as a confirmation that this member starts no tasks.
        def take_over() -> None:
            seen = self.other.shard_lock.read(1.0)
            assert self.other.control.take_over(seen)
            assert self.other.schedulers[0].predecessor_stop_reported.wait(WAIT_S)

        self.member.store.commit = self.commit_and_run(take_over)  # type: ignore[method-assign]
        self.member.control.find_holder()
        (scheduler,) = self.member.schedulers
        assert scheduler.lost.is_set()
        assert self.member.cell.holder_address == self.other.address

    # A claimant that was frozen acted for 8 s from the response, though others may have
    # claimed the shard meanwhile and started the tasks that it starts.
    def test_authority_counts_from_when_the_claim_was_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(control, "boottime_clock_s", clock.monotonic)
        monkeypatch.setattr(authority, "boottime_clock_s", clock.monotonic)

        def freeze() -> None:
            clock.advance(AUTHORITY_TIMEOUT_S)

        self.member.store.commit = self.commit_and_run(freeze)  # type: ignore[method-assign]
        self.member.control.find_holder()
        (scheduler,) = self.member.schedulers
        assert not scheduler.authority.may_act()


class TestActivePredecessors:
    """A holder is silent, but may still act on workers that others can't reach."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.peers = PeersStub()
        self.silent = self.make_member("silent")
        self.silent.control.find_holder()
        self.application = self.peers.applications.pop(self.silent.address)
        self.member = self.make_member("m1")
        self.other = self.make_member("m2")

    def teardown_method(self) -> None:
        for member in (self.silent, self.member, self.other):
            for scheduler in member.schedulers:
                scheduler.stop()

    def make_member(self, name: str) -> MemberParts:
        member = MemberParts(name, self.engine, self.peers)
        # The first in the roster claims without a delay.
        member.cell.set_roster((member.address,))
        return member

    def claim_from_silent_holder(self, *faults: CallFault) -> None:
        """Claim from the holder, whose lease has lapsed.

        ``faults`` apply to the calls of the claim.
        """
        self.clock.advance(10.0)
        self.member.control.find_holder()
        # Before the claim come two reads: of the record and of the lease.
        self.member.store.next_faults.extend([CallFault.NONE, CallFault.NONE, *faults])
        self.member.control.find_holder()

    def lose_claim_response(self) -> None:
        self.claim_from_silent_holder(CallFault.NONE, CallFault.ANSWER_LOST)
        assert self.member.schedulers == []

    def test_silent_holder_is_waited_for(self) -> None:
        self.claim_from_silent_holder()
        (scheduler,) = self.member.schedulers
        assert scheduler.was_silent
        assert not scheduler.predecessor_stop_reported.is_set()

    def test_claim_repeated_after_a_lost_response_waits_for_the_silent_holder(
        self,
    ) -> None:
        # The record names this process then, so the silent holder counted as stopped.
        self.lose_claim_response()
        self.peers.applications[self.silent.address] = self.application
        self.member.control.find_holder()
        (scheduler,) = self.member.schedulers
        assert scheduler.was_silent
        assert scheduler.predecessor_stop_reported.wait(WAIT_S)
        assert self.silent.schedulers[0].lost.is_set()

    def test_claim_over_an_unconfirmed_claim_waits_for_the_silent_holder(self) -> None:
        # The claimant replies that it isn't the holder, so it counted as the last one.
        self.lose_claim_response()
        self.other.control.follow()
        self.other.control.follow()
        (scheduler,) = self.other.schedulers
        assert scheduler.was_silent

    def test_successor_of_a_short_holding_waits_for_the_silent_holder(self) -> None:
        # A holder that was killed or stopped early took the wait with it.
        self.claim_from_silent_holder()
        self.member.control.hand_over()
        self.other.control.find_holder()
        (scheduler,) = self.other.schedulers
        assert scheduler.was_silent

    def test_silent_holder_is_not_waited_for_after_its_authority_has_expired(
        self,
    ) -> None:
        self.claim_from_silent_holder()
        self.other.control.find_holder()
        self.other.cell.token_known_since_s -= AUTHORITY_TIMEOUT_S
        self.member.control.hand_over()
        self.other.control.find_holder()
        (scheduler,) = self.other.schedulers
        assert not scheduler.was_silent

    def mark_sole(self, value: bytes) -> None:
        put = Put(SOLE_KEY, value)
        assert self.member.store.commit(Transaction((), (put,)), 1.0).succeeded

    # A claimant that started after a kill of all hosts held jobs back for 12.3 s, for a
    # host that had been removed ten seconds before.
    def test_predecessors_of_a_sole_holder_are_not_waited_for(self) -> None:
        self.claim_from_silent_holder()
        self.mark_sole(b'{"token":%d}' % self.member.schedulers[0].token)
        self.member.control.hand_over()
        self.other.control.find_holder()
        (scheduler,) = self.other.schedulers
        assert not scheduler.was_silent
        assert self.other.shard_lock.read(1.0).record.active_predecessors == ()

    def test_silent_sole_holder_is_waited_for_without_its_predecessors(self) -> None:
        self.claim_from_silent_holder()
        self.mark_sole(b'{"token":%d}' % self.member.schedulers[0].token)
        seen = self.other.shard_lock.read(1.0)
        assert self.other.control.take_over(seen)
        (scheduler,) = self.other.schedulers
        assert scheduler.predecessors.addresses == (self.member.address,)

    # The mark of an earlier holder says nothing about the predecessors of a later one.
    @pytest.mark.parametrize("value", [b'{"token":1000}', b'{"token":3000}', b"?"])
    def test_other_marks_shorten_no_wait(self, value: bytes) -> None:
        self.claim_from_silent_holder()
        assert self.member.schedulers[0].token == 2_000
        self.mark_sole(value)
        self.member.control.hand_over()
        self.other.control.find_holder()
        (scheduler,) = self.other.schedulers
        assert scheduler.was_silent

    def test_mark_that_cannot_be_read_shortens_no_wait(self) -> None:
        self.claim_from_silent_holder()
        self.mark_sole(b'{"token":%d}' % self.member.schedulers[0].token)
        self.member.control.hand_over()
        # The record is read first.
        self.other.store.next_faults.extend([CallFault.NONE, CallFault.DOWN])
        self.other.control.find_holder()
        (scheduler,) = self.other.schedulers
        assert scheduler.was_silent

    def test_holder_that_refuses_connections_is_replaced_at_once_and_waited_for(
        self,
    ) -> None:
        # A cut may refuse connections as well, and a listener may end before its
        # process does. The holder counted as stopped then.
        self.peers.refusing.add(self.silent.address)
        self.member.control.find_holder()
        self.member.control.follow()
        (scheduler,) = self.member.schedulers
        assert scheduler.was_silent

    def test_silent_holder_is_told_as_soon_as_it_can_be_reached(self) -> None:
        # A killed process is back within seconds, and its reply ends the wait.
        self.claim_from_silent_holder()
        (scheduler,) = self.member.schedulers
        assert self.peers.missed.get(timeout=WAIT_S) == self.silent.address
        self.peers.applications[self.silent.address] = self.application
        assert scheduler.predecessor_stop_reported.wait(WAIT_S)

    def test_predecessors_have_stopped_once_all_of_them_have_replied(self) -> None:
        self.claim_from_silent_holder()
        (scheduler,) = self.member.schedulers
        predecessors = (self.other.address, self.silent.address)
        announce = self.member.cell.announce
        scheduler.stop()
        announce(scheduler, "", predecessors)  # type: ignore[arg-type]
        assert not scheduler.predecessor_stop_reported.is_set()
        self.peers.applications[self.silent.address] = self.application
        announce(scheduler, "", predecessors)  # type: ignore[arg-type]
        assert scheduler.predecessor_stop_reported.is_set()

    def test_reply_to_an_earlier_announcement_does_not_count_for_a_later_holding(
        self,
    ) -> None:
        # Announcements take up to 0.3 s for each member that doesn't reply.
        self.claim_from_silent_holder()
        earlier = SchedulerStub(1, Authority(), NO_PREDECESSORS)
        predecessors = (self.other.address,)
        self.member.cell.announce(earlier, "", predecessors)  # type: ignore[arg-type]
        (scheduler,) = self.member.schedulers
        assert earlier.predecessor_stop_reported.is_set()
        assert not scheduler.predecessor_stop_reported.is_set()


class TestLimitedPredecessors:
    """A silent holder knew its successor, so it can't act long without its word."""

    MAX_WAIT_S = 5.0
    """A long-running task has to run 7 s after the holder was lost. The claim takes 1 s
    of that, and the advice with the start another one."""

    def setup_method(self) -> None:
        self.engine = StoreEngine(ManualClock())
        self.peers = PeersStub()
        self.silent = self.make_member("silent")
        self.silent.control.find_holder()
        self.member = self.make_member("m1")
        self.other = self.make_member("m2")

    def teardown_method(self) -> None:
        for member in (self.silent, self.member, self.other):
            for scheduler in member.schedulers:
                scheduler.stop()

    def make_member(self, name: str, run: str = "first") -> MemberParts:
        member = MemberParts(name, self.engine, self.peers, run)
        member.cell.set_roster((member.address,))
        return member

    def follow(self, member: MemberParts) -> None:
        """Let a member find the holder and send it two heartbeats."""
        for _ in range(3):
            member.control.follow()

    def claim_from(self, holder: MemberParts, member: MemberParts) -> SchedulerStub:
        """Let a holder refuse connections, and a member claim the shard from it."""
        self.peers.refusing.add(holder.address)
        member.control.follow()
        return member.schedulers[-1]

    # Accepted long-running tasks stood still for 15 s on other workers than the lost
    # ones, after a holder was lost with its host (issue 45).
    def test_successor_waits_five_seconds_at_most_for_the_workers_of_a_lost_holder(
        self,
    ) -> None:
        self.follow(self.member)
        scheduler = self.claim_from(self.silent, self.member)
        assert scheduler.was_silent
        assert scheduler.predecessors.max_lease_s() <= self.MAX_WAIT_S

    # The same after a second holder was lost as well.
    def test_successor_of_two_lost_holders_waits_no_longer(self) -> None:
        self.follow(self.member)
        self.follow(self.other)
        self.claim_from(self.silent, self.member)
        self.follow(self.other)
        scheduler = self.claim_from(self.member, self.other)
        assert len(scheduler.predecessors.addresses) == 2
        assert scheduler.predecessors.max_lease_s() <= self.MAX_WAIT_S

    def test_holder_that_did_not_know_its_successor_is_waited_for_longer(self) -> None:
        self.member.control.find_holder()
        scheduler = self.claim_from(self.silent, self.member)
        assert scheduler.predecessors.max_lease_s() > AUTHORITY_TIMEOUT_S

    def test_one_of_two_holders_that_did_not_know_its_successor(self) -> None:
        self.follow(self.member)
        self.claim_from(self.silent, self.member)
        self.follow(self.other)
        scheduler = self.claim_from(self.member, self.other)
        assert len(scheduler.predecessors.addresses) == 2
        assert scheduler.predecessors.max_lease_s() > AUTHORITY_TIMEOUT_S

    def test_later_process_of_a_known_holder_did_not_know_its_successor(self) -> None:
        self.follow(self.member)
        again = self.make_member("silent", run="second")
        again.control.find_holder()
        self.member.cell.set_holder(int(again.schedulers[0].token), again.address)
        scheduler = self.claim_from(again, self.member)
        assert scheduler.predecessors.max_lease_s() > AUTHORITY_TIMEOUT_S

    def test_holder_that_was_followed_too_long_ago(self) -> None:
        self.follow(self.member)
        followed_s = self.member.control.followed_s
        for incarnation in followed_s:
            followed_s[incarnation] -= FOLLOWED_WITHIN_S
        scheduler = self.claim_from(self.silent, self.member)
        assert scheduler.predecessors.max_lease_s() > AUTHORITY_TIMEOUT_S

    # A frozen claimant went on after the holder had forgotten it, but waited as if it
    # was known: the holder could act for 8 s more, and a task run twice.
    def test_holder_may_have_forgotten_a_claimant_whose_claim_takes_long(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clock = ManualClock()
        monkeypatch.setattr(control, "boottime_clock_s", clock.monotonic)
        self.follow(self.member)
        commit = self.member.store.commit

        def commit_late(
            transaction: Transaction, timeout_s: float
        ) -> TransactionResult:
            clock.advance(FOLLOWED_WITHIN_S)
            return commit(transaction, timeout_s)

        monkeypatch.setattr(self.member.store, "commit", commit_late)
        scheduler = self.claim_from(self.silent, self.member)
        assert scheduler.predecessors.max_lease_s() > AUTHORITY_TIMEOUT_S


class TestConfirmations:
    """Heartbeats tell a holder without the store that nobody has claimed."""

    def setup_method(self) -> None:
        self.peers = PeersStub()
        engine = StoreEngine(ManualClock())
        self.holder = MemberParts("m1", engine, self.peers)
        self.holder.control.find_holder()
        self.member = MemberParts("m2", engine, self.peers)
        self.member.cell.set_roster((self.member.address,))
        self.member.control.follow()

    def teardown_method(self) -> None:
        for member in (self.holder, self.member):
            for scheduler in member.schedulers:
                scheduler.stop()

    def followed_s(self) -> float:
        return self.holder.cell.claimants.followed_s()

    def test_second_heartbeat_repeats_the_time_of_the_first_reply(self) -> None:
        self.member.control.follow()
        assert self.followed_s() == 0.0
        replied_s = self.member.control.holder_time_s
        self.member.control.follow()
        assert self.followed_s() == replied_s > 0.0

    def test_claimant_confirms_nothing_while_and_after_it_claims(self) -> None:
        self.member.control.follow()
        self.member.control.follow()
        confirmed_s = self.followed_s()
        with self.member.control.claim_lock:
            heartbeat = self.member.control.build_heartbeat()
        assert heartbeat.holder_incarnation == ""
        assert heartbeat.may_claim
        seen = self.holder.shard_lock.held
        assert seen is not None
        assert self.member.control.take_over(seen)
        heartbeat = self.member.control.build_heartbeat()
        assert heartbeat.holder_incarnation == ""
        self.holder.cell.record_heartbeat(heartbeat)
        assert self.followed_s() == confirmed_s

    def test_stopping_member_is_not_waited_for(self) -> None:
        self.member.control.follow()
        assert self.followed_s() == 0.0
        self.member.control.hand_over()
        self.member.control.follow()
        assert self.followed_s() > 0.0

    def test_time_of_another_process_is_no_confirmation(self) -> None:
        heartbeat = Heartbeat(
            "m3", "m3:1", "run", 1, holder_incarnation="former", holder_time_s=1e9
        )
        self.holder.cell.record_heartbeat(heartbeat)
        assert self.followed_s() == 0.0

    def test_members_of_earlier_releases_confirm_nothing(self) -> None:
        self.holder.cell.record_heartbeat(Heartbeat("m3", "m3:1", "run", 1))
        assert self.followed_s() == 0.0


class TestNewestToken:
    # Records would have named a holder older than the one that is notified.
    def test_newest_token_is_not_lowered_by_late_news_of_older_holders(self) -> None:
        cell = MemberParts("m1", StoreEngine(ManualClock()), PeersStub()).cell
        assert cell.newest_token() == 0
        assert cell.set_holder(8, "m8:1")
        assert not cell.set_holder(7, "m7:1")
        assert cell.newest_token() == 8
        assert cell.holder_address == "m8:1"


class TestRestart:
    """All members are killed and restarted; the record still names one of them."""

    def setup_method(self) -> None:
        self.peers = PeersStub()
        self.engine = StoreEngine(ManualClock())
        MemberParts("m1", self.engine, self.peers).control.find_holder()

    def test_restarted_holder_claims_without_waiting_for_its_lease(self) -> None:
        again = MemberParts("m1", self.engine, self.peers, run="second")
        again.control.find_holder()
        assert [scheduler.token for scheduler in again.schedulers] == [
            2 * TOKENS_PER_CLAIM
        ]

    def test_other_member_claims_once_the_holder_replies_as_a_new_process(
        self,
    ) -> None:
        MemberParts("m1", self.engine, self.peers, run="second")
        other = MemberParts("m2", self.engine, self.peers)
        other.control.follow()
        assert other.schedulers == []
        other.control.follow()
        assert [scheduler.token for scheduler in other.schedulers] == [
            2 * TOKENS_PER_CLAIM
        ]

    def test_restarted_holder_that_claims_meanwhile_is_not_taken_for_the_former(
        self,
    ) -> None:
        # With a slow store the former holder, back as a new process, claims between its
        # reply to a heartbeat and the reading of the record.
        again = MemberParts("m1", self.engine, self.peers, run="second")
        other = MemberParts("m2", self.engine, self.peers)
        other.cell.set_roster((other.address,))
        other.control.follow()
        read = other.store.read

        def read_late(key: str, timeout_s: float) -> Entry | None:
            if not again.schedulers:
                again.control.find_holder()
            return read(key, timeout_s)

        other.store.read = read_late  # type: ignore[method-assign]
        other.control.follow()
        assert [scheduler.token for scheduler in again.schedulers] == [
            2 * TOKENS_PER_CLAIM
        ]
        assert other.schedulers == []

    def test_newly_found_holder_is_contacted_at_once(self) -> None:
        other = MemberParts("m2", self.engine, self.peers)
        recorder = WaitRecorder(rounds=3)
        other.control.stopping = recorder
        other.control.run()
        assert len(recorder.waits) < 3
