"""Tests of the scheduler's task beside registrations that another writer has left."""

from collections.abc import Iterator

import msgspec
import pytest
from structlog.testing import capture_logs

from followed_task import ENTRY, PREFIX, FollowedTask
from gooseberrydeck_coordination.store import Delete
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_service.unreadable_log import MAX_LINES
from odd_values import deep, with_raw

BAD_KEY = f"{PREFIX}odd"

ODD_ENTRIES = {
    "deep": with_raw({**ENTRY, "Extra": "RAW"}, deep(2_000)),
    "deeper": with_raw({**ENTRY, "Extra": "RAW"}, deep(100_000)),
    "number too large": with_raw({**ENTRY, "RemainingMs": "RAW"}, b"9" * 400),
    "float too large": with_raw({**ENTRY, "RemainingMs": "RAW"}, b"1e400"),
    "amount too large": with_raw(
        {**ENTRY, "Capacity": {"Cpu": "RAW", "MemMb": 1}}, b"9" * 400
    ),
    "start too large": with_raw({**ENTRY, "born": "RAW"}, b"9" * 400),
    "port 0": msgspec.json.encode({**ENTRY, "Address": "127.0.0.1:0"}),
    "port 65536": msgspec.json.encode({**ENTRY, "Address": "127.0.0.1:65536"}),
    "no address": msgspec.json.encode({**ENTRY, "Address": "a b:80"}),
    "no JSON": b"\xff{",
}


@pytest.fixture
def followed() -> Iterator[FollowedTask]:
    followed = FollowedTask()
    yield followed
    followed.task.shut_down()


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
class TestOddEntry:
    # Guards against a cell without a scheduler: each holder in turn crashed on the
    # entry while it took over.
    def test_holder_takes_over_beside_it(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.put("odd", odd)
        followed.put("z")
        followed.task.load()
        assert followed.usable() == {"a", "z"}

    # Guards against a holder that stops when another writer leaves the entry.
    def test_other_workers_are_followed_on(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.read()
        followed.put("odd", odd)
        followed.put("b")
        followed.watch()
        assert followed.usable() == {"a", "b"}
        followed.put("odd", odd + b" ")
        followed.store_entries(Delete(f"{PREFIX}b"))
        followed.put("c")
        followed.watch()
        assert followed.usable() == {"a", "c"}
        followed.store_entries(Delete(BAD_KEY))
        followed.put("d")
        followed.watch()
        assert followed.usable() == {"a", "c", "d"}

    def test_complete_read_goes_past_it(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("a")
        followed.read()
        followed.put("odd", odd)
        followed.put("z")
        followed.read()
        assert followed.usable() == {"a", "z"}
        followed.store_entries(Delete(BAD_KEY), Delete(f"{PREFIX}a"))
        followed.read()
        assert followed.usable() == {"z"}

    # Guards against starts by an entry that is gone: the holder went on by what a
    # worker's entry had been, and its successor didn't.
    def test_worker_is_not_used_while_its_entry_is_odd(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.put("odd")
        followed.read()
        assert followed.usable() == {"odd"}
        followed.put("odd", odd)
        followed.watch()
        assert followed.usable() == set()
        assert WorkerId("odd") in followed.task.workers.poll_states
        # It may be alive: what it may run or start late is waited for.
        assert followed.task.scheduler.ledger.workers[WorkerId("odd")].is_registered
        followed.put("odd")
        followed.watch()
        assert followed.usable() == {"odd"}

    def test_each_change_counts_and_each_reason_is_logged_once(
        self, followed: FollowedTask, odd: bytes
    ) -> None:
        followed.read()
        with capture_logs() as logs:
            for _ in range(3):
                followed.put("odd", odd)
                followed.watch()
            followed.read()
        lines = [each for each in logs if each["event"] == "registration unreadable"]
        assert [(each["key"], each["bytes"]) for each in lines] == [(BAD_KEY, len(odd))]
        assert lines[0]["reason"]
        assert followed.ignored() == 4
        followed.store_entries(Delete(BAD_KEY))
        followed.read()
        with capture_logs() as logs:
            followed.put("odd", odd)
            followed.watch()
        assert "registration unreadable" in [each["event"] for each in logs]


# Guards against a log that grows with each odd entry and each new reason of it.
class TestVolume:
    def test_many_odd_entries_write_few_lines(self, followed: FollowedTask) -> None:
        followed.task.unreadable.monotonic = lambda: 0.0
        odd = list(ODD_ENTRIES.values())
        with capture_logs() as logs:
            for turn in range(6):
                for number in range(200):
                    followed.put(f"odd-{number}", odd[(turn + number) % len(odd)])
                followed.read()
        about = [each for each in logs if "unreadable" in each["event"]]
        assert 0 < len(about) <= MAX_LINES
        assert followed.ignored() == 6 * 200
