"""Tests of the checks of time bounds in a member's settings."""

import pytest

from gooseberrydeck_coordination import Timing
from gooseberrydeck_daemon.checks.timing import find_timing_problems


class TestTimingChecks:
    @pytest.mark.parametrize(
        ("timing", "found"),
        [
            (Timing(), []),
            (Timing(clock_drift=-0.1), ["settings.E015"]),
            (Timing(clock_drift=0.9), ["settings.E015"]),
            (Timing(round_interval_s=0.0), ["settings.E015"]),
            (Timing(attestation_interval_s=2.0), ["settings.E016"]),
            (Timing(task_lease_s=6.0), ["settings.E017"]),
            (Timing(peer_authority_limit_s=1.0), ["settings.E018"]),
        ],
    )
    def test_each_problem_has_its_id(self, timing: Timing, found: list[str]) -> None:
        assert [each.id for each in find_timing_problems(timing)] == found
