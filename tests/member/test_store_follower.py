"""Tests of following changes below a store prefix."""

import threading

from structlog.testing import capture_logs

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_member.store_follower import (
    BATCH_DELAY_S,
    PrefixChanged,
    PrefixRead,
    StoreFollower,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine

PREFIX = "workers/"


class PauseRecorder(threading.Event):
    """A stop event that writes to the store on each wait, and is set after the last."""

    def __init__(self, store: EngineStore, pauses: int) -> None:
        super().__init__()
        self.store = store
        self.pauses_left = pauses
        self.pauses: list[float | None] = []

    def wait(self, timeout: float | None = None) -> bool:
        self.pauses.append(timeout)
        self.pauses_left -= 1
        if self.pauses_left <= 0:
            self.set()
        for number in range(3):
            write = Put(f"{PREFIX}{number}", str(self.pauses_left).encode())
            self.store.commit(Transaction((), (write,)), 1.0)
        return self.is_set()


class TestStoreFollower:
    def setup_method(self) -> None:
        self.store = EngineStore(StoreEngine(ManualClock()), waits=False)
        self.messages: list[object] = []

    def follow(self, pauses: int) -> PauseRecorder:
        write = Put(f"{PREFIX}0", b"first")
        self.store.commit(Transaction((), (write,)), 1.0)
        follower = StoreFollower(self.store, PREFIX, self.messages.append)
        follower.start_at(Revision(0))
        recorder = PauseRecorder(self.store, pauses)
        follower.stopping = recorder
        follower.run()
        return recorder

    def test_changes_are_batched_between_calls(self) -> None:
        # Each worker's registration changes about once a second, and each change used
        # to cause a separate store call (bench, quiet days).
        recorder = self.follow(pauses=4)
        assert recorder.pauses == [BATCH_DELAY_S] * 4
        batches = [each for each in self.messages if isinstance(each, PrefixChanged)]
        assert [len(each.batch.events) for each in batches] == [1, 3, 3, 3]

    def test_prefix_is_read_before_it_is_watched(self) -> None:
        def post(message: object) -> None:
            self.messages.append(message)
            if isinstance(message, PrefixRead):
                self.store.commit(Transaction((), (Put(f"{PREFIX}8", b"x"),)), 1.0)

        follower = StoreFollower(self.store, PREFIX, post)
        follower.stopping = PauseRecorder(self.store, 1)
        follower.run()
        assert [type(each) for each in self.messages] == [PrefixRead, PrefixChanged]

    # Guards against a prefix that nobody follows any more while the holder works on.
    def test_follower_goes_on_after_an_unexpected_error(self) -> None:
        failures = [RuntimeError("fault"), RuntimeError("fault")]

        def post(message: object) -> None:
            if failures:
                raise failures.pop()
            self.messages.append(message)
            follower.stop()

        follower = StoreFollower(self.store, PREFIX, post)
        with capture_logs() as logs:
            follower.run()
        assert [type(each) for each in self.messages] == [PrefixRead]
        events = [each["event"] for each in logs]
        assert events.count("follower crashed") == 1
