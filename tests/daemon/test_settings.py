"""Tests of the settings file and its checks."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from daemon_support import make_settings
from gooseberrydeck_daemon.__main__ import application
from gooseberrydeck_daemon.checks.settings import check_settings
from gooseberrydeck_daemon.exceptions import SettingsInvalidError
from gooseberrydeck_daemon.settings_file import load_settings


def write_settings(folder: Path, changes: dict[str, Any]) -> Path:
    """Write valid settings with ``changes`` at dotted paths; None removes a field."""
    raw = json.loads(msgspec.json.encode(make_settings("m1", {"m1": 7001})))
    for dotted, value in changes.items():
        *parents, last = dotted.split(".")
        target = raw
        for parent in parents:
            target = target[int(parent) if parent.isdigit() else parent]
        if value is None:
            del target[last]
        else:
            target[last] = value
    path = folder / "settings.json"
    path.write_text(json.dumps(raw))
    return path


class TestChecks:
    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"colour": "red"}, [("settings.E002", "$.colour")]),
            ({"store.addresses": None}, [("settings.E003", "$.store.addresses")]),
            (
                {"listeners.callers.port": "eighty", "address": 5},
                [
                    ("settings.E004", "$.address"),
                    ("settings.E004", "$.listeners.callers.port"),
                ],
            ),
            ({"listeners": []}, [("settings.E004", "$.listeners")]),
            (
                {"peers.initial.0.port": -1},
                [("settings.E004", "$.peers.initial[0].port")],
            ),
            ({"shards": 0}, [("settings.E004", "$.shards")]),
            ({"address": "entry-1"}, [("settings.E005", "$.address")]),
            (
                {"listeners.callers.port": 7001},
                [("settings.E006", "$.listeners.peers.port")],
            ),
            (
                {"listeners.callers.refusing_threads": 16},
                [("settings.E007", "$.listeners.callers.refusing_threads")],
            ),
            ({"store.addresses": []}, [("settings.E008", "$.store.addresses")]),
            (
                {"store.addresses": ["nowhere"]},
                [("settings.E009", "$.store.addresses[0]")],
            ),
            ({"peers.secret_key": ""}, [("settings.E010", "$.peers.secret_key")]),
            (
                {"peers.secret_key": "", "peers.secret_key_file": "/none/key"},
                [("settings.E011", "$.peers.secret_key_file")],
            ),
            ({"peers.secret_key": "x" * 40}, [("settings.E013", "$.peers.public_key")]),
            ({"peers.public_key": "short"}, [("settings.E012", "$.peers.public_key")]),
            (
                {"peers.initial": 2 * [{"member": "a", "address": "::1", "port": 1}]},
                [("settings.E014", "$.peers.initial[1].member")],
            ),
        ],
    )
    def test_each_problem_has_its_id_and_path(
        self, tmp_path: Path, changes: dict[str, Any], expected: list[tuple[str, str]]
    ) -> None:
        problems, _ = check_settings(write_settings(tmp_path, changes))
        assert [(item.id, item.path) for item in problems] == expected
        assert all(item.text and item.hint for item in problems)

    @pytest.mark.parametrize("content", [b"", b"{", b"\xff\xfe", b"[1,2"])
    def test_malformed_json_is_one_problem(
        self, tmp_path: Path, content: bytes
    ) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(content)
        problems, _ = check_settings(path)
        assert [item.id for item in problems] == ["settings.E001"]

    def test_loading_reports_every_problem(self, tmp_path: Path) -> None:
        path = write_settings(tmp_path, {"colour": "red", "cell": 5})
        with pytest.raises(SettingsInvalidError) as caught:
            load_settings(path)
        assert len(caught.value.exceptions) == 2


class TestCommandLine:
    def test_check_exits_with_0_or_2(self, tmp_path: Path) -> None:
        runner = CliRunner()
        good = write_settings(tmp_path, {})
        result = runner.invoke(application, ["check", "--settings", str(good)])
        assert (result.exit_code, result.output) == (0, "0 problems\n")
        bad = write_settings(tmp_path, {"colour": "red"})
        result = runner.invoke(application, ["check", "--settings", str(bad)])
        assert result.exit_code == 2
        assert "$.colour: (settings.E002)" in result.output

    def test_run_refuses_bad_settings_without_a_traceback(self, tmp_path: Path) -> None:
        bad = write_settings(tmp_path, {"colour": "red"})
        result = CliRunner().invoke(application, ["run", "--settings", str(bad)])
        assert result.exit_code == 2
        assert "Traceback" not in result.output
