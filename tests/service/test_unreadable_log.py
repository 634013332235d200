"""Tests of the volume of log lines about entries that can't be read."""

from collections.abc import Iterator, MutableMapping
from typing import Any

import pytest
from structlog.testing import capture_logs

from gooseberrydeck_service.unreadable_log import (
    MAX_KNOWN_KEYS,
    MAX_LINES,
    MAX_LINES_PER_REASON,
    WINDOW_S,
    UnreadableEvent,
    UnreadableLog,
)

REGISTRATION = UnreadableEvent.REGISTRATION
RECORD = UnreadableEvent.RECORD

Lines = list[MutableMapping[str, Any]]


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def unreadable(clock: Clock) -> UnreadableLog:
    return UnreadableLog(clock)


@pytest.fixture
def lines() -> Iterator[Lines]:
    with capture_logs() as captured:
        yield captured


class TestUnreadableLog:
    def test_entry_is_logged_once_for_each_reason(
        self, unreadable: UnreadableLog, lines: Lines
    ) -> None:
        for reason in ("deep", "deep", "number", "number", "deep"):
            unreadable.report(REGISTRATION, "a", reason, bytes=7)
        assert [(each["key"], each["reason"], each["bytes"]) for each in lines] == [
            ("a", "deep", 7),
            ("a", "number", 7),
            ("a", "deep", 7),
        ]

    def test_frequent_reason_does_not_hide_others(
        self, unreadable: UnreadableLog, lines: Lines
    ) -> None:
        for number in range(100):
            unreadable.report(REGISTRATION, f"a{number}", "deep")
        unreadable.report(REGISTRATION, "b", "number")
        assert [each["reason"] for each in lines] == [
            *["deep"] * MAX_LINES_PER_REASON,
            "number",
        ]

    def test_lines_of_a_window_are_limited_whatever_the_reasons(
        self, unreadable: UnreadableLog, lines: Lines
    ) -> None:
        for number in range(1_000):
            unreadable.report(REGISTRATION, "a", f"reason {number}")
        unreadable.report(RECORD, "b", "deep")
        assert len(lines) == MAX_LINES + 1
        assert lines[-1]["event"] == "record unreadable"

    def test_entries_that_were_left_out_are_logged_as_a_number(
        self, unreadable: UnreadableLog, clock: Clock, lines: Lines
    ) -> None:
        for number in range(100):
            unreadable.report(REGISTRATION, f"a{number}", "deep")
        unreadable.summarize()
        assert len(lines) == MAX_LINES_PER_REASON
        clock.now_s = WINDOW_S
        unreadable.summarize()
        unreadable.summarize()
        assert len(lines) == MAX_LINES_PER_REASON + 1
        assert lines[-1]["kind"] == "registration unreadable"
        assert lines[-1]["not_logged"] == 100 - MAX_LINES_PER_REASON
        assert lines[-1]["known"] == 100

    def test_forgotten_entry_is_logged_again(
        self, unreadable: UnreadableLog, lines: Lines
    ) -> None:
        unreadable.report(REGISTRATION, "a", "deep")
        unreadable.forget(REGISTRATION, "a")
        unreadable.report(REGISTRATION, "a", "deep")
        unreadable.report(RECORD, "a", "deep")
        unreadable.forget_missing(REGISTRATION, set())
        unreadable.report(REGISTRATION, "a", "deep")
        unreadable.report(RECORD, "a", "deep")
        events = [each["event"] for each in lines]
        assert events.count("registration unreadable") == 3
        assert events.count("record unreadable") == 1

    def test_number_of_known_entries_is_limited(
        self, unreadable: UnreadableLog
    ) -> None:
        for number in range(MAX_KNOWN_KEYS + 5):
            unreadable.report(REGISTRATION, str(number), "deep")
        assert len(unreadable.reasons) == MAX_KNOWN_KEYS
