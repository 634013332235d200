"""Tests of the soak schedule, and short soak runs with seeds that have failed."""

from pathlib import Path

import pytest

from soak.faults import KINDS, WORKER_KINDS, draw_schedule
from soak.run import run_seed

FAILED_SEEDS = {
    1: "a worker that was killed behind a proxy kept its runs for ever",
    27: "a former holder that lived started a job that was stored after the claim",
}
"""Seeds that have failed before, and the cause of each failure."""

CRASH_SEED = 307
LENGTH_S = 6.0


class TestSchedule:
    def test_same_seed_draws_the_same_faults(self) -> None:
        assert draw_schedule(5, 10.0) == draw_schedule(5, 10.0)

    @pytest.mark.parametrize("with_crashes", [False, True])
    def test_every_fault_kind_is_drawn(self, with_crashes: bool) -> None:
        drawn = {
            fault.kind
            for seed in range(1, 51)
            for fault in draw_schedule(seed, 10.0, with_crashes)
        }
        assert drawn == set(WORKER_KINDS if with_crashes else KINDS)


class TestSoak:
    @pytest.mark.parametrize("seed", FAILED_SEEDS)
    def test_guarantees_hold_for_failed_seeds(self, seed: int, tmp_path: Path) -> None:
        report = run_seed(seed, tmp_path, LENGTH_S)
        assert report.broken == []
        assert report.accepted > 0

    def test_guarantees_hold_while_tasks_crash_workers(self, tmp_path: Path) -> None:
        report = run_seed(CRASH_SEED, tmp_path, LENGTH_S, with_crashes=True)
        assert report.broken == []
        assert report.accepted > 0
