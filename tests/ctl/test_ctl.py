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
    OperatorTestCell,
    running_operator_cell,
    with_relaxed_objectives,
)

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "verificaciones.json")


@pytest.fixture
def cell(monkeypatch: pytest.MonkeyPatch) -> Iterator[OperatorTestCell]:
    # Members run in this process and would log to the standard output of commands.
    with (
        refused_address() as refused,
        capture_logs(),
        running_operator_cell("m1") as running,
    ):
        addresses = f"{refused},127.0.0.1:{running.port('m1')}"
        monkeypatch.setenv(ADDRESSES_VARIABLE, addresses)
        monkeypatch.setenv(KEY_VARIABLE, OPERATOR_SECRET)
        yield running


class CommandRunner:
    """Run commands and return their exit code, standard output and standard error."""

    def __init__(self, capture: pytest.CaptureFixture[str]) -> None:
        self.capture = capture

    def run(self, *arguments: str) -> tuple[int, str, str]:
        code = run(arguments)
        captured = self.capture.readouterr()
        assert "Traceback" not in captured.out + captured.err
        return code, captured.out, captured.err


@pytest.fixture
def runner(capsys: pytest.CaptureFixture[str]) -> CommandRunner:
    return CommandRunner(capsys)


class TestConfig:
    def test_first_configuration_is_checked_and_published(
        self, cell: OperatorTestCell, runner: CommandRunner
    ) -> None:
        assert runner.run("config", "check", EXAMPLE)[0] == ExitCode.DONE
        _, out, _ = runner.run("config", "diff", EXAMPLE)
        assert "added teams/radio" in out
        # Guards against another list of problems than that of the publication.
        arguments = ("config", "check", EXAMPLE, "--differences")
        code, out, _ = runner.run(*arguments)
        assert code == ExitCode.DONE
        assert "added teams/radio" in out
        checked = json.loads(runner.run(*arguments, "--json")[1])
        assert checked.keys() == {"number", "problems", "differences"}
        assert runner.run(*arguments, "--offline")[0] == ExitCode.USAGE
        code, out, _ = runner.run("config", "publish", EXAMPLE, "--comment", "first")
        assert (code, cell.configuration_numbers()) == (ExitCode.DONE, [1])
        assert "published 1: in force on 1 of 1 members" in out
        _, out, _ = runner.run("config", "history", "--json")
        assert json.loads(out)["versions"][0]["comment"] == "first"
        _, out, _ = runner.run("config", "show")
        assert json.loads(out)["number"] == 1

    def test_publishing_an_outdated_edit_is_a_conflict(
        self, cell: OperatorTestCell, runner: CommandRunner, tmp_path: Path
    ) -> None:
        runner.run("config", "publish", EXAMPLE)
        _, out, _ = runner.run("config", "show")
        edited = json.loads(out)
        edited["limits"][0]["max_running"] = 5
        file = tmp_path / "desk.json"
        file.write_text(json.dumps(edited))
        assert runner.run("config", "publish", str(file))[0] == ExitCode.DONE
        edited["limits"][0]["max_running"] = 6
        file.write_text(json.dumps(edited))
        code, _, err = runner.run("config", "publish", str(file))
        assert code == ExitCode.CONFLICT
        assert "the newest number is 2, not 1" in err
        assert "changed limits/radio (max_running: 320 -> 5)" in err

    def test_publishing_again_under_the_same_id_has_no_effect(
        self, cell: OperatorTestCell, runner: CommandRunner
    ) -> None:
        for _ in range(2):
            code, out, _ = runner.run(
                "config", "publish", EXAMPLE, "--base", "0", "--publication", "a"
            )
            assert code == ExitCode.DONE
            assert "published 1" in out

    def test_problems_are_listed(
        self, cell: OperatorTestCell, runner: CommandRunner, tmp_path: Path
    ) -> None:
        file = tmp_path / "desk.json"
        file.write_text('{"teams": [{"name": "a"}], "limits": [{"team": "b"}]}')
        code, _, err = runner.run("config", "publish", str(file))
        assert code == ExitCode.INVALID
        assert "files.E006" in err
        file.write_text('{"teams": [{"name": "a"}]}')
        code, _, err = runner.run("config", "publish", str(file))
        assert code == ExitCode.INVALID
        assert "teams.E003" in err
        assert "teams.E004" in err


