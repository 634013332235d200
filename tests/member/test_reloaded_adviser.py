"""Tests of an advice service whose address in the settings changes."""

from pathlib import Path

import msgspec
import pytest

from gooseberrydeck_adapter.settings import load_settings
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.advice import Advice, AdviceFailedError
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_member import composition
from gooseberrydeck_member.composition import Member
from gooseberrydeck_platform.http import HttpAddress

STEP = StepRef(JobId("a"), 0, 0)
FORMER, NEXT = "10.0.0.9:2", "10.0.0.9:3"
SETTINGS = {
    "NodeName": "n1",
    "Ip": "10.0.0.1",
    "Zone": "z",
    "Listen": {"Front": "10.0.0.1:80", "Ready": "10.0.0.1:81"},
    "PortRange": [65_520, 65_535],
    "platform": {"Address": "10.0.0.9:1", "TtlMinMs": 1000},
    "Bounds": {"MaxHoldMs": 10000},
    "HeartbeatMs": 1_000,
}


class FakeAdviser:
    """A client whose tickets name the address that was asked."""

    def __init__(self, address: HttpAddress) -> None:
        self.address = address
        self.is_closed = False

    def ask(
        self, _step: StepRef, workers: tuple[WorkerId, ...], _timeout_s: float
    ) -> Advice:
        return Advice(dict.fromkeys(workers, str(self.address)), 1.0)

    def close(self) -> None:
        self.is_closed = True


class TestReload:
    @pytest.fixture(autouse=True)
    def member(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(composition, "HttpAdviser", FakeAdviser)
        self.path = tmp_path / "boot.yaml"

    def write(self, address: str | None) -> None:
        advice = {"Advice": address} if address else {}
        self.path.write_bytes(msgspec.json.encode({**SETTINGS, **advice}))

    def start(self, address: str | None) -> Member:
        self.write(address)
        return Member(self.path, load_settings(self.path))

    def reload(self, member: Member, address: str | None, by_signal: bool) -> None:
        self.write(address)
        member.reload(by_signal)

    def ask(self, member: Member) -> str:
        """Return the address that a request for advice of a scheduler reaches."""
        worker = WorkerId("w1")
        return member.adviser.ask(STEP, (worker,), 1.0).tickets[worker]

    # Guards against accepted jobs that wait for good for a service that has moved.
    @pytest.mark.parametrize("by_signal", [True, False])
    def test_advice_is_asked_at_the_address_in_force(self, by_signal: bool) -> None:
        member = self.start(FORMER)
        assert self.ask(member) == FORMER
        self.reload(member, NEXT, by_signal)
        assert self.ask(member) == NEXT

    def test_service_may_be_added_and_removed(self) -> None:
        member = self.start(None)
        self.reload(member, NEXT, True)
        assert self.ask(member) == NEXT
        self.reload(member, None, True)
        with pytest.raises(AdviceFailedError):
            self.ask(member)

    def test_unchanged_address_keeps_its_connections(self) -> None:
        member = self.start(FORMER)
        self.reload(member, FORMER, True)
        assert self.ask(member) == FORMER
        client = member.adviser.client
        assert isinstance(client, FakeAdviser)
        assert not client.is_closed

    def test_connections_to_the_former_address_are_closed(self) -> None:
        member = self.start(FORMER)
        former = member.adviser.client
        self.reload(member, NEXT, True)
        assert isinstance(former, FakeAdviser)
        assert former.is_closed

    def test_settings_that_cannot_be_read_keep_the_address(self) -> None:
        member = self.start(FORMER)
        self.path.write_bytes(b"{")
        member.reload(True)
        assert self.ask(member) == FORMER
