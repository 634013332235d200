"""Tests of the checks of the run ledger."""

import pytest

from gooseberrydeck_coordination.ids import HostName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_standins.ledger import Ledger, Run

ONE = Resources(1_000, 512)


def run(
    task: str,
    started_s: float,
    ended_s: float | None,
    host: str = "w0",
    team: str = "reviews",
    succeeded: bool = False,
) -> Run:
    return Run(task, HostName(host), TeamName(team), ONE, started_s, ended_s, succeeded)


class TestLedger:
    @pytest.mark.parametrize(
        ("runs", "twice", "overlapping", "succeeded_twice"),
        [
            ([run("j/0/1", 0, 1), run("j/1/1", 0, 1)], [], [], []),
            ([run("j/0/1", 0, 1), run("j/0/2", 1, 2)], [], [], []),
            ([run("j/0/1", 0, 2), run("j/0/2", 1, 3, "w1")], [], ["j/0"], []),
            ([run("j/0/1", 0, None), run("j/0/2", 9, None)], [], ["j/0"], []),
            ([run("j/0/1", 0, 1), run("j/0/1", 5, 6, "w1")], ["j/0/1"], [], []),
            (
                [
                    run("j/0/1", 0, 1, succeeded=True),
                    run("j/0/2", 5, 6, succeeded=True),
                ],
                [],
                [],
                ["j/0"],
            ),
        ],
    )
    def test_finds_repeated_and_concurrent_runs(
        self,
        runs: list[Run],
        twice: list[str],
        overlapping: list[str],
        succeeded_twice: list[str],
    ) -> None:
        ledger = Ledger(runs)
        assert ledger.started_twice() == twice
        assert ledger.overlapping() == overlapping
        assert ledger.succeeded_twice() == succeeded_twice

    def test_finds_hosts_over_capacity(self) -> None:
        ledger = Ledger(
            [
                run("a/0/1", 0, 2, "w0"),
                run("b/0/1", 1, 3, "w0"),
                run("c/0/1", 0, 1, "w1"),
                run("d/0/1", 1, 2, "w1"),
            ]
        )
        capacities = {HostName("w0"): ONE, HostName("w1"): ONE}
        assert ledger.over_capacity(capacities) == ["w0"]

    def test_finds_teams_over_their_limit_across_hosts(self) -> None:
        ledger = Ledger(
            [
                run("a/0/1", 0, 2, "w0"),
                run("b/0/1", 1, 3, "w1"),
                run("c/0/1", 0, 9, "w1", "lookups"),
            ]
        )
        limits = {TeamName("reviews"): 1, TeamName("lookups"): 1}
        assert ledger.over_limit(limits) == ["reviews"]
