"""Tests of how a configuration gets from member to member."""

import random
import zlib
from collections.abc import Iterable
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from configuration_support import (
    MANY_ROUTES,
    ConfigurationCellFixture,
    ConfigurationMember,
    configuration_value,
)
from gooseberrydeck_adapter import decode_intent
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.configuration_fetcher import (
    MALFORMED_PAUSE_S,
    RECEIVE_LIMIT_S,
)
from gooseberrydeck_member.configuration_share import (
    MAX_CONFIGURATION_BYTES,
    MAX_TRANSFERS,
    PIECE_BYTES,
    PIECE_TIMEOUT_S,
    ConfigurationShare,
    ConfigurationTransferError,
    digest_of,
    pack,
    unpack,
)
from gooseberrydeck_member.control import HEARTBEAT_TIMEOUT_S
from gooseberrydeck_member.peer_messages import (
    ConfigurationPiece,
    ConfigurationQuery,
    Heartbeat,
    HeartbeatReply,
)
from gooseberrydeck_member.peers import PeerCallError
from gooseberrydeck_platform.http import HttpResponse

LARGE = configuration_value(2, MANY_ROUTES)


class TestSlowLinks(ConfigurationCellFixture):
    # Guards against followers that lose the holder and never get a configuration that
    # takes longer than a heartbeat on their link.
    def test_follower_gets_a_large_configuration_and_keeps_its_heartbeats(self) -> None:
        self.publish_to_holder(LARGE)
        for _ in range(3):
            self.follower.control.follow()
            self.follower.task.refresh()
        assert self.links.timed_out == []
        assert self.follower.configuration.value == LARGE
        assert self.follower.fetches("peer", "fetched") == 1
        assert self.follower.store.value_bytes == 0

    # Guards against heartbeats that wait for a transfer, and against a second one.
    def test_heartbeats_are_sent_during_the_only_transfer(self) -> None:
        self.publish_to_holder(LARGE)
        self.follower.control.follow()
        application = self.links.applications[self.holder.address]
        transfers: list[set[str]] = []

        def application_between_heartbeats(
            environ: dict[str, Any], start_response: Any
        ) -> Iterable[bytes]:
            content = application(environ, start_response)
            if environ["PATH_INFO"] == "/configuration":
                transfers.append(set(self.holder.application.share.transfers))
                self.follower.control.follow()
            return content  # type: ignore[no-any-return]

        self.links.applications[self.holder.address] = application_between_heartbeats
        self.follower.task.refresh()
        assert self.follower.configuration.version == 2
        assert len(transfers) > 2
        assert all(each <= {self.follower.address} for each in transfers)
        assert self.links.timed_out == []
        paths = [path for _, path in self.links.asked]
        assert paths.count("/beat") == len(transfers) + 1

    def test_pieces_for_all_transfers_delay_a_heartbeat_less_than_its_timeout(
        self,
    ) -> None:
        value = random.Random(1).randbytes(3 * PIECE_BYTES)
        cache = ConfigurationCache(lambda _value: decode_intent(LARGE))
        cache.offer(value, 0.0, "test")
        reply = ConfigurationShare(cache).reply(ConfigurationQuery("a:1", 2))
        encoded = msgspec.json.encode(reply)
        # A slow link of the users' platform carries 625,000 bytes a second.
        assert MAX_TRANSFERS * len(encoded) / 625_000 < HEARTBEAT_TIMEOUT_S


class TestShare:
    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.configuration = ConfigurationCache(decode_intent)
        self.configuration.offer(LARGE, self.clock.monotonic(), "test")
        self.share = ConfigurationShare(self.configuration, self.clock)

    def ask(
        self, name: str, digest: str = "", offset: int = 0, version: int = 2
    ) -> ConfigurationPiece:
        query = ConfigurationQuery(f"{name}:1", version, digest, offset)
        return self.share.reply(query)

    def finish(self, name: str) -> None:
        piece = self.ask(name)
        self.ask(name, piece.digest, piece.size_bytes)

    def test_number_of_transfers_is_bounded(self) -> None:
        replies = [self.ask(f"m{number}") for number in range(MAX_TRANSFERS + 2)]
        is_busy = [reply.is_busy for reply in replies]
        assert is_busy == [False] * MAX_TRANSFERS + [True] * 2
        assert all(not reply.data for reply in replies[MAX_TRANSFERS:])
        again = self.ask("m0", replies[0].digest, PIECE_BYTES)
        assert again.data
        assert again.offset == PIECE_BYTES

    def test_refused_members_are_referred_to_those_that_were_served(self) -> None:
        self.finish("first")
        self.finish("second")
        for number in range(MAX_TRANSFERS):
            self.ask(f"m{number}")
        reply = self.ask("late")
        assert reply.is_busy
        assert sorted(reply.sources) == ["first:1", "second:1"]
        assert self.ask("first").sources == ("second:1",)

    def test_finished_or_silent_transfer_makes_room(self) -> None:
        for number in range(MAX_TRANSFERS):
            self.ask(f"m{number}")
        self.finish("m0")
        assert not self.ask("next").is_busy
        assert self.ask("late").is_busy
        self.clock.advance(PIECE_TIMEOUT_S + 0.1)
        assert not self.ask("late").is_busy

    def test_member_without_the_version_says_so(self) -> None:
        reply = self.ask("m0", version=3)
        assert (reply.version, reply.digest, reply.is_busy) == (2, "", False)
        assert self.share.transfers == {}

    def test_configuration_is_compressed_once_for_each_version(self) -> None:
        self.ask("m0")
        packed = self.share.packed
        self.clock.advance(PIECE_TIMEOUT_S)
        self.ask("m1")
        assert self.share.packed is packed
        self.configuration.offer(configuration_value(3), 0.0, "test")
        assert self.ask("m2").version == 3
        assert self.share.served == set()

    def test_pieces_of_another_version_begin_anew(self) -> None:
        reply = self.ask("m0", "digest of version 1", 100)
        assert reply.offset == 0


