import json
import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from structlog.testing import capture_logs

from daemon_support import call
from gooseberrydeck_configuration import load_configuration
from gooseberrydeck_configuration.api import (
    BurnPoint,
    BurnResponse,
    BurnWindow,
    ServiceBurn,
    TeamBudgetUse,
)
from gooseberrydeck_ctl.__main__ import run
from gooseberrydeck_ctl.burn_page import render_burn_page
from gooseberrydeck_ctl.exceptions import ExitCode
from gooseberrydeck_ctl.options import ADDRESSES_VARIABLE, KEY_VARIABLE
from gooseberrydeck_standins.engine_store import CallFault
from network_support import refused_address
from operators_support import (
    OPERATOR_SECRET,
    OperatedCell,
    operated_cell,
    unhurried,
)

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "verificaciones.json")


@pytest.fixture
def cell(monkeypatch: pytest.MonkeyPatch) -> Iterator[OperatedCell]:
    # Members log to the standard output that commands print to.
    with refused_address() as dead, capture_logs(), operated_cell("m1") as running:
        addresses = f"{dead},127.0.0.1:{running.port('m1')}"
        monkeypatch.setenv(ADDRESSES_VARIABLE, addresses)
        monkeypatch.setenv(KEY_VARIABLE, OPERATOR_SECRET)
        yield running


class Output:
    """Run commands and keep what they print."""

    def __init__(self, capture: pytest.CaptureFixture[str]) -> None:
        self.capture = capture

    def run(self, *arguments: str) -> tuple[int, str, str]:
        code = run(arguments)
        captured = self.capture.readouterr()
        assert "Traceback" not in captured.out + captured.err
        return code, captured.out, captured.err


@pytest.fixture
def output(capsys: pytest.CaptureFixture[str]) -> Output:
    return Output(capsys)


class TestConfig:
    def test_from_nothing_to_a_published_desk(
        self, cell: OperatedCell, output: Output
    ) -> None:
        assert output.run("config", "check", EXAMPLE)[0] == ExitCode.DONE
        _, out, _ = output.run("config", "diff", EXAMPLE)
        assert "added teams/radio" in out
        code, out, _ = output.run("config", "publish", EXAMPLE, "--comment", "first")
        assert (code, cell.numbers()) == (ExitCode.DONE, [1])
        assert "published 1: in force on 1 of 1 members" in out
        _, out, _ = output.run("config", "history", "--json")
        assert json.loads(out)["versions"][0]["comment"] == "first"
        _, out, _ = output.run("config", "show")
        assert json.loads(out)["number"] == 1

    def test_shown_configuration_is_edited_and_published_after_its_number(
        self, cell: OperatedCell, output: Output, tmp_path: Path
    ) -> None:
        output.run("config", "publish", EXAMPLE)
        _, out, _ = output.run("config", "show")
        edited = json.loads(out)
        edited["limits"][0]["max_running"] = 5
        file = tmp_path / "desk.json"
        file.write_text(json.dumps(edited))
        assert output.run("config", "publish", str(file))[0] == ExitCode.DONE
        edited["limits"][0]["max_running"] = 6
        file.write_text(json.dumps(edited))
        code, _, err = output.run("config", "publish", str(file))
        assert code == ExitCode.CONFLICT
        assert "the newest number is 2, not 1" in err
        assert "changed limits/radio (max_running: 320 -> 5)" in err

    def test_repeat_under_the_same_id_is_one_publication(
        self, cell: OperatedCell, output: Output
    ) -> None:
        for _ in range(2):
            code, out, _ = output.run(
                "config", "publish", EXAMPLE, "--base", "0", "--publication", "a"
            )
            assert code == ExitCode.DONE
            assert "published 1" in out

    def test_problems_are_listed(
        self, cell: OperatedCell, output: Output, tmp_path: Path
    ) -> None:
        file = tmp_path / "desk.json"
        file.write_text('{"teams": [{"name": "a"}], "limits": [{"team": "b"}]}')
        code, _, err = output.run("config", "publish", str(file))
        assert code == ExitCode.INVALID
        assert "files.E006" in err
        file.write_text('{"teams": [{"name": "a"}]}')
        code, _, err = output.run("config", "publish", str(file))
        assert code == ExitCode.INVALID
        assert "teams.E003" in err
        assert "teams.E004" in err


