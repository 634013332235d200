"""Tests of combining the outcomes of several attempts at one call."""

from functools import reduce
from itertools import product

from gooseberrydeck_coordination.outcomes import Outcome


class TestFollowedBy:
    # Guards against a later refusal that hides an attempt which may have run.
    def test_refusals_only_are_a_refusal(self) -> None:
        for outcomes in product(Outcome, repeat=3):
            combined = reduce(Outcome.followed_by, outcomes)
            is_refusal = set(outcomes) == {Outcome.NOT_RUN}
            assert (combined is Outcome.NOT_RUN) is is_refusal

    def test_one_attempt_that_ran_makes_the_outcome_certain(self) -> None:
        for outcomes in product(Outcome, repeat=3):
            combined = reduce(Outcome.followed_by, outcomes)
            assert (combined is Outcome.RAN) is (Outcome.RAN in outcomes)
