"""Tests of the pool of advice requests."""

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_member.advice_pool import AdviceCompleted, AdvicePool
from gooseberrydeck_member.peers import PeerClient

WORKER = WorkerId("a")


class CrashingAdviser:
    """An adviser with a fault."""

    def ask(self, *_arguments: object) -> None:
        raise RuntimeError("fault")


class TestAdvicePool:
    # Guards against a place for requests that is never free again.
    def test_unexpected_error_counts_as_failed_advice(self) -> None:
        pool = AdvicePool(CrashingAdviser(), PeerClient(), ManualClock())  # type: ignore[arg-type]
        posted: list[object] = []
        step = StepRef(JobId("job"), 0, 0)
        pool.run(AskAdvice(step, (WORKER,), False, 1.0), posted.append)
        assert isinstance(posted[0], AdviceCompleted)
        assert posted[0].advice is None
        assert not pool.busy
