"""Tests of the usage summaries that members exchange."""

import random
from concurrent.futures import Future
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, MemberId, ShardId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_daemon.peers import PeerMessage
from gooseberrydeck_daemon.settings import PeerAddress
from gooseberrydeck_daemon.usage import (
    ShardUsage,
    UsageTable,
    UsageTask,
    pack_resources,
)
from gooseberrydeck_daemon.views import StaticMembership

TEAM = TeamName("hall-managers")
SMALL = Resources(1_000, 1_024, 0)
LARGE = Resources(64_000, 131_072, 0)


def usage(
    shard: int,
    epoch: int = 1,
    sequence: int = 1,
    free: Resources = LARGE,
    waiting: int = 0,
    used: Resources = SMALL,
) -> ShardUsage:
    return ShardUsage(
        ShardId(shard),
        Epoch(epoch),
        sequence,
        pack_resources(LARGE),
        pack_resources(free),
        pack_resources(free),
        waiting,
        {TEAM: pack_resources(used)},
    )


class FakePeers:
    """Record the messages sent to each member."""

    def __init__(self) -> None:
        self.sent: dict[MemberId, list[PeerMessage]] = {}

    def send(self, member: MemberId, message: PeerMessage) -> bool:
        self.sent.setdefault(member, []).append(message)
        return True

    def request(
        self, member: MemberId, message: PeerMessage, timeout_s: float
    ) -> Future[Any]:
        raise NotImplementedError


class TestUsageTable:
    @given(st.permutations([(1, 1), (1, 2), (2, 1), (2, 2), (1, 9)]))
    def test_keeps_the_newest_summary_in_any_order(
        self, versions: list[tuple[int, int]]
    ) -> None:
        table = UsageTable(random.Random(1))
        for epoch, sequence in versions:
            table.observe([usage(0, epoch, sequence)])
        assert table.shards[ShardId(0)].version == (2, 2)

    def test_sums_the_other_shards(self) -> None:
        table = UsageTable(random.Random(1))
        table.observe([usage(0), usage(1), usage(2)])
        other_shards = table.of_other_shards({ShardId(1)})
        assert other_shards.capacity == LARGE + LARGE
        assert other_shards.teams == {TEAM: SMALL + SMALL}

    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (usage(0), usage(1, free=NO_RESOURCES)),
            (usage(0), usage(1, waiting=5)),
            (
                usage(0, free=NO_RESOURCES, waiting=1),
                usage(1, free=NO_RESOURCES, waiting=90),
            ),
        ],
    )
    def test_chooses_the_shard_with_more_free_capacity(
        self, first: ShardUsage, second: ShardUsage
    ) -> None:
        table = UsageTable(random.Random(1))
        table.observe([first, second])
        chosen = {table.choose_shard(SMALL, 1) for _ in range(20)}
        assert chosen == {ShardId(0)}

    def test_returns_none_if_no_shard_is_large_enough(self) -> None:
        table = UsageTable(random.Random(1))
        table.observe([usage(0)])
        assert table.choose_shard(Resources(64_001, 1, 0), 1) is None
        assert table.choose_shard(SMALL, 1, excluded={ShardId(0)}) is None


class TestUsageTask:
    def make_task(self, members: int) -> tuple[UsageTask, FakePeers, ManualClock]:
        clock = ManualClock()
        peers = FakePeers()
        addresses = [
            PeerAddress(
                member=MemberId(f"m{number}"),
                address="127.0.0.1",
                port=7000 + number,
                public_key="",
            )
            for number in range(members)
        ]
        membership = StaticMembership(addresses, MemberId("m0"))
        self.waiting = 0
        self.sequence = 0

        def summaries() -> list[ShardUsage]:
            self.sequence += 1
            return [usage(0, sequence=self.sequence, waiting=self.waiting)]

        table = UsageTable(random.Random(1))
        return UsageTask(summaries, table, peers, membership, clock), peers, clock

    def test_change_is_sent_once_to_every_peer(self) -> None:
        task, peers, clock = self.make_task(5)
        for _ in range(8):
            clock.advance(0.25)
            task.tick()
        assert {member: len(sent) for member, sent in peers.sent.items()} == {
            MemberId(f"m{number}"): 1 for number in range(1, 5)
        }

    def test_stays_within_the_bandwidth_budget_under_constant_change(self) -> None:
        task, peers, clock = self.make_task(30)
        seconds = 120
        for self.waiting in range(seconds * 4):
            clock.advance(0.25)
            task.tick()
        messages = sum(len(sent) for sent in peers.sent.values())
        assert messages * 80 <= 1_000 * seconds + 8_000
        assert len(peers.sent) == 29
