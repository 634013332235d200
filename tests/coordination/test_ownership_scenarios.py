"""Tests of ownership under single faults, one for each mechanism."""

from collections.abc import Callable

import pytest

from coordination.ownership_fakes import KEYS, FakeCluster, FakeProcess
from gooseberrydeck_coordination import Timing
from gooseberrydeck_coordination.ids import ShardId, TaskId
from gooseberrydeck_coordination.roster_planner import declare_dead
from gooseberrydeck_standins.faults import CallFault

SHARD = ShardId(0)
TASK = TaskId("t0/0/0")
OUTAGE_S = 60.0


def start_cluster(members: int = 5, **options: frozenset[int]) -> FakeCluster:
    """Return a cluster in which every task runs and the roster is settled."""
    cluster = FakeCluster(members=members, **options)  # type: ignore[arg-type]
    cluster.advance(12.0)
    assert cluster.running() == cluster.all_tasks()
    return cluster


def isolate(cluster: FakeCluster, inside: list[str], worker: str) -> None:
    """Partition members and a worker from the store and the other members."""
    outside = set(cluster.processes) - set(inside)
    for name in inside:
        cluster.cut_store(name)
        cluster.cut(name, *outside)
    cluster.cut(worker, *outside)


class TestPartitionedOwner:
    """An old owner that still reaches its worker while a new owner takes over."""

    def test_owner_partitioned_with_its_worker_loses_authority(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        worker = cluster.hosts_running(TASK)[0]
        isolate(cluster, [owner.name], worker)
        cluster.advance(40.0)
        assert not owner.coordinator.view().may_act(SHARD)
        assert cluster.owner(SHARD) is not owner
        assert cluster.hosts_running(TASK) not in ([worker], [])

    def test_successor_waits_while_old_owner_has_a_majority(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        others = [name for name in cluster.processes if name != owner.name]
        worker = cluster.hosts_running(TASK)[0]
        isolate(cluster, [owner.name, *others[:2]], worker)
        cluster.advance(OUTAGE_S)
        assert cluster.owner(SHARD) is not owner
        assert owner.coordinator.view().may_act(SHARD)
        assert cluster.hosts_running(TASK) == [worker]

    def test_peers_that_know_of_the_claim_refuse_the_old_owner(self) -> None:
        """The old owner and the new one are connected only through these peers."""
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        others = [name for name in cluster.processes if name != owner.name]
        worker = cluster.hosts_running(TASK)[0]
        cluster.cut_store(owner.name)
        cluster.cut(owner.name, *others[2:])
        cluster.cut(worker, *others)
        for name in others[:2]:
            cluster.processes[name].rounds.balance.claims_from_s = float("inf")
        cluster.advance(40.0)
        assert cluster.owner(SHARD).name in others[2:]
        assert not owner.coordinator.view().may_act(SHARD)
        assert cluster.hosts_running(TASK) not in ([worker], [])

    def test_new_members_do_not_outvote_a_partitioned_majority(self) -> None:
        """Joining members must not outvote a majority that is only partitioned."""
        cluster = start_cluster(members=3)
        owner = cluster.owner(SHARD)
        other = next(name for name in cluster.processes if name != owner.name)
        worker = cluster.hosts_running(TASK)[0]
        isolate(cluster, [owner.name, other], worker)
        for name in ("x0", "x1", "x2", "x3"):
            cluster.start(name)
            cluster.cut(name, owner.name, other, worker)
        cluster.advance(2 * OUTAGE_S)
        assert owner.coordinator.view().may_act(SHARD)
        assert cluster.hosts_running(TASK) == [worker]

    def test_operator_declares_a_lost_majority_dead(self) -> None:
        cluster = start_cluster(members=3)
        owner = cluster.owner(SHARD)
        names = list(cluster.processes)
        survivor = next(name for name in names if name != owner.name)
        worker = cluster.hosts_running(TASK)[0]
        dead = [cluster.processes[name] for name in names if name != survivor]
        for process in dead:
            cluster.kill(process.name)
        cluster.cut(worker, survivor)
        cluster.advance(OUTAGE_S)
        assert cluster.hosts_running(TASK) == []
        seats = {process.coordinator.record.seat for process in dead}
        store = cluster.processes[survivor].store
        assert declare_dead(store, KEYS, seats, timeout_s=1.0) is not None
        cluster.advance(30.0)
        assert len(cluster.hosts_running(TASK)) == 1

    def test_worker_without_fence_has_one_acting_owner(self) -> None:
        cluster = start_cluster(unfenced=frozenset({0, 1}))
        owner = cluster.owner(SHARD)
        others = [name for name in cluster.processes if name != owner.name]
        for name in (owner.name, *others[:2]):
            cluster.cut_store(name)
            cluster.cut(name, *others[2:])
        cluster.advance(OUTAGE_S)
        assert owner.coordinator.view().may_act(SHARD)
        cluster.network.cut.clear()
        cluster.advance(30.0)
        assert not owner.coordinator.view().may_act(SHARD)
        assert len(cluster.hosts_running(TASK)) == 1


Fault = Callable[[FakeCluster, FakeProcess], None]


def no_fault(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Inject no fault."""


def store_down(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Stop the store for every member."""
    cluster.set_store(CallFault.DOWN)


def store_answers_lost(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Lose every answer of the store after the call took effect."""
    cluster.set_store(CallFault.ANSWER_LOST)


def no_peers(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Cut the owner off from every other member."""
    cluster.cut(owner.name, *(set(cluster.processes) - {owner.name}))


def store_down_and_no_peers(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Stop the store and cut the owner off from every other member."""
    store_down(cluster, owner)
    no_peers(cluster, owner)


def store_down_and_minority(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Stop the store and cut the owner off from all peers but one of four."""
    store_down(cluster, owner)
    others = sorted(set(cluster.processes) - {owner.name})
    cluster.cut(owner.name, *others[1:])


def cut_off_from_store(cluster: FakeCluster, owner: FakeProcess) -> None:
    """Cut the owner off from the store, so that a peer claims the shard."""
    cluster.cut_store(owner.name)


class TestAuthority:
    @pytest.mark.parametrize(
        ("fault", "may_act"),
        [
            (no_fault, True),
            (store_down, True),
            (store_answers_lost, True),
            (no_peers, True),
            (store_down_and_no_peers, False),
            (store_down_and_minority, False),
            (cut_off_from_store, False),
        ],
    )
    def test_owner_acts_only_with_store_or_majority(
        self, fault: Fault, may_act: bool
    ) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        fault(cluster, owner)
        cluster.advance(OUTAGE_S)
        assert owner.coordinator.view().may_act(SHARD) is may_act
        assert (len(cluster.hosts_running(TASK)) == 1) is (
            may_act or cluster.owner(SHARD) is not owner
        )

    def test_paused_owner_has_no_authority_when_it_resumes(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        view = owner.coordinator.view()
        assert view.may_act(SHARD)
        owner.is_paused = True
        cluster.advance(40.0)
        assert not view.may_act(SHARD)
        owner.is_paused = False
        cluster.advance(10.0)
        assert not owner.coordinator.view().may_act(SHARD)

    def test_peer_authority_ends_at_its_limit(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        cluster.set_store(CallFault.DOWN)
        cluster.advance(20.0)
        limit_s = owner.coordinator.timing.peer_authority_limit_s
        owner.coordinator.authority.read_sent_s -= limit_s
        assert not owner.coordinator.view().may_act(SHARD)


class TestTakeover:
    def test_dead_owner_is_replaced_within_session_and_two_seconds(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        cluster.kill(owner.name)
        cluster.advance(cluster.timing.session_ttl_s + 2.0)
        successor = cluster.owner(SHARD)
        assert successor is not owner
        adoptions = successor.adoptions.values()
        assert {each.state.value for each in adoptions} == {"adopted"}

    def test_owners_stay_after_an_outage_longer_than_every_lease(self) -> None:
        cluster = start_cluster()
        before = [cluster.owner(shard) for shard in (0, 1)]
        cluster.set_store(CallFault.DOWN)
        cluster.advance(OUTAGE_S)
        for process in cluster.processes.values():
            process.store.fault = CallFault.NONE
            cluster.advance(1.0)
        cluster.advance(20.0)
        assert [cluster.owner(shard) for shard in (0, 1)] == before

    def test_planned_stop_hands_over_without_a_quarantine(self) -> None:
        cluster = start_cluster()
        owner = cluster.owner(SHARD)
        owner.coordinator.begin_leaving()
        cluster.advance(10.0)
        assert owner.coordinator.has_left
        successor = cluster.owner(SHARD)
        quarantine = successor.coordinator.claimed_shards[SHARD].quarantine
        assert quarantine.is_clean
        assert quarantine.predecessor_stopped_s == quarantine.claimed_s

    def test_leaving_member_releases_one_shard_at_a_time(self) -> None:
        cluster = FakeCluster(members=1, shards=3, workers_per_shard=1)
        cluster.advance(6.0)
        leaving = cluster.processes["m0"].coordinator
        cluster.start("m1")
        cluster.advance(2.0)
        leaving.begin_leaving()
        for left in (2, 1, 0):
            cluster.step()
            releasing = [
                n for n, h in leaving.claimed_shards.items() if h.release_s is not None
            ]
            assert len(releasing) == 1
            leaving.mark_idle(releasing[0], leaving.claimed_shards[releasing[0]].epoch)
            cluster.step()
            assert len(leaving.claimed_shards) == left
        cluster.advance(4.0)
        assert len(cluster.processes["m1"].coordinator.claimed_shards) == 3
        assert cluster.running() == cluster.all_tasks()

    def test_all_members_leave_at_once(self) -> None:
        cluster = start_cluster(members=3)
        for process in cluster.processes.values():
            process.coordinator.begin_leaving()
        cluster.advance(10.0)
        assert all(each.coordinator.has_left for each in cluster.processes.values())

    def test_all_members_are_replaced_one_by_one(self) -> None:
        cluster = start_cluster(members=3)
        for name in list(cluster.processes):
            cluster.processes[name].coordinator.begin_leaving()
            cluster.start(f"{name}-new")
            cluster.advance(15.0)
            cluster.kill(name)
            assert cluster.running() == cluster.all_tasks()
        roster = cluster.owner(SHARD).coordinator.attestor.roster
        assert roster is not None
        assert [seat.member for seat in roster.seats] == ["m0-new", "m1-new", "m2-new"]

    def test_all_members_die_at_once(self) -> None:
        cluster = start_cluster(members=3)
        for name in list(cluster.processes):
            cluster.kill(name)
        for name in ("n0", "n1", "n2"):
            cluster.start(name)
        cluster.advance(15.0)
        assert cluster.running() == cluster.all_tasks()


class TestBalance:
    def test_long_cold_start_keeps_shards_balanced(self) -> None:
        timing = Timing(cold_start_s=6.0, fallback_claim_s=3.0)
        cluster = FakeCluster(members=4, shards=8, timing=timing)
        cluster.advance(8.0)
        assert owned_shard_counts(cluster) == {"m0": 2, "m1": 2, "m2": 2, "m3": 2}

    def test_members_that_start_slowly_get_their_shards_soon(self) -> None:
        # Without a quick move, the late members would wait for ``imbalance_hold_s``.
        cluster = FakeCluster(members=2, shards=4, workers_per_shard=1)
        cluster.advance(4.0)
        assert owned_shard_counts(cluster) == {"m0": 2, "m1": 2}
        for name in ("m2", "m3"):
            cluster.start(name)
        cluster.advance(20.0)
        assert set(owned_shard_counts(cluster).values()) == {1}

    def test_shards_are_shared_from_the_start_and_move_slowly(self) -> None:
        cluster = FakeCluster(members=4, shards=8, workers_per_shard=1)
        cluster.advance(10.0)
        assert owned_shard_counts(cluster) == {"m0": 2, "m1": 2, "m2": 2, "m3": 2}
        cluster.kill("m3")
        cluster.start("m4")
        cluster.advance(14.0)
        assert sum(owned_shard_counts(cluster).values()) == 8
        assert max(owned_shard_counts(cluster).values()) <= 3
        cluster.start("m5")
        cluster.advance(20.0)
        assert owned_shard_counts(cluster)["m5"] == 0
        cluster.advance(40.0)
        assert owned_shard_counts(cluster)["m5"] >= 1
        assert max(owned_shard_counts(cluster).values()) <= 2


def owned_shard_counts(cluster: FakeCluster) -> dict[str, int]:
    """Return the number of shards that each running process owns."""
    return {
        name: len(process.coordinator.claimed_shards)
        for name, process in cluster.processes.items()
        if process.is_alive
    }
