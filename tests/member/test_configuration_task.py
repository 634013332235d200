"""Tests of the configuration in force and of its confirmation by the store."""

from collections.abc import Iterator

import pytest
from structlog.testing import capture_logs

from configuration_support import (
    KEY,
    MANY_ROUTES,
    TIMEOUT_S,
    ConfigurationCellFixture,
    SchedulerStub,
    configuration_value,
)
from gooseberrydeck_adapter import decode_intent
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Put, Transaction, WatchBatch
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_member.configuration import (
    UNKNOWN_REVISION,
    AnnouncedConfiguration,
    ConfigurationCache,
)
from gooseberrydeck_member.configuration_task import (
    CONFIGURATION_MAX_AGE_S,
    PEER_FETCH_LIMIT_S,
)
from gooseberrydeck_standins.faults import CallFault

LARGE = configuration_value(2, MANY_ROUTES)


class TestConfigurationCache:
    def setup_method(self) -> None:
        self.configuration = ConfigurationCache(decode_intent)
        self.versions: list[int] = []
        self.configuration.listeners.append(
            lambda configuration: self.versions.append(configuration.version)
        )
        self.configuration.offer(configuration_value(5), 10.0, "test", Revision(7))

    def test_version_never_goes_back(self) -> None:
        assert self.configuration.offer(configuration_value(4), 99.0, "test")
        self.configuration.announce(AnnouncedConfiguration(4, "m:1", 99.0, Revision(9)))
        self.configuration.confirm(4, 99.0, Revision(9))
        known = self.configuration.known()
        assert (known.version, known.confirmed_s, known.revision) == (5, 10.0, 7)
        assert self.configuration.missing() is None
        assert self.versions == [5]

    def test_confirmation_never_goes_back(self) -> None:
        self.configuration.confirm(5, 9.0, Revision(6))
        self.configuration.offer(configuration_value(5), 8.0, "test")
        known = self.configuration.known()
        assert (known.confirmed_s, known.revision) == (10.0, 7)

    def test_revision_of_another_version_is_not_kept(self) -> None:
        # A watch from there would miss the change to the version after it.
        self.configuration.offer(configuration_value(6), 11.0, "test")
        assert self.configuration.known().revision == UNKNOWN_REVISION

    @pytest.mark.parametrize("value", [b"", b"{}", b"not json"])
    def test_unreadable_value_is_logged_and_ignored(self, value: bytes) -> None:
        with capture_logs() as lines:
            assert not self.configuration.offer(value, 99.0, "m:1")
        known = self.configuration.known()
        assert (known.version, known.confirmed_s) == (5, 10.0)
        (line,) = lines
        assert line["event"] == "configuration unreadable"
        assert line["source"] == "m:1"
        assert line["reason"]

    def test_newer_version_is_announced_until_it_is_in_force(self) -> None:
        announced = AnnouncedConfiguration(6, "m:1", 11.0, Revision(9))
        self.configuration.announce(announced)
        assert self.configuration.version_announced.is_set()
        assert self.configuration.missing() == announced
        self.configuration.offer(configuration_value(6), 11.0, "test")
        assert self.configuration.missing() is None


