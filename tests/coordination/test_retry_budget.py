"""Tests of the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.retry_budget import RetryBudget

SHARE = 0.1
WINDOW_S = 10.0
FLOOR_PER_S = 1.0


class TestRetryBudget:
    def test_refuses_when_empty_and_refills_by_the_floor(self) -> None:
        clock = ManualClock()
        budget = RetryBudget(clock, SHARE, FLOOR_PER_S, WINDOW_S)
        granted = sum(budget.try_retry() for _ in range(100))
        assert granted == FLOOR_PER_S * WINDOW_S
        clock.advance(2.0)
        assert [budget.try_retry() for _ in range(3)] == [True, True, False]

    @pytest.mark.parametrize("retries_per_fresh", [1, 10])
    def test_backlog_cannot_raise_retries_above_the_share(
        self, retries_per_fresh: int
    ) -> None:
        clock = ManualClock()
        budget = RetryBudget(clock, SHARE, FLOOR_PER_S, WINDOW_S)
        fresh_per_s, seconds = 100, 60
        granted = 0
        for _ in range(fresh_per_s * seconds):
            clock.advance(1.0 / fresh_per_s)
            budget.record_fresh()
            granted += sum(budget.try_retry() for _ in range(retries_per_fresh))
        burst = FLOOR_PER_S * WINDOW_S
        most = burst + seconds * (FLOOR_PER_S + SHARE * fresh_per_s)
        assert granted <= most + 1
        assert granted >= 0.9 * SHARE * fresh_per_s * seconds

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 5.0), st.integers(0, 5), st.integers(0, 20)),
            max_size=40,
        )
    )
    def test_never_grants_more_than_was_earned(
        self, steps: list[tuple[float, int, int]]
    ) -> None:
        clock = ManualClock()
        budget = RetryBudget(clock, SHARE, FLOOR_PER_S, WINDOW_S)
        earned = FLOOR_PER_S * WINDOW_S
        granted = 0
        for elapsed_s, fresh, retries in steps:
            clock.advance(elapsed_s)
            earned += elapsed_s * FLOOR_PER_S + fresh * SHARE
            for _ in range(fresh):
                budget.record_fresh()
            granted += sum(budget.try_retry() for _ in range(retries))
            assert granted <= earned + 1e-6