class TestKey:
    def test_secret_is_shown_once_and_works_until_withdrawn(
        self, cell: OperatedCell, output: Output
    ) -> None:
        output.run("config", "publish", EXAMPLE)
        _, out, _ = output.run("key", "grant", "radio", "--id", "radio-2", "--json")
        secret = json.loads(out)["secret"]
        assert call(cell["m1"], "claim-check", key=secret)[0] == 200
        _, out, _ = output.run("key", "list", "--team", "radio")
        assert "radio-2" in out
        assert secret not in out
        assert output.run("key", "withdraw", "radio-2")[0] == ExitCode.DONE
        assert call(cell["m1"], "claim-check", key=secret)[0] == 401
        assert output.run("key", "withdraw", "radio-2")[0] == ExitCode.NOT_FOUND


class TestFailures:
    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["nope"], ExitCode.USAGE),
            (["config", "publish"], ExitCode.USAGE),
            (["config", "publish", "/no/such/file"], ExitCode.INVALID),
            (["config", "show", "7"], ExitCode.NOT_FOUND),
            (["key", "withdraw", "nobody"], ExitCode.NOT_FOUND),
            (["shards"], ExitCode.FAILED),
            (["key", "grant", "nobody"], ExitCode.INVALID),
            (["report", "burn", "--html", "/no/such/folder/x"], ExitCode.FAILED),
        ],
    )
    def test_each_has_its_code_and_no_traceback(
        self, cell: OperatedCell, output: Output, arguments: list[str], code: ExitCode
    ) -> None:
        output.run("config", "publish", EXAMPLE)
        assert output.run(*arguments)[0] == code

    def test_wrong_key(
        self, cell: OperatedCell, output: Output, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv(KEY_VARIABLE, "wrong")
        assert output.run("config", "show")[0] == ExitCode.REFUSED

    @pytest.mark.parametrize("address", ["127.0.0.1:1", "nonsense:port", "[::"])
    def test_no_member_answers(
        self, output: Output, monkeypatch: pytest.MonkeyPatch, address: str
    ) -> None:
        monkeypatch.setattr("gooseberrydeck_ctl.client.PASS_PAUSE_S", 0.0)
        monkeypatch.setenv(ADDRESSES_VARIABLE, address)
        monkeypatch.setenv(KEY_VARIABLE, "x")
        assert output.run("config", "show")[0] == ExitCode.UNREACHABLE

    def test_nothing_set(self, output: Output, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.delenv(ADDRESSES_VARIABLE, raising=False)
        assert output.run("members")[0] == ExitCode.USAGE

    def test_store_outage_is_told_as_nothing_published(
        self, cell: OperatedCell, output: Output, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = "gooseberrydeck_daemon.operators.publishing"
        monkeypatch.setattr(f"{module}.PUBLISH_TIMEOUT_S", 0.1)
        monkeypatch.setattr("gooseberrydeck_ctl.client.PASS_PAUSE_S", 0.0)
        cell.stores["m1"].fault = CallFault.DOWN
        code, _, err = output.run("config", "publish", EXAMPLE, "--base", "0")
        assert code == ExitCode.UNREACHABLE
        assert "nothing was published" in err


class TestReports:
    def test_burn_as_table_json_and_page(
        self, cell: OperatedCell, output: Output, tmp_path: Path
    ) -> None:
        file = tmp_path / "unhurried.json"
        file.write_bytes(
            msgspec.json.encode(unhurried(load_configuration(Path(EXAMPLE))))
        )
        assert output.run("config", "publish", str(file))[0] == ExitCode.DONE
        call(cell["m1"], "claim-check", key="demo-radio")
        page = tmp_path / "burn.html"
        code, out, _ = output.run("report", "burn", "--html", str(page))
        assert code == ExitCode.DONE
        assert re.search(r"claim-check +3d +1 +0 +0 +0", out)
        assert "claim-check" in page.read_text()
        _, out, _ = output.run("report", "burn", "--json")
        assert json.loads(out)["members"] == 1
        assert output.run("report", "share")[0] == ExitCode.DONE
        assert output.run("report", "packing", "--json")[0] == ExitCode.DONE

    def test_page_is_self_contained_and_escapes_names(self) -> None:
        service = ServiceBurn(
            "<script>",
            50,
            0.99,
            -1.0,
            (BurnWindow("3d", 259_200, 1, 0, 1, 50.0),),
            (TeamBudgetUse("<b>", 0, 1, 1.0),),
            (BurnPoint(999_000.0, 2, 50.0),),
        )
        page = render_burn_page(BurnResponse(1_000_000.0, 1, False, (service,)))
        assert "<script>" not in page
        assert "&lt;script&gt;" in page
        assert 'class="over"' in page
        assert "http" not in page
        assert "The store did not answer" in page
