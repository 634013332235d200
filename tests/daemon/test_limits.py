"""Tests of the task that transfers units of team limits between members."""

import random
from concurrent.futures import Future
from itertools import pairwise
from typing import Any

import msgspec
import pytest

from gooseberrydeck_configuration.objects import Configuration, Limit, Team
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import (
    CellName,
    ConfigurationNumber,
    Epoch,
    MemberId,
    Revision,
    ShardId,
    TeamName,
)
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.ownership import OwnedShard, OwnershipView
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_coordination.roster import Seat
from gooseberrydeck_coordination.shards import ShardRecord
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_coordination.timing import Timing
from gooseberrydeck_daemon.limits import LimitsTask, UnitsRequest
from gooseberrydeck_daemon.limits.demand import DemandTracker
from gooseberrydeck_daemon.limits.messages import MemberOffers
from gooseberrydeck_daemon.limits.offers import OfferCollector
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.peers import Inbound, PeerMessage, PeerTimeoutError
from gooseberrydeck_daemon.views import ConfigurationHolder
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TEAM = TeamName("segreteria")
KEYS = StoreKeys(CellName("lauree"))
STEP_S = 0.05
REQUEST_TIMEOUT_S = 3.0
NO_QUARANTINE = Quarantine(Timing(), claimed_s=0.0, has_predecessor=False)


class FakeOwnership:
    """Ownership that is set by the test."""

    def __init__(self, clock: ManualClock, member: MemberId) -> None:
        self.clock = clock
        self.member = member
        self.owners: dict[ShardId, MemberId] = {}
        self.revisions: dict[ShardId, Revision] = {}

    def view(self) -> OwnershipView:
        owned = {
            shard: OwnedShard(
                shard, Epoch(1), self.revisions[shard], float("inf"), NO_QUARANTINE
            )
            for shard, owner in self.owners.items()
            if owner == self.member
        }
        return OwnershipView(self.clock, self.member, owned, self.owners)


class FakePeers:
    """Deliver requests to the tasks of other members, or fail them."""

    def __init__(self, cell: "Cell", member: MemberId) -> None:
        self.cell = cell
        self.member = member

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        raise NotImplementedError

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        self.cell.messages += 1
        future: Future[Any] = Future()
        if member in self.cell.unresponsive:
            future.set_exception(PeerTimeoutError("no answer"))
            return future
        inbound = Inbound(self.member, message, future.set_result)
        self.cell.tasks[member].receive_request(inbound)
        return future


class Cell:
    """Members with a limits task each, sharing one store."""

    def __init__(self, members: int, shards: int, limit: int) -> None:
        self.clock = ManualClock()
        self.engine = StoreEngine(self.clock)
        self.names = [MemberId(f"padova-{number}") for number in range(members)]
        self.unresponsive: set[MemberId] = set()
        self.messages = 0
        self.released_at_next_step: list[ShardId] = []
        self.owners = {
            ShardId(shard): self.names[shard % members] for shard in range(shards)
        }
        self.configuration = ConfigurationHolder()
        self.publish(1, limit)
        self.revisions: dict[ShardId, Revision] = {}
        self.tasks: dict[MemberId, LimitsTask] = {}
        self.stores: dict[MemberId, EngineStore] = {}
        for name in self.names:
            self.add(name, shards)
        for shard, owner in self.owners.items():
            record = ShardRecord(Seat(owner, "run-1"), Epoch(1), 10.0, 10.0)
            put = Put(KEYS.shard(shard), msgspec.json.encode(record))
            result = EngineStore(self.engine).commit(Transaction((), (put,)), 1.0)
            self.revisions[shard] = result.revision

    def add(self, name: MemberId, shards: int) -> None:
        ownership = FakeOwnership(self.clock, name)
        ownership.owners = self.owners
        ownership.revisions = self.revisions
        self.stores[name] = EngineStore(self.engine, waits=False)
        self.tasks[name] = LimitsTask(
            self.stores[name],
            self.clock,
            KEYS,
            shards,
            10.0,
            ownership,
            self.configuration,
            FakePeers(self, name),
            InMemoryMetrics(),
        )

    def publish(self, number: int, limit: int) -> None:
        self.configuration.offer(
            Configuration(
                ConfigurationNumber(number),
                teams=(Team(TEAM),),
                limits=(Limit(TEAM, limit),),
            )
        )

    def step(self, count: int = 1) -> None:
        """Advance the clock, drain all inboxes and deliver the stored records."""
        for _ in range(count):
            self.clock.advance(STEP_S)
            for shard in self.released_at_next_step:
                self.tasks[self.owners[shard]].admission.release(TEAM, shard)
            self.released_at_next_step.clear()
            for task in self.tasks.values():
                while not task.inbox.empty():
                    task.run_once(0.0)
                task.tick()
            for name, task in self.tasks.items():
                if self.stores[name].fault is CallFault.NONE:
                    task.controller.refresh_all()

    def shuffle(self, draw: random.Random) -> None:
        """Run the tasks in another order from now on."""
        names = list(self.tasks)
        draw.shuffle(names)
        self.tasks = {name: self.tasks[name] for name in names}

    def release_at_next_step(self, shard: ShardId) -> None:
        """Release one admitted unit after the clock has advanced once more."""
        self.released_at_next_step.append(shard)

    def running(self) -> int:
        return sum(
            use.running.get(TEAM, 0)
            for task in self.tasks.values()
            for use in task.ledger.shards.values()
        )

    def admit_all(self, shard: ShardId, units: int) -> int:
        admission = self.tasks[self.owners[shard]].admission
        return sum(admission.try_admit(TEAM, shard) for _ in range(units))


