"""A state machine test of members under all assumed faults, in any order."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from coordination.ownership_fakes import FakeCluster
from gooseberrydeck_coordination import Timing
from gooseberrydeck_standins.faults import CallFault

MEMBERS = ("m0", "m1", "m2", "m3", "m4")
members = st.sampled_from(MEMBERS)
workers = st.sampled_from(("w0", "w1", "w2", "w3"))
faults = st.sampled_from(
    (CallFault.DOWN, CallFault.REQUEST_LOST, CallFault.ANSWER_LOST)
)
TIMING = Timing(peer_authority_limit_s=60.0)
"""A short limit, so that recovery ends even if a majority was killed at once."""

SECONDS_TO_HEAL = 200.0

TEST_TIMEOUT_S = 600
"""The drawn faults may simulate hours, which takes minutes on a busy machine."""


class OwnershipMachine(RuleBasedStateMachine):
    """Five members, two shards and four workers, of which one may lack fencing.

    After each half second, the cluster checks that no task runs on two workers, that no
    epoch decreases, and that at most one owner may act on a worker without fencing.
    """

    @initialize(unfenced=st.sampled_from((frozenset(), frozenset({1}))))
    def begin(self, unfenced: frozenset[int]) -> None:
        self.cluster = FakeCluster(members=5, unfenced=unfenced, timing=TIMING)
        self.cluster.advance(8.0)
        self.restarts = 0

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 20.0)))
    def wait(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @rule(shard=st.sampled_from((0, 1)), with_workers=st.booleans(), peers=members)
    def isolate_owner(self, shard: int, with_workers: bool, peers: str) -> None:
        """Cut an owner off from the store and from all peers but one.

        With ``with_workers``, its workers are cut off from all other members.
        """
        owner = self.cluster.owner(shard).name
        self.cluster.cut_store(owner)
        self.cluster.cut(owner, *(set(MEMBERS) - {owner, peers}))
        if with_workers:
            others = set(self.cluster.processes) - {owner}
            for name in (f"w{2 * shard}", f"w{2 * shard + 1}"):
                self.cluster.cut(name, *others)

    @rule(
        shard=st.sampled_from((0, 1)),
        friends=st.sampled_from((1, 2)),
        hosts=st.sampled_from(((), (0,), (0, 1))),
    )
    def cut_off_island(self, shard: int, friends: int, hosts: tuple[int, ...]) -> None:
        """Partition an owner, some peers and some workers from the rest for 30 s."""
        owner = self.cluster.owner(shard).name
        others = [name for name in MEMBERS if name != owner]
        outside = others[friends:]
        for name in (owner, *others[:friends]):
            self.cluster.cut_store(name)
            self.cluster.cut(name, *outside)
        for host in hosts:
            self.cluster.cut(f"w{2 * shard + host}", *outside)
        self.cluster.advance(30.0)

    @rule(name=members, fault=faults)
    def cut_store(self, name: str, fault: CallFault) -> None:
        self.cluster.cut_store(name, fault)

    @rule(fault=faults)
    def stop_store(self, fault: CallFault) -> None:
        self.cluster.set_store(fault)

    @rule(one=members, other=members | workers)
    def cut_link(self, one: str, other: str) -> None:
        self.cluster.cut(one, other)

    @rule(one=members, other=members | workers)
    def hold_link(self, one: str, other: str) -> None:
        self.cluster.network.delayed_links.add(frozenset((one, other)))

    @precondition(lambda self: self.cluster.network.delayed_links)
    @rule(data=st.data(), doubled=st.booleans())
    def release_link(self, data: st.DataObject, doubled: bool) -> None:
        links = sorted(self.cluster.network.delayed_links, key=sorted)
        link = data.draw(st.sampled_from(links), label="link")
        self.cluster.network.release(link, doubled)

    @rule(name=members)
    def pause(self, name: str) -> None:
        self.cluster.processes[name].is_paused = True

    @rule(name=members)
    def resume(self, name: str) -> None:
        self.cluster.processes[name].is_paused = False

    @rule(name=members)
    def kill(self, name: str) -> None:
        self.cluster.kill(name)

    @rule(name=members)
    def restart(self, name: str) -> None:
        """Start a killed member again, as a new run without any state."""
        if not self.cluster.processes[name].is_alive:
            self.cluster.start(name)

    @rule(name=members)
    def leave(self, name: str) -> None:
        process = self.cluster.processes[name]
        if process.is_running:
            process.coordinator.begin_leaving()

    @rule()
    def heal_network(self) -> None:
        self.cluster.network.cut.clear()
        self.cluster.network.delayed_links.clear()

    @rule()
    def heal_store(self) -> None:
        self.cluster.set_store(CallFault.NONE)

    def teardown(self) -> None:
        """End all faults and check that every task runs again, exactly once."""
        if not hasattr(self, "cluster"):
            return
        self.heal_network()
        self.heal_store()
        for name, process in list(self.cluster.processes.items()):
            process.is_paused = False
            if not process.is_alive or process.coordinator.is_leaving:
                self.cluster.kill(name)
                self.cluster.start(name)
        self.cluster.advance(SECONDS_TO_HEAL)
        assert self.cluster.running() == self.cluster.all_tasks()


# Shrinking a failing run takes minutes, which exceeds the time limit of a test.
OwnershipMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    phases=(Phase.explicit, Phase.generate),
)


@pytest.mark.timeout(TEST_TIMEOUT_S)
class TestOwnershipMachine(OwnershipMachine.TestCase):  # type: ignore[misc,name-defined]
    """Run the state machine."""
