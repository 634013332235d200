"""Tests of the holder's reading of requests to evacuate data centres."""

from collections.abc import Iterator

import msgspec
import pytest
from structlog.testing import capture_logs

from followed_task import ENTRY, EVACUATIONS, FollowedTask
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Delete, Put, WatchBatch
from gooseberrydeck_fleet.state import WorkerObstacle
from gooseberrydeck_member.evacuations import AGE_LINE_INTERVAL_S, Evacuations
from gooseberrydeck_member.store_follower import PrefixChanged, PrefixRead
from gooseberrydeck_service.unreadable_log import MAX_LINES


class Evacuated(FollowedTask):
    """A task that follows evacuations, beside one worker in each data centre."""

    def __init__(self) -> None:
        super().__init__(EVACUATIONS)
        for name in ("east", "west"):
            self.put(name, msgspec.json.encode({**ENTRY, "Zone": name}))
        self.revision = Revision(0)

    @property
    def evacuations(self) -> Evacuations:
        assert self.task.evacuations is not None
        return self.task.evacuations

    def request(self, name: str) -> None:
        self.store_entries(Put(f"{EVACUATIONS}{name}", b"{}"))

    def withdraw(self, name: str) -> None:
        self.store_entries(Delete(f"{EVACUATIONS}{name}"))

    def load(self) -> None:
        self.task.load()
        revision = self.evacuations.follower.revision
        assert revision is not None
        self.revision = revision

    def follow(self) -> None:
        """Handle the changes since the last read, if there are any."""
        start = Revision(self.revision + 1)
        for batch in self.store.watch(EVACUATIONS, start, 1.0):
            self.revision = batch.revision
            self.task.handle(PrefixChanged(EVACUATIONS, batch), 0.0)

    def read_again(self) -> None:
        """Handle a complete read, as after a lost history."""
        snapshot = self.store.read_prefix(EVACUATIONS, 1.0)
        self.task.handle(PrefixRead(EVACUATIONS, snapshot.entries), 0.0)

    def evacuated(self) -> set[str]:
        """Return the workers that accept nothing for the evacuation."""
        workers = self.task.scheduler.ledger.workers.values()
        return {
            str(each.id)
            for each in workers
            if each.find_obstacle() is WorkerObstacle.EVACUATED
        }


@pytest.fixture
def followed() -> Iterator[Evacuated]:
    followed = Evacuated()
    yield followed
    followed.task.shut_down()


class TestRequests:
    # Guards against a successor that starts work before it has read the requests.
    def test_holder_reads_them_when_it_takes_over(self, followed: Evacuated) -> None:
        followed.request("east")
        followed.load()
        assert followed.evacuated() == {"east"}

    def test_changes_are_followed(self, followed: Evacuated) -> None:
        followed.load()
        assert followed.evacuated() == set()
        followed.request("east")
        followed.follow()
        assert followed.evacuated() == {"east"}
        followed.request("west")
        followed.withdraw("east")
        followed.follow()
        assert followed.evacuated() == {"west"}

    # Guards against a withdrawal in a lost part of the history that is never seen.
    def test_complete_read_replaces_the_set(self, followed: Evacuated) -> None:
        followed.request("east")
        followed.load()
        followed.withdraw("east")
        followed.request("west")
        followed.read_again()
        assert followed.evacuated() == {"west"}

    def test_request_withdrawn_before_it_was_seen(self, followed: Evacuated) -> None:
        followed.load()
        followed.request("east")
        followed.withdraw("east")
        with capture_logs() as logs:
            followed.follow()
        assert followed.evacuated() == set()
        assert logs == []

    # Guards against a deployment without the setting that reads or changes anything.
    def test_nothing_is_read_without_the_setting(self) -> None:
        followed = FollowedTask()
        followed.store_entries(Put(f"{EVACUATIONS}east", b"{}"))
        followed.put("east", msgspec.json.encode({**ENTRY, "Zone": "east"}))
        followed.task.load()
        (worker,) = followed.task.scheduler.ledger.workers.values()
        assert not worker.is_evacuated
        assert len(followed.task.followers) == 2
        followed.task.shut_down()


class TestUnreadableNames:
    # Guards against a holder that stops, or evacuates workers without a data centre.
    @pytest.mark.parametrize("name", ["", "a\x00b", "x" * 5_000])
    def test_name_is_ignored(self, followed: Evacuated, name: str) -> None:
        followed.put("nowhere")
        followed.request(name)
        followed.request("west")
        followed.load()
        assert followed.evacuated() == {"west"}
        followed.request(name)
        followed.follow()
        followed.withdraw(name)
        followed.follow()
        assert followed.evacuated() == {"west"}
        assert followed.ignored("evacuation") == 2

    # Guards against a full disk or a lost line for many odd keys.
    def test_number_of_log_lines_is_bounded(self, followed: Evacuated) -> None:
        for number in range(2 * MAX_LINES):
            followed.request(f"\x00{number}")
        with capture_logs() as logs:
            followed.load()
        lines = [each for each in logs if each["event"] == "evacuation unreadable"]
        assert 0 < len(lines) <= MAX_LINES


class TestReports:
    # Guards against an operator who can't see what an evacuation does.
    def test_each_event_has_a_line(self, followed: Evacuated) -> None:
        followed.load()
        worker = followed.task.scheduler.ledger.workers["east"]  # type: ignore[index]
        with capture_logs() as logs:
            followed.request("east")
            followed.follow()
            followed.evacuations.report(1.0)
            worker.has_reported = True
            followed.evacuations.report(2.0)
            followed.withdraw("east")
            followed.follow()
            followed.evacuations.report(3.0)
        lines = [each["event"] for each in logs if each.get("data_centre") == "east"]
        assert lines == [
            "evacuation requested",
            "last start in evacuated data centre",
            "evacuation withdrawn",
        ]

    def test_gauge_shows_the_runs_that_remain(self, followed: Evacuated) -> None:
        followed.request("east")
        followed.load()
        followed.evacuations.report(followed.task.clock.monotonic())
        registry = followed.metrics.registry
        name, labels = "gooseberrydeck_evacuated_runs", {"data_centre": "east"}
        assert registry.get_sample_value(name, labels) == 0
        followed.withdraw("east")
        followed.follow()
        assert registry.get_sample_value(name, labels) is None

    # Guards against an evacuation that ends with the store, unseen by the operator.
    def test_last_known_set_stays_in_force_and_its_age_is_logged(
        self, followed: Evacuated
    ) -> None:
        followed.request("east")
        followed.load()
        confirmed_s = followed.evacuations.follower.confirmed_s
        with capture_logs() as logs:
            for seconds in (1.0, 4.0, 5.0, 4.0 + AGE_LINE_INTERVAL_S):
                followed.evacuations.report(confirmed_s + seconds)
        lines = [each for each in logs if each["event"] == "evacuations not confirmed"]
        assert [each["seconds"] for each in lines] == [4.0, 14.0]
        assert followed.evacuated() == {"east"}

    # Guards against an age that grows although the store responds without changes.
    def test_empty_batch_confirms_the_set(self, followed: Evacuated) -> None:
        follower = followed.evacuations.follower
        follower.start_at(Revision(0))
        follower.confirmed_s = 0.0

        def watch(*_args: object) -> Iterator[WatchBatch]:
            yield WatchBatch((), Revision(1))

        followed.store.watch = watch  # type: ignore[method-assign]
        follower.follow()
        assert follower.confirmed_s > 0.0