class TestHolder(ConfigurationCellFixture):
    # Guards against reading the whole value twice a second, whether changed or not.
    def test_unchanged_value_is_not_transferred(self) -> None:
        self.holder.refresh(rounds=20)
        assert self.holder.store.value_bytes == 0
        assert self.holder.fetches("store", "unchanged") == 20

    def test_changed_value_is_transferred_once(self) -> None:
        self.publish(LARGE)
        self.holder.refresh(rounds=20)
        assert self.holder.configuration.version == 2
        assert self.holder.store.value_bytes == len(LARGE)

    def test_confirmation_counts_from_when_the_call_was_sent(self) -> None:
        watch = self.holder.store.watch

        def slow_watch(
            prefix: str, start: Revision, timeout_s: float
        ) -> Iterator[WatchBatch]:
            self.clock.advance(0.5)
            return watch(prefix, start, timeout_s)

        self.holder.store.watch = slow_watch  # type: ignore[method-assign]
        self.clock.advance(1.0)
        sent_s = self.clock.monotonic()
        self.holder.task.refresh()
        assert self.holder.configuration.confirmed_s == sent_s

    def test_watch_that_is_behind_confirms_nothing(self) -> None:
        confirmed_s = self.holder.configuration.confirmed_s
        behind = WatchBatch((), Revision(1))
        self.holder.store.watch = lambda *_: iter([behind])  # type: ignore[method-assign]
        self.holder.refresh()
        assert self.holder.configuration.confirmed_s == confirmed_s
        assert self.holder.fetches("store", "failed") == 1

    def test_value_is_read_once_after_the_history_was_lost(self) -> None:
        for _ in range(3):
            self.writer.commit(Transaction((), (Put("other", b"1"),)), TIMEOUT_S)
        self.engine.compact(self.engine.revision)
        with capture_logs() as lines:
            self.holder.refresh(rounds=20)
        assert [line["event"] for line in lines].count("history lost") == 1
        assert self.holder.store.value_bytes == len(configuration_value(1))
        age_s = self.clock.monotonic() - self.holder.configuration.confirmed_s
        assert age_s == 0

    def test_changes_of_other_keys_are_ignored(self) -> None:
        write = Put(f"{KEY}-of-others", configuration_value(9))
        self.writer.commit(Transaction((), (write,)), TIMEOUT_S)
        self.holder.refresh()
        assert self.holder.configuration.version == 1
        assert self.holder.configuration.confirmed_s == self.clock.monotonic()

    # Guards against a process that ends since a stored value cannot be decoded.
    def test_unreadable_value_is_neither_confirmed_nor_read_again(self) -> None:
        confirmed_s = self.holder.configuration.confirmed_s
        self.publish(b"not a configuration")
        self.holder.refresh(rounds=20)
        known = self.holder.configuration.known()
        assert (known.version, known.confirmed_s) == (1, confirmed_s)
        assert self.holder.fetches("store", "malformed") == 1
        self.publish(LARGE)
        self.holder.refresh(rounds=2)
        known = self.holder.configuration.known()
        assert (known.version, known.confirmed_s) == (2, self.clock.monotonic())

    def test_failing_store_is_logged_once_and_not_called_in_a_loop(self) -> None:
        self.holder.store.fault = CallFault.DOWN
        with capture_logs() as lines:
            self.holder.refresh(rounds=12, seconds=0.05)
            self.holder.store.fault = CallFault.NONE
            self.holder.refresh()
        events = [line["event"] for line in lines]
        assert events == ["store lost", "store regained"]
        assert self.holder.fetches("store", "failed") == 2

    # Guards against a holder that schedules by the version before the newest.
    def test_scheduler_gets_a_version_adopted_while_it_is_built(self) -> None:
        member = self.other

        class SchedulerDuringChange(SchedulerStub):
            def set_configuration(self, configuration: FleetConfiguration) -> None:
                super().set_configuration(configuration)
                if self.versions == [1]:
                    member.configuration.offer(LARGE, 0.0, "test")

        scheduler = SchedulerDuringChange(1)
        scheduler.stopping.set()
        member.control.build_scheduler = lambda *_: scheduler  # type: ignore[assignment,return-value]
        member.control.claim_now(member.shard_lock.read(TIMEOUT_S), False)
        assert scheduler.versions[-1] == 2


class TestFollower(ConfigurationCellFixture):
    def test_store_is_not_asked_while_the_holder_confirms(self) -> None:
        calls = self.engine.calls.copy()
        for _ in range(10):
            self.follower.refresh(seconds=CONFIGURATION_MAX_AGE_S / 2)
            confirmed_s = self.clock.monotonic()
            self.follower.configuration.confirm(1, confirmed_s)
        assert self.engine.calls == calls

    def test_store_confirms_the_version_if_the_holder_does_not(self) -> None:
        self.follower.refresh(seconds=CONFIGURATION_MAX_AGE_S + 0.1)
        assert self.follower.configuration.confirmed_s == self.clock.monotonic()
        assert self.follower.store.value_bytes == 0

    # The revision comes with the value, which is not read again to learn it.
    def test_fetched_version_is_confirmed_without_reading_its_value(self) -> None:
        self.publish_to_holder(LARGE)
        self.announce(self.follower)
        self.follower.refresh()
        assert self.follower.configuration.version == 2
        self.follower.refresh(seconds=CONFIGURATION_MAX_AGE_S + 0.1)
        assert self.follower.configuration.confirmed_s == self.clock.monotonic()
        assert self.follower.store.value_bytes == 0

    def test_version_that_no_member_serves_is_read_from_the_store(self) -> None:
        self.publish_to_holder(LARGE)
        del self.holder.application.handlers["/configuration"]
        self.announce(self.follower)
        self.follower.refresh()
        assert self.follower.configuration.version == 1
        self.follower.refresh(seconds=PEER_FETCH_LIMIT_S)
        assert self.follower.configuration.value == LARGE
        assert self.follower.fetches("store", "fetched") == 2

    def test_silent_holder_delays_the_store_by_one_timeout(self) -> None:
        self.publish_to_holder(LARGE)
        self.announce(self.follower)
        self.links.cut.add("holder:1")
        self.follower.refresh()
        assert self.follower.configuration.value == LARGE
        assert len(self.links.asked) == 1

    def test_member_without_a_configuration_reads_it(self) -> None:
        late = self.make_member("late")
        assert late.configuration.version == 1
        assert late.configuration.revision == self.engine.revision

    def test_failing_store_is_followed_by_a_version_from_a_member(self) -> None:
        self.publish_to_holder(LARGE)
        self.follower.store.fault = CallFault.DOWN
        self.follower.refresh(seconds=CONFIGURATION_MAX_AGE_S)
        assert self.follower.configuration.version == 1
        self.announce(self.follower)
        self.follower.refresh()
        assert self.follower.configuration.version == 2
