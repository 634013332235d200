"""Tests of the schedule of polls to workers and of hedging against lost responses."""

import pytest

from gooseberrydeck_member.worker_polling import (
    HEDGE_DELAY_S,
    LOSS_WINDOW_S,
    POLL_RETRY_DELAY_S,
    ResponseLossTracker,
    WorkerPollState,
)


class TestResponseLossTracker:
    def setup_method(self) -> None:
        self.response_losses = ResponseLossTracker()

    def test_single_loss_is_not_common(self) -> None:
        self.response_losses.record_loss(100.0)
        assert not self.response_losses.are_common(100.0)

    @pytest.mark.parametrize(("later_s", "expected"), [(0.1, True), (9.9, True)])
    def test_two_losses_are_common_for_a_while(
        self, later_s: float, expected: bool
    ) -> None:
        self.response_losses.record_loss(100.0)
        self.response_losses.record_loss(100.0)
        assert self.response_losses.are_common(100.0 + later_s) is expected
        assert not self.response_losses.are_common(100.0 + LOSS_WINDOW_S)

    def test_losses_far_apart_are_not_common(self) -> None:
        for number in range(20):
            self.response_losses.record_loss(100.0 + number * LOSS_WINDOW_S)
        assert not self.response_losses.are_common(100.0 + 19 * LOSS_WINDOW_S)


class TestWorkerPollState:
    def setup_method(self) -> None:
        self.poll_state = WorkerPollState()
        self.poll_state.poll_sent(100.0)

    def test_one_poll_is_in_flight_at_a_time(self) -> None:
        assert not self.poll_state.is_due(105.0, is_lossy=False)

    def test_hedged_poll_follows_while_responses_are_lost(self) -> None:
        assert not self.poll_state.is_due(100.0, is_lossy=True)
        assert self.poll_state.is_due(100.0 + HEDGE_DELAY_S, is_lossy=True)
        self.poll_state.poll_sent(100.0 + HEDGE_DELAY_S)
        assert not self.poll_state.is_due(105.0, is_lossy=True)

    def test_first_failed_poll_is_retried_at_once(self) -> None:
        self.poll_state.poll_failed(101.0, is_refused=False)
        assert self.poll_state.is_due(101.0, is_lossy=False)

    def test_repeated_failures_delay_the_next_poll(self) -> None:
        self.poll_state.poll_failed(101.0, is_refused=False)
        self.poll_state.poll_sent(101.0)
        self.poll_state.poll_failed(102.0, is_refused=False)
        assert not self.poll_state.is_due(102.0, is_lossy=False)
        assert self.poll_state.is_due(102.0 + POLL_RETRY_DELAY_S, is_lossy=False)

    def test_success_after_one_failure_reports_a_lost_response(self) -> None:
        self.poll_state.poll_failed(101.0, is_refused=False)
        self.poll_state.poll_sent(101.0)
        assert self.poll_state.poll_succeeded()
        self.poll_state.poll_sent(102.0)
        assert not self.poll_state.poll_succeeded()

    def test_success_after_several_failures_reports_no_lost_response(self) -> None:
        for number in range(3):
            self.poll_state.poll_failed(101.0 + number, is_refused=False)
            self.poll_state.poll_sent(101.0 + number)
        assert not self.poll_state.poll_succeeded()

    def test_consecutive_answers_of_another_process_are_counted(self) -> None:
        for _ in range(2):
            self.poll_state.poll_failed(101.0, is_refused=True, is_replaced=True)
            self.poll_state.poll_sent(101.0)
        assert self.poll_state.replacements == 2
        self.poll_state.poll_failed(101.0, is_refused=True)
        assert self.poll_state.replacements == 0
        self.poll_state.poll_failed(101.0, is_refused=True, is_replaced=True)
        self.poll_state.poll_sent(101.0)
        self.poll_state.poll_succeeded()
        assert self.poll_state.replacements == 0

    def test_lost_poll_leaves_the_hedged_poll_in_flight(self) -> None:
        self.poll_state.poll_sent(100.5)
        self.poll_state.poll_ignored()
        assert self.poll_state.calls_in_flight == 1
        assert not self.poll_state.poll_succeeded()


class TestAcknowledgement:
    def setup_method(self) -> None:
        self.poll_state = WorkerPollState()
        self.answer(born_ms=1_000)
        assert self.poll_state.ends_stored(1_000, 57)

    def answer(self, born_ms: int) -> None:
        self.poll_state.poll_sent(100.0)
        self.poll_state.poll_succeeded()
        self.poll_state.reply_received(born_ms, True, 100.0)

    def test_later_end_is_acknowledged_as_well(self) -> None:
        self.answer(1_000)
        assert self.poll_state.ends_stored(1_000, 58)
        assert self.poll_state.last_seen(1_000) == 58

    # Guards against a poll to a former process whose number hides ends of the present
    # one: TWICE, issue 34.
    def test_nothing_is_acknowledged_once_the_ends_are_discarded(self) -> None:
        self.poll_state.ends_listed(57)
        assert self.poll_state.last_seen(1_000) == 57
        self.poll_state.ends_listed(58)
        assert self.poll_state.last_seen(1_000) == 0
        assert self.poll_state.ends_stored(1_000, 58)
        assert self.poll_state.last_seen(1_000) == 58
        self.poll_state.ends_listed(0)
        assert self.poll_state.last_seen(1_000) == 0

    def test_ends_that_are_listed_again_are_acknowledged_again(self) -> None:
        # A reply may have been overtaken by a later one.
        self.poll_state.ends_listed(0)
        self.poll_state.ends_listed(56)
        assert self.poll_state.last_seen(1_000) == 57

    @pytest.mark.parametrize("is_refused", [False, True])
    def test_nothing_is_acknowledged_between_a_failure_and_a_reply(
        self, is_refused: bool
    ) -> None:
        # Guards against a number that reaches the process after a restart.
        self.poll_state.poll_sent(101.0)
        self.poll_state.poll_failed(102.0, is_refused=is_refused)
        assert self.poll_state.last_seen(1_000) == 0
        self.answer(1_000)
        assert self.poll_state.last_seen(1_000) == 57

    def test_nothing_is_acknowledged_to_another_process(self) -> None:
        self.answer(2_000)
        assert self.poll_state.last_seen(2_000) == 0
        assert not self.poll_state.ends_stored(1_000, 58)

    def test_nothing_is_acknowledged_once_a_later_process_is_registered(self) -> None:
        # Guards against a restart that no poll has noticed yet.
        assert self.poll_state.last_seen(2_000) == 0

    def test_registration_without_a_start_time_is_no_restart(self) -> None:
        assert self.poll_state.last_seen(0) == 57
