"""Tests of when a holder stores that no predecessor can act any more."""

from concurrent.futures import Future

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, MemberId
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S
from gooseberrydeck_member.predecessors import NO_PREDECESSORS, Predecessors
from gooseberrydeck_member.shard_lock import ShardLock, next_token
from gooseberrydeck_member.sole_mark import (
    RETRY_DELAY_S,
    SoleMarkWriter,
    SoleMarkWritten,
    is_marked_sole,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TIMEOUT_S = 1.0
TOKEN = next_token(Epoch(0))
SILENT = Predecessors(("former:1",), ("former",), are_limited=False)
LIMITED = SILENT._replace(are_limited=True)


class InlineThreads:
    """Executes what is submitted at once."""

    def executor(self, _max_threads: int, _name: str) -> "InlineThreads":
        return self

    def submit(self, function: object) -> "Future[object]":
        function()  # type: ignore[operator]
        return Future()


class TestSoleMarkWriter:
    def setup_method(self) -> None:
        self.engine = StoreEngine(ManualClock())
        self.store = EngineStore(self.engine, waits=False)
        self.lock = ShardLock(self.store, MemberId("m1"), "m1:1", "run-1")
        self.claim(self.lock)
        self.results: list[SoleMarkWritten] = []

    def claim(self, lock: ShardLock) -> None:
        assert lock.claim(lock.read(TIMEOUT_S), (), 2.0, TIMEOUT_S)

    def writer(self, predecessors: Predecessors) -> SoleMarkWriter:
        return SoleMarkWriter(
            self.store,
            self.lock,
            predecessors,
            0.0,
            self.results.append,  # type: ignore[arg-type]
            InlineThreads(),  # type: ignore[arg-type]
        )

    def send(self, writer: SoleMarkWriter, now_s: float) -> None:
        writer.send_due(now_s)
        while self.results:
            writer.written(self.results.pop(), now_s)

    def is_marked(self, token: Epoch = TOKEN) -> bool:
        return is_marked_sole(EngineStore(self.engine, waits=False), token, TIMEOUT_S)

    def test_mark_is_stored_at_once_without_predecessors(self) -> None:
        self.send(self.writer(NO_PREDECESSORS), 0.0)
        assert self.is_marked()

    # A predecessor usually learns of the claim within 1.5 s, but may go on for 8 s.
    def test_mark_waits_until_a_silent_predecessor_has_lost_its_authority(self) -> None:
        for silent in (SILENT, LIMITED):
            writer = self.writer(silent)
            self.send(writer, AUTHORITY_TIMEOUT_S - 0.01)
            assert not self.is_marked()
        self.send(writer, AUTHORITY_TIMEOUT_S)
        assert self.is_marked()

    def test_mark_is_stored_when_the_predecessors_have_confirmed(self) -> None:
        writer = self.writer(SILENT)
        self.send(writer, 1.0)
        assert not self.is_marked()
        writer.predecessor_stopped(1.1)
        self.send(writer, 1.1)
        assert self.is_marked()

    # A mark that is lost with one response would leave the next claimant waiting.
    def test_mark_is_repeated_until_it_is_stored(self) -> None:
        writer = self.writer(NO_PREDECESSORS)
        self.store.next_faults.extend([CallFault.DOWN, CallFault.ANSWER_LOST])
        self.send(writer, 0.0)
        assert not self.is_marked()
        self.send(writer, RETRY_DELAY_S / 2)
        assert not self.is_marked()
        self.send(writer, RETRY_DELAY_S)
        assert self.is_marked()
        assert not writer.is_settled
        self.send(writer, 2 * RETRY_DELAY_S)
        assert writer.is_settled

    # A holder that was paused would replace the mark of its successor, and the same
    # process may have claimed the shard again meanwhile.
    def test_mark_of_an_earlier_holding_is_not_stored(self) -> None:
        writer = self.writer(NO_PREDECESSORS)
        self.claim(ShardLock(self.store, MemberId("m2"), "m2:1", "run-2"))
        self.claim(self.lock)
        self.send(writer, 0.0)
        assert writer.is_settled
        assert not self.is_marked()

    # A released record keeps the token of the holder, and names its predecessors.
    def test_mark_outlives_a_release(self) -> None:
        self.send(self.writer(NO_PREDECESSORS), 0.0)
        self.lock.release(TIMEOUT_S)
        assert self.is_marked(self.lock.read(TIMEOUT_S).record.token)