class TestLimitsTask:
    @pytest.mark.parametrize("members", [7, 30])
    def test_cold_start_with_all_demand_at_one_member(self, members: int) -> None:
        limit = 240
        cell = Cell(members, members * 2, limit)
        cell.step(3)
        admitted = 0
        started_s = cell.clock.monotonic()
        while admitted < 0.95 * limit:
            admitted += cell.admit_all(ShardId(0), limit - admitted)
            cell.step()
            assert cell.running() <= limit
            assert cell.clock.monotonic() - started_s < 3.0

    def test_store_outage_leaves_the_slices_usable(self) -> None:
        cell = Cell(4, 8, 80)
        cell.step(3)
        for store in cell.stores.values():
            store.fault = CallFault.DOWN
        assert cell.admit_all(ShardId(3), 80) == 10
        cell.step(20)
        assert cell.admit_all(ShardId(3), 80) == 0
        for store in cell.stores.values():
            store.fault = CallFault.NONE
        for _ in range(60):
            cell.admit_all(ShardId(3), 80 - cell.running())
            cell.step()
        assert cell.running() >= 0.95 * 80

    def test_unaccepted_offers_return_to_the_donor(self) -> None:
        cell = Cell(2, 2, 20)
        cell.step(3)
        asker = cell.tasks[cell.names[0]]
        request = asker.controller.requests_for(TEAM, ShardId(0), 10)
        answers: list[Any] = []
        message = UnitsRequest(request)
        inbound = Inbound(cell.names[0], message, answers.append)
        cell.tasks[cell.names[1]].receive_request(inbound)
        cell.step()
        assert answers[0].offers[0].units == 10
        assert cell.admit_all(ShardId(1), 1) == 0
        cell.step(60)
        assert cell.admit_all(ShardId(1), 10) == 10

    def test_unresponsive_member_does_not_block_others(self) -> None:
        cell = Cell(4, 8, 80)
        cell.step(3)
        cell.unresponsive.add(cell.names[2])
        for _ in range(40):
            cell.admit_all(ShardId(0), 80 - cell.running())
            cell.step()
        assert cell.running() == 60

    def test_saturated_team_sends_few_messages(self) -> None:
        cell = Cell(7, 14, 14)
        cell.step(3)
        for shard in cell.owners:
            cell.admit_all(shard, 5)
        cell.step(60)
        cell.messages = 0
        seconds = 60
        for _ in range(int(seconds / STEP_S)):
            cell.admit_all(ShardId(0), 1)
            cell.step()
        assert cell.messages <= seconds

    @pytest.mark.parametrize("seed", range(6))
    def test_callers_within_the_limit_are_served_in_time(self, seed: int) -> None:
        draw = random.Random(seed)
        cell = Cell(4, 16, 8)
        cell.step(3)
        waiting = {caller: ShardId(draw.randrange(16)) for caller in range(4)}
        since_s = dict.fromkeys(waiting, cell.clock.monotonic())
        for _ in range(1_200):
            cell.shuffle(draw)
            held = [shard for shard in waiting.values() if cell.admit_all(shard, 1)]
            for caller, shard in list(waiting.items()):
                now_s = cell.clock.monotonic()
                if shard in held:
                    held.remove(shard)
                    cell.release_at_next_step(shard)
                    waiting[caller] = ShardId(draw.randrange(16))
                    since_s[caller] = now_s
                assert now_s - since_s[caller] < REQUEST_TIMEOUT_S
            cell.step()

    def test_outdated_request_is_not_counted_as_a_lack_of_units(self) -> None:
        cell = Cell(2, 2, 20)
        cell.step(3)
        asker, asked = (cell.tasks[name] for name in cell.names)
        requests = asker.controller.requests_for(TEAM, ShardId(0), 10)
        asked.controller.void_offers(TEAM)
        answers: list[Any] = []
        message = UnitsRequest(requests)
        asked.receive_request(Inbound(cell.names[0], message, answers.append))
        while not asked.inbox.empty():
            asked.run_once(0.0)
        future: Future[Any] = Future()
        future.set_result(answers[0])
        gathered: list[tuple[MemberOffers, ...]] = []
        OfferCollector(1, gathered.append).add_reply(cell.names[1], future)
        assert gathered == [(MemberOffers(cell.names[1], None),)]

    def test_lower_limit_applies_at_the_next_tick(self) -> None:
        cell = Cell(4, 4, 80)
        cell.step(3)
        cell.publish(2, 8)
        cell.step()
        assert sum(cell.admit_all(shard, 80) for shard in cell.owners) <= 8


class TestDemandTracker:
    def test_backoff_doubles_for_a_member_without_units(self) -> None:
        clock = ManualClock()
        tracker = DemandTracker(clock)
        member = MemberId("torino-1")
        requested_at_s = []
        for _ in range(600):
            clock.advance(0.1)
            if tracker.choose_members(TEAM, [member]):
                requested_at_s.append(clock.monotonic())
                tracker.record_reply(TEAM, member, has_offered=False)
        pauses = [later - earlier for earlier, later in pairwise(requested_at_s)]
        assert pauses[:5] == pytest.approx([0.5, 1.0, 2.0, 4.0, 8.0], abs=0.11)

    def test_request_rate_is_bounded(self) -> None:
        clock = ManualClock()
        tracker = DemandTracker(clock)
        members = [MemberId(f"torino-{number}") for number in range(8)]
        asked = 0
        for _ in range(1_000):
            clock.advance(0.01)
            asked += len(tracker.choose_members(TEAM, members))
        assert asked <= 64 + 20 * 10
