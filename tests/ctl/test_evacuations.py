"""Tests of the list of requested evacuations, with a store on a loopback address."""

from collections.abc import Iterator

import pytest

from gooseberrydeck_adapter_standins.store import PlatformStoreApplication
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_ctl.__main__ import run
from gooseberrydeck_ctl.evacuation_commands import STORE_VARIABLE
from gooseberrydeck_ctl.exceptions import ExitCode
from gooseberrydeck_standins.http_service import StandinServer
from gooseberrydeck_standins.store_engine import PutKey, StoreEngine
from network_support import refused_address


@pytest.fixture
def engine(monkeypatch: pytest.MonkeyPatch) -> Iterator[StoreEngine]:
    engine = StoreEngine(ManualClock())
    with StandinServer(PlatformStoreApplication(engine)) as server:
        monkeypatch.setenv(STORE_VARIABLE, str(server.address))
        yield engine


class TestList:
    # Guards against an operator who can't see which requests are in force.
    def test_requested_evacuations_are_listed(
        self, engine: StoreEngine, capsys: pytest.CaptureFixture[str]
    ) -> None:
        for key in (b"op/config", b"op/evacuate/dc2"):
            engine.transact((), (PutKey(key, b"{}", 0),))
        assert run(["evacuation", "list", "--json"]) == 0
        output = capsys.readouterr().out
        assert '"data_centre": "dc2"' in output
        assert "config" not in output

    def test_there_is_none(
        self, engine: StoreEngine, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(["evacuation", "list"]) == 0
        assert capsys.readouterr().out == "none\n"

    # Guards against a traceback, and against "none" without having read the store.
    def test_store_is_not_reached(self) -> None:
        with refused_address() as address:
            arguments = ["evacuation", "list", "--store", str(address)]
            assert run(arguments) == ExitCode.UNREACHABLE

    def test_address_is_malformed(self) -> None:
        assert run(["evacuation", "list", "--store", "?"]) == 2