class TestKey:
    def test_secret_is_shown_once_and_works_until_withdrawn(
        self, cell: OperatorTestCell, runner: CommandRunner
    ) -> None:
        runner.run("config", "publish", EXAMPLE)
        _, out, _ = runner.run("key", "grant", "radio", "--id", "radio-2", "--json")
        secret = json.loads(out)["secret"]
        assert call(cell["m1"], "claim-check", key=secret)[0] == 200
        _, out, _ = runner.run("key", "list", "--team", "radio")
        assert "radio-2" in out
        assert secret not in out
        assert runner.run("key", "withdraw", "radio-2")[0] == ExitCode.DONE
        assert call(cell["m1"], "claim-check", key=secret)[0] == 401
        assert runner.run("key", "withdraw", "radio-2")[0] == ExitCode.NOT_FOUND


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
    def test_failure_exits_with_its_code_and_no_traceback(
        self,
        cell: OperatorTestCell,
        runner: CommandRunner,
        arguments: list[str],
        code: ExitCode,
    ) -> None:
        runner.run("config", "publish", EXAMPLE)
        assert runner.run(*arguments)[0] == code

    def test_unknown_operator_key_is_refused(
        self,
        cell: OperatorTestCell,
        runner: CommandRunner,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setenv(KEY_VARIABLE, "wrong")
        assert runner.run("config", "show")[0] == ExitCode.REFUSED

    @pytest.mark.parametrize("address", ["127.0.0.1:1", "nonsense:port", "[::"])
    def test_unreachable_member_exits_with_its_code(
        self, runner: CommandRunner, monkeypatch: pytest.MonkeyPatch, address: str
    ) -> None:
        monkeypatch.setattr("gooseberrydeck_ctl.client.PASS_PAUSE_S", 0.0)
        monkeypatch.setenv(ADDRESSES_VARIABLE, address)
        monkeypatch.setenv(KEY_VARIABLE, "x")
        assert runner.run("config", "show")[0] == ExitCode.UNREACHABLE

    def test_missing_addresses_are_a_usage_error(
        self, runner: CommandRunner, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.delenv(ADDRESSES_VARIABLE, raising=False)
        assert runner.run("members")[0] == ExitCode.USAGE

    def test_store_outage_reports_that_nothing_was_published(
        self,
        cell: OperatorTestCell,
        runner: CommandRunner,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        module = "gooseberrydeck_daemon.operators.publishing"
        monkeypatch.setattr(f"{module}.PUBLISH_TIMEOUT_S", 0.1)
        monkeypatch.setattr("gooseberrydeck_ctl.client.PASS_PAUSE_S", 0.0)
        cell.stores["m1"].fault = CallFault.DOWN
        code, _, err = runner.run("config", "publish", EXAMPLE, "--base", "0")
        assert code == ExitCode.UNREACHABLE
        assert "nothing was published" in err


class TestReports:
    def test_burn_report_as_table_json_and_html(
        self, cell: OperatorTestCell, runner: CommandRunner, tmp_path: Path
    ) -> None:
        file = tmp_path / "unhurried.json"
        file.write_bytes(
            msgspec.json.encode(
                with_relaxed_objectives(load_configuration(Path(EXAMPLE)))
            )
        )
        assert runner.run("config", "publish", str(file))[0] == ExitCode.DONE
        call(cell["m1"], "claim-check", key="demo-radio")
        page = tmp_path / "burn.html"
        code, out, _ = runner.run("report", "burn", "--html", str(page))
        assert code == ExitCode.DONE
        assert re.search(r"claim-check +3d +1 +0 +0 +0", out)
        assert "claim-check" in page.read_text()
        _, out, _ = runner.run("report", "burn", "--json")
        assert json.loads(out)["members"] == 1
        assert runner.run("report", "share")[0] == ExitCode.DONE
        assert runner.run("report", "packing", "--json")[0] == ExitCode.DONE

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