class TestPacking:
    def test_packed_configuration_is_unpacked(self) -> None:
        packed = pack(2, LARGE)
        assert len(packed.data) < len(LARGE) / 2
        assert unpack(2, packed.data, packed.digest) == packed

    @pytest.mark.parametrize(
        ("data", "reason"),
        [
            (b"", "incomplete"),
            (b"not compressed", "incorrect header"),
            (pack(2, LARGE).data[:-1], "incomplete"),
            (pack(2, LARGE).data + b"more", "incomplete"),
            (zlib.compress(bytes(MAX_CONFIGURATION_BYTES + 1)), "over"),
        ],
    )
    def test_damaged_or_oversized_data_is_refused(
        self, data: bytes, reason: str
    ) -> None:
        with pytest.raises(ConfigurationTransferError, match=reason):
            unpack(2, data, digest_of(data))

    def test_largest_configuration_is_accepted(self) -> None:
        packed = pack(2, bytes(MAX_CONFIGURATION_BYTES))
        assert len(unpack(2, packed.data, packed.digest).value) == len(packed.value)

    def test_digest_is_checked(self) -> None:
        with pytest.raises(ConfigurationTransferError, match="digest"):
            unpack(2, pack(2, LARGE).data, digest_of(b"other"))


class TestFetching(ConfigurationCellFixture):
    def setup_method(self) -> None:
        super().setup_method()
        self.publish_to_holder(LARGE)

    def fetch(self, member: ConfigurationMember, address: str = "holder:1") -> bool:
        return member.fetcher.fetch(self.announce(member, address))

    def occupy_holder(self) -> None:
        for number in range(MAX_TRANSFERS):
            query = ConfigurationQuery(f"busy{number}:1", 2)
            self.holder.application.share.reply(query)

    def test_busy_holder_refers_to_a_member_that_has_the_version(self) -> None:
        assert self.fetch(self.other)
        self.occupy_holder()
        self.links.asked.clear()
        with capture_logs() as lines:
            assert self.fetch(self.follower)
        sources = [address for address, _ in self.links.asked]
        assert sources[0] == "holder:1"
        assert set(sources[1:]) == {"other:1"}
        assert self.follower.configuration.version == 2
        assert self.follower.fetches("peer", "busy") == 1
        events = [(line["event"], line.get("source")) for line in lines]
        assert ("configuration not fetched", "holder:1") in events
        assert ("configuration fetched", "other:1") in events

    def test_busy_holder_without_referrals_is_asked_again_later(self) -> None:
        self.occupy_holder()
        assert not self.fetch(self.follower)
        self.clock.advance(PIECE_TIMEOUT_S + 0.1)
        assert self.fetch(self.follower)

    def test_another_source_continues_where_the_first_one_failed(self) -> None:
        assert self.fetch(self.other)
        share = self.holder.application.share
        first = share.reply(ConfigurationQuery("follower:1", 2))
        self.links.answers["holder:1"] = [first, PeerCallError("timed out")]
        assert not self.fetch(self.follower)
        self.links.asked.clear()
        assert self.fetch(self.follower, "other:1")
        pieces = -(-first.size_bytes // PIECE_BYTES)
        # Without the first piece, and with the report of the completion.
        assert len(self.links.asked) == pieces

    # Guards against a process that is still fetching when it must have stopped.
    def test_slow_fetch_is_interrupted_and_continued(self) -> None:
        request = self.links.request

        def slow_request(*arguments: Any) -> HttpResponse:
            self.clock.advance(RECEIVE_LIMIT_S)
            return request(*arguments)

        self.links.request = slow_request  # type: ignore[method-assign]
        assert not self.fetch(self.follower)
        assert self.follower.fetches("peer", "interrupted") == 1
        received = len(self.follower.fetcher.data)
        assert received > 0
        assert not self.fetch(self.follower)
        assert len(self.follower.fetcher.data) > received

    def test_configuration_that_changes_meanwhile_is_fetched_anew(self) -> None:
        share = self.holder.application.share
        first = share.reply(ConfigurationQuery("follower:1", 2))
        self.links.answers["holder:1"] = [first]
        announced = self.announce(self.follower)
        self.publish_to_holder(configuration_value(3, MANY_ROUTES))
        assert self.follower.fetcher.fetch(announced)
        assert self.follower.configuration.version == 3

    def test_confirmation_counts_from_when_the_piece_was_asked_for(self) -> None:
        self.clock.advance(5.0)
        assert self.fetch(self.follower)
        follower, holder = self.follower.configuration, self.holder.configuration
        assert follower.confirmed_s == pytest.approx(holder.confirmed_s)
        assert follower.revision == holder.revision

    @pytest.mark.parametrize(
        "change",
        [
            {"digest": "other"},
            {"size_bytes": MAX_CONFIGURATION_BYTES + 1},
            {"size_bytes": 1},
            {"offset": 1},
            {"data": b""},
            {"version": 1},
        ],
    )
    def test_malformed_piece_is_ignored(self, change: dict[str, Any]) -> None:
        small = ConfigurationCache(decode_intent)
        small.offer(configuration_value(2), 0.0, "test")
        piece = ConfigurationShare(small).reply(ConfigurationQuery("follower:1", 2))
        assert len(piece.data) == piece.size_bytes
        self.links.answers["holder:1"] = [msgspec.structs.replace(piece, **change)]
        with capture_logs() as lines:
            assert not self.fetch(self.follower)
        assert self.follower.configuration.version == 1
        assert self.follower.fetches("peer", "malformed") == 1
        (line,) = lines
        assert line["event"] == "configuration not fetched"
        assert line["reason"]

    def test_source_that_sends_endless_changes_is_given_up(self) -> None:
        piece = ConfigurationPiece(2, size_bytes=10, data=b"1234")
        self.links.answers["holder:1"] = [
            msgspec.structs.replace(piece, digest=str(number)) for number in range(999)
        ]
        assert not self.fetch(self.follower)
        assert self.follower.fetches("peer", "malformed") == 1

    # Guards against a configuration that is fetched again and again in vain.
    def test_unreadable_configuration_is_not_fetched_again_at_once(self) -> None:
        packed = pack(2, b"not a configuration")
        piece = ConfigurationPiece(
            2, digest=packed.digest, size_bytes=len(packed.data), data=packed.data
        )
        self.links.answers["holder:1"] = [piece]
        with capture_logs() as lines:
            assert not self.fetch(self.follower)
        assert lines[0]["event"] == "configuration unreadable"
        asked = len(self.links.asked)
        assert not self.fetch(self.follower)
        assert len(self.links.asked) == asked
        self.clock.advance(MALFORMED_PAUSE_S)
        assert self.fetch(self.follower)

    def test_member_that_does_not_have_the_version_is_no_source(self) -> None:
        assert not self.fetch(self.follower, "other:1")
        assert self.follower.fetches("peer", "missing") == 1


class TestMixedReleases(ConfigurationCellFixture):
    def setup_method(self) -> None:
        super().setup_method()
        self.publish_to_holder(configuration_value(2))

    def test_follower_of_the_former_release_gets_the_value_in_the_reply(self) -> None:
        body = b'{"member":"old","address":"old:1","incarnation":"a","version":1}'
        reply = self.holder.application.handle_heartbeat(body)
        assert reply is not None
        assert reply.configuration == self.holder.configuration.value
        current = msgspec.json.encode(Heartbeat("old", "old:1", "a", 2))
        reply = self.holder.application.handle_heartbeat(current)
        assert reply is not None
        assert reply.configuration == b""

    def test_value_in_the_reply_of_a_holder_of_the_former_release_is_used(self) -> None:
        value = configuration_value(2)
        self.links.answers["holder:1"] = [
            HeartbeatReply(True, 1, "a", 2, 0.1, 0.1, value)
        ]
        self.follower.control.follow()
        assert self.follower.configuration.value == value
        assert self.follower.configuration.missing() is None

    def test_member_of_the_former_release_is_no_source(self) -> None:
        del self.other.application.handlers["/configuration"]
        announced = self.announce(self.follower, "other:1")
        assert not self.follower.fetcher.fetch(announced)
        assert self.follower.fetches("peer", "failed") == 1
